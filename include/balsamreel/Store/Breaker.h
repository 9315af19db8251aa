// Circuit breaker in front of the store.
#pragma once

#include "balsamreel/Store/Backoff.h"

#include <cstdint>

namespace balsamreel::Store {

struct BreakerOptions {
    unsigned failuresToOpen = 4; ///< consecutive
    unsigned trialsToClose = 3; ///< consecutive successful trials, run one at a time
    BackoffOptions openDelay; ///< time that the breaker stays open after a failure
    Support::Duration trialTimeout = std::chrono::seconds(10); ///< a trial without a result after this time counts as failed
};

enum class BreakerState : std::uint8_t { Closed,
    Open,
    HalfOpen };

/// Rejects calls while the store fails. After each open period trial calls are allowed one at a time. Only several
/// consecutive successful trials close the breaker, so that a recovering store does not receive the full load at once.
/// Not thread-safe.
class Breaker {
public:
    Breaker(BreakerOptions options, std::uint64_t seed)
        : options_(options)
        , backoff_(options.openDelay, seed)
    {
    }

    /// Returns true if a call may be made now. The caller must report its result to onResult.
    bool tryStartCall(Support::Instant now);
    void onResult(Support::Instant now, bool isSuccess);
    BreakerState state() const { return state_; }

private:
    void open(Support::Instant now);

    BreakerOptions options_;
    Backoff backoff_;
    BreakerState state_ = BreakerState::Closed;
    unsigned consecutiveFailures_ = 0;
    unsigned successfulTrials_ = 0;
    bool isTrialRunning_ = false;
    Support::Instant trialStarted_;
    Support::Instant openUntil_;
};

} // namespace balsamreel::Store
