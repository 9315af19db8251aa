#include "balsamreel/Support/Clock.h"

#include <ctime>

namespace balsamreel::Support {

namespace {

Duration read(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

// Reads CLOCK_BOOTTIME, since deadlines, leases and retained outcomes are promises to other nodes, whose time goes on
// while this VM is suspended.
MonotonicClock::time_point MonotonicClock::now()
{
    return time_point(read(CLOCK_BOOTTIME));
}

Instant monotonicNow()
{
    return MonotonicClock::now();
}

Duration suspendedTime()
{
    auto steady = read(CLOCK_MONOTONIC);
    return read(CLOCK_BOOTTIME) - steady;
}

std::int64_t wallMicros()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(sinceEpoch).count();
}

} // namespace balsamreel::Support
