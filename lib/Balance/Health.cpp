#include "balsamreel/Balance/Health.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Balance {

using Support::Duration;
using Support::Instant;

namespace {

constexpr double slowdownWeight = 0.3;
constexpr double failureWeight = 0.2;
constexpr double maximumRatio = 20;
// Latencies of a healthy server vary by up to this ratio.
constexpr double normalRatioLimit = 2;
// Expected slowdown of a server without recent samples: it may have become slow.
constexpr double unknownSlowdown = 1.5;
constexpr double slowRatio = 3;
constexpr double suspectedSlowdown = 2;
constexpr double suspectedFailureShare = 0.15;
constexpr double ejectionFailureShare = 0.6;
constexpr unsigned recoveredAllowance = 16;
constexpr Duration halfLife = std::chrono::milliseconds(500);
constexpr Duration initialTrialDelay = std::chrono::milliseconds(500);
constexpr unsigned maximumTrialDelayDoublings = 5;
constexpr Duration initialEjection = std::chrono::milliseconds(500);
constexpr unsigned maximumEjectionDoublings = 5;

} // namespace

// Each failed trial doubles the delay to the next one, so that a server which stays slow receives ever fewer calls.
Duration Health::trialDelay() const
{
    return initialTrialDelay * (1U << std::min(failedTrials_, maximumTrialDelayDoublings));
}

bool Health::isDueForTrial(Instant now) const
{
    return isSuspected_ && now - suspectedAt_ >= trialDelay();
}

double Health::decayFactor(Instant now) const
{
    double elapsed = static_cast<double>(std::max(Duration::zero(), now - updatedAt_).count());
    return std::exp2(-elapsed / static_cast<double>(halfLife.count()));
}

double Health::slowdown(Instant now) const
{
    return unknownSlowdown + (slowdown_ - unknownSlowdown) * decayFactor(now);
}

double Health::slowdownAfter(Instant now, double ratio) const
{
    double current = slowdown(now);
    double sample = ratio < normalRatioLimit ? 1 : std::min(ratio, maximumRatio);
    return current + slowdownWeight * (sample - current);
}

double Health::failureShare(Instant now) const
{
    return failureShare_ * decayFactor(now);
}

void Health::applyDecay(Instant now)
{
    slowdown_ = slowdown(now);
    failureShare_ = failureShare(now);
    updatedAt_ = now;
}

// Attempts that were already open when the server became suspected fail as well; only an attempt sent after the trial
// delay counts as a failed trial.
void Health::suspect(Instant now)
{
    bool isTrial = isSuspected_ && now - suspectedAt_ >= trialDelay();
    if (isTrial)
        ++failedTrials_;
    if (isTrial || !isSuspected_)
        suspectedAt_ = now;
    isSuspected_ = true;
    allowance_ = 1;
}

void Health::onAnswer(Instant now, double ratio)
{
    applyDecay(now);
    slowdown_ = slowdownAfter(now, ratio);
    failureShare_ -= failureWeight * failureShare_;
    ejections_ = 0;
    if (slowdown_ >= suspectedSlowdown && ratio >= normalRatioLimit)
        return suspect(now);
    if (!isSuspected_ || ratio >= normalRatioLimit)
        return;
    // Each good response doubles the allowance. Even if all entries do so at once, each of them starts with one call.
    allowance_ *= 2;
    if (allowance_ < recoveredAllowance)
        return;
    isSuspected_ = false;
    failedTrials_ = 0;
    allowance_ = unlimitedAllowance;
}

std::optional<Duration> Health::onFailure(Instant now, bool isUnreachable)
{
    applyDecay(now);
    failureShare_ += failureWeight * (1 - failureShare_);
    if (failureShare_ >= suspectedFailureShare)
        suspect(now);
    // Failures of attempts that were already open do not extend the ejection.
    bool isEjected = now < ejectedUntil_;
    if (isEjected || (!isUnreachable && failureShare_ < ejectionFailureShare))
        return std::nullopt;
    auto length = initialEjection * (1U << std::min(ejections_++, maximumEjectionDoublings));
    ejectedUntil_ = now + length;
    return length;
}

void Health::onReport(Instant now, double ratio)
{
    applyDecay(now);
    slowdown_ = slowdownAfter(now, ratio);
    if (!isSuspected_ && ratio >= slowRatio && slowdown_ >= suspectedSlowdown)
        suspect(now);
}

} // namespace balsamreel::Balance
