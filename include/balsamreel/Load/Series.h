// Tables for plots: load and latency over time, and quantiles by kind of work.
#pragma once

#include "balsamreel/Load/Runner.h"

#include <string>

namespace balsamreel::Load {

/// Width of one row of the series.
constexpr Support::Duration seriesStep = std::chrono::milliseconds(100);

/// Rows of seconds, calls offered/s, calls that ended well and in time/s, not run/s, p50 and p99 of short calls in ms.
/// Good calls count when they end, all others when they are due.
std::string seriesTable(const RunOptions&, const RunResult&);

/// Rows of quantile, short ms, long ms.
std::string quantileTable(const RunOptions&, const RunResult&);

/// Writes both tables into a folder that exists, as series.tsv and quantiles.tsv; false if it can't.
bool writeTables(const std::string& folder, const RunOptions&, const RunResult&);

} // namespace balsamreel::Load
