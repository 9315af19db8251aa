// The budget of store calls of one node.
#pragma once

#include "balsamreel/Support/Clock.h"

namespace balsamreel::Store {

/// A token bucket: calls are saved up to a burst and refilled at a steady rate. Not thread-safe.
class CallBudget {
public:
    CallBudget(double callsPerSecond, double burst)
        : callsPerSecond_(callsPerSecond)
        , burst_(burst)
        , tokens_(burst)
    {
    }

    /// Takes one call from the budget; false if it is used up.
    bool tryConsume(Support::Instant now);

    /// Calls that may be made now.
    double available(Support::Instant now);

private:
    double callsPerSecond_;
    double burst_;
    double tokens_;
    Support::Instant lastRefill_;
};

} // namespace balsamreel::Store
