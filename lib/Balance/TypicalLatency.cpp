#include "balsamreel/Balance/TypicalLatency.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Balance {

namespace {

constexpr double initialStep = 0.5;
constexpr double minimumStep = 0.02;
constexpr double minimumMicros = 10;
// Delays of the scheduler and the network, which say nothing of the server.
constexpr double jitterMicros = 500;
constexpr std::uint32_t maximumCount = 10'000;

} // namespace

// A median moves up as often as down, whatever the size of the outliers: a few long or slow answers do not
// shift what is taken for usual.
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
