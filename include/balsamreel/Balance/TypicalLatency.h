// The latency that answers of one route usually take, whichever server gave them.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <cstdint>

namespace balsamreel::Balance {

/// Follows the median of the latencies it is shown, in constant memory.
class TypicalLatency {
public:
    void observe(Support::Duration);

    bool isKnown() const { return count_ > 0; }

    /// Microseconds; zero until the first answer.
    double micros() const { return micros_; }

    /// How many times as long as usual the latency is; 1 while nothing is known.
    double ratioOf(Support::Duration) const;

private:
    double micros_ = 0;
    std::uint32_t count_ = 0;
};

} // namespace balsamreel::Balance
