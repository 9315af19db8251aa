// How many calls a server can really work on at once, learned from service times. Pure decisions.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <array>
#include <cstdint>

namespace balsamreel::Admission {

struct ConcurrencyLimiterOptions {
    std::uint32_t slots = 8; ///< announced by the server
    double maximumFactor = 1.5; ///< largest limit as a multiple of the announced slots; 1: never above them
};

/// Follows the concurrency at which a server's throughput stops rising. Not thread-safe.
class ConcurrencyLimiter {
public:
    explicit ConcurrencyLimiter(ConcurrencyLimiterOptions);

    /// Other announced slots start the search afresh.
    void setOptions(const ConcurrencyLimiterOptions&);

    /// Calls that may run at once.
    std::uint32_t limit() const { return isTrialWindow_ ? trialLimit_ : baseLimit_; }

    /// Work has ended. The slowdown is its service time relative to its route's without load;
    /// isSaturated: the limit was reached and calls waited.
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
    unsigned failures_ = 0; ///< trials in a row that changed nothing
    double slowdown_ = 1; ///< smoothed, while saturated
    Support::Instant windowStart_;
    Support::Instant nextTrialAt_;
    bool hasNextTrial_ = false;
    std::array<Arm, 2> arms_; ///< base, trial
};

} // namespace balsamreel::Admission
