#pragma once

#include "balsamreel/Support/Clock.h"

#include <cstdint>

namespace balsamreel::Membership {

/// Token bucket that limits bytes per second. Over any second at most rate + burst bytes pass, not counting bytes that
/// are spent without calling allows() first.
class ByteBudget {
public:
    ByteBudget(double bytesPerSecond, double burstBytes)
        : rate_(bytesPerSecond)
        , burst_(burstBytes)
        , level_(burstBytes)
    {
    }

    /// Adds the bytes earned since the last call.
    void refill(Support::Instant now);

    /// True if the bytes may be spent and reserve bytes remain for more urgent traffic.
    bool allows(double bytes, double reserve = 0) const { return level_ >= bytes + reserve; }

    /// Subtracts the bytes. The level becomes negative (debt) if they exceed it.
    void spend(double bytes);

    double level() const { return level_; }

private:
    double rate_;
    double burst_;
    double level_;
    Support::Instant lastRefill_;
};

} // namespace balsamreel::Membership
