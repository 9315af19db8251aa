#pragma once

#include <chrono>
#include <cstdint>

namespace balsamreel::Support {

using Duration = std::chrono::microseconds;

/// Never goes backwards, and keeps running while the VM is suspended.
struct MonotonicClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard's name

    static time_point now();
};

/// Decision layers are passed instants and never read the clock themselves.
using Instant = MonotonicClock::time_point;

/// Reads the monotonic clock. Only the outermost layer calls this.
Instant monotonicNow();

/// Total time that the VM has been suspended since it booted. Timers do not count this time.
Duration suspendedTime();

/// Microseconds since the Unix epoch, for log lines and the timeline.
std::int64_t wallMicros();

constexpr double toMillis(Duration duration)
{
    constexpr double microsPerMilli = 1000.0;
    return static_cast<double>(duration.count()) / microsPerMilli;
}

} // namespace balsamreel::Support
