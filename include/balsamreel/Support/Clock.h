// Time as the decision layers see it: monotonic instants that are always passed in.
#pragma once

#include <chrono>
#include <cstdint>

namespace balsamreel::Support {

using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the monotonic clock. Only the outermost layer calls this.
Instant monotonicNow();

/// Microseconds since the Unix epoch, for log lines and the time line.
std::int64_t wallMicros();

constexpr double toMillis(Duration duration)
{
    constexpr double microsPerMilli = 1000.0;
    return static_cast<double>(duration.count()) / microsPerMilli;
}

} // namespace balsamreel::Support
