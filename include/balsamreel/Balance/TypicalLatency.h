// Typical latency of one route, across all servers.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <cstdint>

namespace balsamreel::Balance {

/// Tracks the median of the observed latencies in constant memory.
class TypicalLatency {
public:
    void observe(Support::Duration);

    bool isKnown() const { return count_ > 0; }

    /// Median in microseconds; 0 before the first observation.
    double micros() const { return micros_; }

    /// Ratio of the latency to the typical one; 1 before the first observation.
    double ratioOf(Support::Duration) const;

private:
    double micros_ = 0;
    std::uint32_t count_ = 0;
};

} // namespace balsamreel::Balance
