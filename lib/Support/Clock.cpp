#include "balsamreel/Support/Clock.h"

namespace balsamreel::Support {

Instant monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

std::int64_t wallMicros()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(sinceEpoch).count();
}

} // namespace balsamreel::Support
