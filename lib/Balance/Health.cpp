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
// Latencies vary by so much on a server that is well.
constexpr double goodRatio = 2;
// What is expected of a server that nothing was heard of lately: it may have become slow.
constexpr double unknownSlowdown = 1.5;
constexpr double badRatio = 3;
constexpr double suspectedSlowdown = 2;
constexpr double suspectedFailureShare = 0.15;
constexpr double ejectionFailureShare = 0.6;
constexpr unsigned clearedAllowance = 16;
constexpr Duration memory = std::chrono::milliseconds(500);
constexpr Duration firstRetry = std::chrono::milliseconds(500);
constexpr unsigned maximumRetryDoublings = 5;
constexpr Duration firstEjection = std::chrono::milliseconds(500);
constexpr unsigned maximumEjectionDoublings = 5;

} // namespace

// Each trial that goes wrong doubles the time to the next, so that a server which stays slow costs ever fewer calls.
Duration Health::retryDelay() const
{
    return firstRetry * (1U << std::min(setbacks_, maximumRetryDoublings));
}

bool Health::isDueForTrial(Instant now) const
{
    return isSuspected_ && now - suspectedAt_ >= retryDelay();
}

double Health::remainder(Instant now) const
{
    double elapsed = static_cast<double>(std::max(Duration::zero(), now - updatedAt_).count());
    return std::exp2(-elapsed / static_cast<double>(memory.count()));
}

double Health::slowdown(Instant now) const
{
    return unknownSlowdown + (slowdown_ - unknownSlowdown) * remainder(now);
}

double Health::slowdownAfter(Instant now, double ratio) const
{
    double current = slowdown(now);
    double sample = ratio < goodRatio ? 1 : std::min(ratio, maximumRatio);
    return current + slowdownWeight * (sample - current);
}

double Health::failureShare(Instant now) const
{
    return failureShare_ * remainder(now);
}

void Health::age(Instant now)
{
    slowdown_ = slowdown(now);
    failureShare_ = failureShare(now);
    updatedAt_ = now;
}

// Attempts that were open when the trouble showed end badly as well; only one sent later counts as a setback.
void Health::suspect(Instant now)
{
    bool isTrial = isSuspected_ && now - suspectedAt_ >= retryDelay();
    if (isTrial)
        ++setbacks_;
    if (isTrial || !isSuspected_)
        suspectedAt_ = now;
    isSuspected_ = true;
    allowance_ = 1;
}

void Health::onAnswer(Instant now, double ratio)
{
    age(now);
    slowdown_ = slowdownAfter(now, ratio);
    failureShare_ -= failureWeight * failureShare_;
    ejections_ = 0;
    if (slowdown_ >= suspectedSlowdown && ratio >= goodRatio)
        return suspect(now);
    if (!isSuspected_ || ratio >= goodRatio)
        return;
    // Each good answer doubles what the server gets; all entries doing so at once still start from one call each.
    allowance_ *= 2;
    if (allowance_ < clearedAllowance)
        return;
    isSuspected_ = false;
    setbacks_ = 0;
    allowance_ = unlimitedAllowance;
}

std::optional<Duration> Health::onFailure(Instant now, bool isUnreachable)
{
    age(now);
    failureShare_ += failureWeight * (1 - failureShare_);
    if (failureShare_ >= suspectedFailureShare)
        suspect(now);
    // Failures of attempts that were open already do not make the ejection longer.
    bool isEjected = now < ejectedUntil_;
    if (isEjected || (!isUnreachable && failureShare_ < ejectionFailureShare))
        return std::nullopt;
    auto length = firstEjection * (1U << std::min(ejections_++, maximumEjectionDoublings));
    ejectedUntil_ = now + length;
    return length;
}

void Health::onReport(Instant now, double ratio)
{
    age(now);
    slowdown_ = slowdownAfter(now, ratio);
    if (!isSuspected_ && ratio >= badRatio && slowdown_ >= suspectedSlowdown)
        suspect(now);
}

} // namespace balsamreel::Balance
