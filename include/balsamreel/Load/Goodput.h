// What a system delivers in each phase of the load, and how soon it is back to normal after a swing.
#pragma once

#include "balsamreel/Load/Runner.h"

#include <vector>

namespace balsamreel::Load {

/// The call's whole answer came within its deadline, counted from the time it was due.
bool isGoodInTime(const RunOptions&, const CallRecord&);

/// Calls per second that ended well and in time within each phase, whichever phase they were due in.
std::vector<double> goodputOfPhases(const RunOptions&, const RunResult&);

/// Seconds from the start of the last phase until its calls are served as in the first phase: 99% of
/// those due in a 100 ms step are good in time, with at most twice the first phase's median.
double recoverySeconds(const RunOptions&, const RunResult&);

} // namespace balsamreel::Load
