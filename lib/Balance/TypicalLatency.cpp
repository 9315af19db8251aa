#include "balsamreel/Balance/TypicalLatency.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Balance {

namespace {

constexpr double initialStep = 0.5;
constexpr double minimumStep = 0.02;
constexpr double minimumMicros = 10;
// Scheduling and network delays, which do not depend on the server.
constexpr double jitterMicros = 500;
constexpr std::uint32_t maximumCount = 10'000;

} // namespace

// A median moves up as often as down, regardless of the size of outliers, so that a few long or slow responses do not
// shift it.
void TypicalLatency::observe(Support::Duration latency)
{
    double sample = std::max(minimumMicros, static_cast<double>(latency.count()));
    if (count_ == 0) {
        micros_ = sample;
        count_ = 1;
        return;
    }
    double step = 1 + std::max(minimumStep, initialStep / std::sqrt(static_cast<double>(count_)));
    micros_ = sample > micros_ ? std::min(sample, micros_ * step) : std::max(sample, micros_ / step);
    count_ = std::min(count_ + 1, maximumCount);
}

double TypicalLatency::ratioOf(Support::Duration latency) const
{
    if (!isKnown())
        return 1;
    return (static_cast<double>(latency.count()) + jitterMicros) / (micros_ + jitterMicros);
}

} // namespace balsamreel::Balance
