// Tables for plots: load and latency over time, and latency quantiles of short and long calls.
#pragma once

#include "balsamreel/Load/Runner.h"

#include <string>

namespace balsamreel::Load {

/// Period that one row of the series covers.
constexpr Support::Duration seriesStep = std::chrono::milliseconds(100);

/// Returns tab-separated rows: seconds, calls due/s, calls good in time/s, calls not run/s, p50 and p99 of short calls in ms.
/// Good calls count at the time they end, all others at the time they are due.
std::string seriesTable(const RunOptions&, const RunResult&);

/// Returns tab-separated rows: quantile, latency of short calls in ms, latency of long calls in ms.
std::string quantileTable(const RunOptions&, const RunResult&);

/// Writes both tables to series.tsv and quantiles.tsv in an existing folder. Returns false on failure.
bool writeTables(const std::string& folder, const RunOptions&, const RunResult&);

} // namespace balsamreel::Load
