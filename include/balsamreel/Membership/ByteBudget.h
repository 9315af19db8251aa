// A limit on bytes per second.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <cstdint>

namespace balsamreel::Membership {

/// A token bucket. In any second at most rate + burst bytes pass, save what is spent without asking.
class ByteBudget {
public:
    ByteBudget(double bytesPerSecond, double burstBytes)
        : rate_(bytesPerSecond)
        , burst_(burstBytes)
        , level_(burstBytes)
    {
    }

    void refill(Support::Instant now);

    /// True if the bytes may be spent with a reserve left for what is more urgent.
    bool allows(double bytes, double reserve = 0) const { return level_ >= bytes + reserve; }

    /// Takes the bytes, into debt if need be.
    void spend(double bytes);

    double level() const { return level_; }

private:
    double rate_;
    double burst_;
    double level_;
    Support::Instant lastRefill_;
};

} // namespace balsamreel::Membership
