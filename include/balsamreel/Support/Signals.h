#pragma once

namespace balsamreel::Support {

/// Blocks SIGTERM and SIGINT in this thread and all threads it starts later, and ignores SIGPIPE. Call first in main().
void blockTerminationSignals();

/// Waits for SIGTERM or SIGINT and returns its number.
int waitForTerminationSignal();

} // namespace balsamreel::Support
