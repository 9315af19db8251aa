// Rate limit on the store calls of one node.
#pragma once

#include "balsamreel/Support/Clock.h"

namespace balsamreel::Store {

/// A token bucket with one token per call: it refills at callsPerSecond up to burst tokens. Not thread-safe.
class CallBudget {
public:
    CallBudget(double callsPerSecond, double burst)
        : callsPerSecond_(callsPerSecond)
        , burst_(burst)
        , tokens_(burst)
    {
    }

    /// Consumes one token; returns false if there is none.
    bool tryConsume(Support::Instant now);

    /// Returns the number of tokens after a refill.
    double available(Support::Instant now);

private:
    double callsPerSecond_;
    double burst_;
    double tokens_;
    Support::Instant lastRefill_;
};

} // namespace balsamreel::Store
