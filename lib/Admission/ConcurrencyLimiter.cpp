#include "balsamreel/Admission/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Admission {

using Support::Duration;
using Support::Instant;

namespace {

constexpr std::size_t baseArm = 0;
constexpr std::size_t trialArm = 1;
// Windows alternate between the two limits, so that noisy neighbours affect both in the same way.
constexpr unsigned windowsPerTrial = 8;
constexpr std::uint32_t minimumSamples = 40;
constexpr Duration minimumWindow = std::chrono::milliseconds(100);
constexpr double windowServiceTimes = 4;
constexpr Duration initialTrialBackoff = std::chrono::seconds(2);
constexpr unsigned maximumBackoffDoublings = 4;
constexpr std::uint32_t stepDivisor = 5;
// Share of the ideal change in throughput, which is proportional to the change of the limit. A higher limit must gain at
// least this share; a lower limit may lose at most this share.
constexpr double requiredGainShare = 0.5;
constexpr double slowdownWeight = 0.05;
// A lower limit is tried only from this slowdown on, which shows that the server queues calls internally.
constexpr double queueingSlowdownThreshold = 1.25;

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencyLimiterOptions options)
    : options_(options)
    , baseLimit_(std::max<std::uint32_t>(1, options.slots))
{
}

void ConcurrencyLimiter::setOptions(const ConcurrencyLimiterOptions& options)
{
    bool needsReset = options.slots != options_.slots || options.maximumFactor != options_.maximumFactor;
    if (needsReset)
        *this = ConcurrencyLimiter(options);
}

void ConcurrencyLimiter::backOff(Instant now)
{
    stage_ = Stage::BackingOff;
    isTrialWindow_ = false;
    nextTrialAt_ = now + initialTrialBackoff * (1U << std::min(failures_, maximumBackoffDoublings));
    hasNextTrial_ = true;
}

void ConcurrencyLimiter::startTrial(Instant now)
{
    auto step = std::max<std::uint32_t>(1, baseLimit_ / stepDivisor);
    auto ceiling = std::max<std::uint32_t>(options_.slots, static_cast<std::uint32_t>(options_.slots * options_.maximumFactor));
    bool isUp = slowdown_ < queueingSlowdownThreshold;
    trialLimit_ = isUp ? std::min(ceiling, baseLimit_ + step) : baseLimit_ - std::min(baseLimit_ - 1, step);
    if (trialLimit_ == baseLimit_)
        return backOff(now);
    stage_ = Stage::Trial;
    window_ = 0;
    arms_ = {};
    isTrialWindow_ = true;
    windowStart_ = now;
}

// By Little's law, the throughput of a saturated server is its limit divided by its service time.
void ConcurrencyLimiter::endTrial(Instant now)
{
    const auto& base = arms_[baseArm];
    const auto& trial = arms_[trialArm];
    if (base.samples < minimumSamples || trial.samples < minimumSamples)
        return backOff(now);
    double slots = static_cast<double>(trialLimit_) / baseLimit_;
    double throughput = slots * base.mean() / trial.mean();
    // Raising the limit: at least half of the added slots must add throughput. Lowering it: at most half of the removed
    // slots may have added throughput.
    bool isBetter = throughput >= 1 + requiredGainShare * (slots - 1);
    if (isBetter) {
        baseLimit_ = trialLimit_;
        failures_ = 0;
        return startTrial(now);
    }
    ++failures_;
    backOff(now);
}

void ConcurrencyLimiter::nextWindow(Instant now)
{
    windowStart_ = now;
    isTrialWindow_ = !isTrialWindow_;
    if (++window_ == windowsPerTrial)
        endTrial(now);
}

void ConcurrencyLimiter::finished(Instant now, Instant startedAt, double slowdown, double typicalMicros, bool isSaturated)
{
    if (!hasNextTrial_)
        backOff(now);
    if (isSaturated)
        slowdown_ += slowdownWeight * (slowdown - slowdown_);
    if (stage_ == Stage::BackingOff) {
        if (isSaturated && now >= nextTrialAt_)
            startTrial(now);
        return;
    }
    // Without saturation the limit has no effect on service times. Calls that started under the other limit count for
    // neither.
    if (isSaturated && startedAt >= windowStart_) {
        auto& arm = arms_[isTrialWindow_ ? trialArm : baseArm];
        arm.slowdownSum += slowdown;
        ++arm.samples;
    }
    auto windowLength = std::max(minimumWindow, Duration(static_cast<Duration::rep>(windowServiceTimes * typicalMicros)));
    if (now - windowStart_ >= windowLength)
        nextWindow(now);
}

} // namespace balsamreel::Admission
