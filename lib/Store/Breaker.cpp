#include "balsamreel/Store/Breaker.h"

namespace balsamreel::Store {

void Breaker::open(Support::Instant now)
{
    state_ = BreakerState::Open;
    isTrialRunning_ = false;
    successfulTrials_ = 0;
    openUntil_ = now + backoff_.next();
}

bool Breaker::tryStartCall(Support::Instant now)
{
    if (state_ == BreakerState::Closed)
        return true;
    if (state_ == BreakerState::Open) {
        if (now < openUntil_)
            return false;
        state_ = BreakerState::HalfOpen;
    }
    if (isTrialRunning_) {
        if (now - trialStarted_ >= options_.trialTimeout)
            open(now);
        return false;
    }
    isTrialRunning_ = true;
    trialStarted_ = now;
    return true;
}

void Breaker::onResult(Support::Instant now, bool isSuccess)
{
    if (state_ == BreakerState::Open) {
        // The call started before the breaker opened, so its result is out of date.
        return;
    }
    if (!isSuccess) {
        ++consecutiveFailures_;
        if (state_ == BreakerState::HalfOpen || consecutiveFailures_ >= options_.failuresToOpen)
            open(now);
        return;
    }
    consecutiveFailures_ = 0;
    if (state_ == BreakerState::Closed)
        return;
    isTrialRunning_ = false;
    if (++successfulTrials_ < options_.trialsToClose)
        return;
    state_ = BreakerState::Closed;
    backoff_.reset();
}

} // namespace balsamreel::Store
