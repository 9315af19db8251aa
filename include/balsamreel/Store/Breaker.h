// Circuit breaker in front of the store.
#pragma once

#include "balsamreel/Store/Backoff.h"

#include <cstdint>

namespace balsamreel::Store {

struct BreakerOptions {
    unsigned failuresToOpen = 4; ///< in a row
    unsigned trialsToClose = 3; ///< successes in a row, made one at a time
    BackoffOptions openDelay; ///< how long no call passes after a failure
    Support::Duration trialTimeout = std::chrono::seconds(10); ///< a trial without a result by then counts as failed
};

enum class BreakerState : std::uint8_t { Closed,
    Open,
    HalfOpen };

/// Holds calls back while the store fails. After each pause one trial passes at a time; only several good ones
/// in a row close the breaker, so that a store that comes back is not met by all calls at once. Not thread-safe.
class Breaker {
public:
    Breaker(BreakerOptions options, std::uint64_t seed)
        : options_(options)
        , backoff_(options.openDelay, seed)
    {
    }

    /// A call may be made now; its result must be given to onResult.
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
