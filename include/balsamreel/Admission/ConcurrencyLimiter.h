// Learns from service times how many calls a server can process concurrently. Performs no I/O; callers pass in the time.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <array>
#include <cstdint>

namespace balsamreel::Admission {

struct ConcurrencyLimiterOptions {
    std::uint32_t slots = 8; ///< concurrent calls that the server announces
    double maximumFactor = 1.5; ///< maximum limit as a multiple of the announced slots; 1: never above them
};

/// Tracks the concurrency at which the throughput of a server stops rising. Not thread-safe.
class ConcurrencyLimiter {
public:
    explicit ConcurrencyLimiter(ConcurrencyLimiterOptions);

    /// Restarts the search if the options differ.
    void setOptions(const ConcurrencyLimiterOptions&);

    /// Number of calls that may run concurrently.
    std::uint32_t limit() const { return isTrialWindow_ ? trialLimit_ : baseLimit_; }

    /// Records a finished call. The slowdown is its service time relative to that of its route without load.
    /// isSaturated: the limit was reached and calls were queued.
    void finished(Support::Instant now, Support::Instant startedAt, double slowdown, double typicalMicros, bool isSaturated);

private:
    struct Arm {
        double slowdownSum = 0;
        std::uint32_t samples = 0;
        double mean() const { return slowdownSum / samples; }
    };
    enum class Stage : std::uint8_t { BackingOff,
        Trial };

    void nextWindow(Support::Instant now);
    void startTrial(Support::Instant now);
    void endTrial(Support::Instant now);
    void backOff(Support::Instant now);

    ConcurrencyLimiterOptions options_;
    std::uint32_t baseLimit_ = 1;
    std::uint32_t trialLimit_ = 1;
    bool isTrialWindow_ = false;
    Stage stage_ = Stage::BackingOff;
    unsigned window_ = 0;
    unsigned failures_ = 0; ///< consecutive trials that did not change the limit
    double slowdown_ = 1; ///< exponential moving average while saturated
    Support::Instant windowStart_;
    Support::Instant nextTrialAt_;
    bool hasNextTrial_ = false;
    std::array<Arm, 2> arms_; ///< samples under the base limit and under the trial limit
};

} // namespace balsamreel::Admission
