// Goodput in each phase of the load, and the recovery time after a change of the load.
#pragma once

#include "balsamreel/Load/Runner.h"

#include <vector>

namespace balsamreel::Load {

/// Returns whether the complete and correct response arrived within the deadline, measured from the time the call was due.
bool isGoodInTime(const RunOptions&, const CallRecord&);

/// Returns the calls per second that are good in time, for each phase. A call counts in the phase in which it ends, whichever
/// phase it was due in.
std::vector<double> goodputOfPhases(const RunOptions&, const RunResult&);

/// Returns the seconds from the start of the last phase until its calls are served as in the first phase: in each later 100 ms
/// step, at least 99% of the calls due are good in time, with a median latency of at most twice that of the first phase.
double recoverySeconds(const RunOptions&, const RunResult&);

} // namespace balsamreel::Load
