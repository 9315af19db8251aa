// Waits for the signals that end a program.
#pragma once

namespace balsamreel::Support {

/// Blocks SIGTERM and SIGINT in this thread and all that it starts later, and ignores SIGPIPE. Call first in main.
void blockTerminationSignals();

/// Waits until SIGTERM or SIGINT arrives; gives its number.
int waitForTerminationSignal();

} // namespace balsamreel::Support
