// How well one server has answered of late, and how much of the work it may be given after a setback.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <optional>

namespace balsamreel::Balance {

/// Learns from answers, forgets with time, and returns a server to full use step by step.
class Health {
public:
    /// An answer came that took ratio times as long as usual.
    void onAnswer(Support::Instant now, double ratio);

    /// An attempt failed; gives the time for which the server is left alone, if it is.
    std::optional<Support::Duration> onFailure(Support::Instant now, bool isUnreachable);

    /// The server's guard reports that answers take ratio times as long as usual.
    void onReport(Support::Instant now, double ratio);

    /// Expected latency relative to the usual one; returns to a middling value while nothing is heard.
    double slowdown(Support::Instant now) const;

    /// Expected slowness if an answer with this ratio came next.
    double slowdownAfter(Support::Instant now, double ratio) const;

    /// Share of attempts expected to fail; approaches 0 while nothing is heard.
    double failureShare(Support::Instant now) const;

    /// The server has been slow or failing, and has not yet shown that it recovered.
    bool isSuspected() const { return isSuspected_; }

    /// A suspected server has been left alone for long enough to be tried again.
    bool isDueForTrial(Support::Instant now) const;

    /// Own attempts that may be open at the server at once.
    unsigned allowance() const { return allowance_; }

    static constexpr unsigned unlimitedAllowance = 1U << 16U;

private:
    void applyDecay(Support::Instant now);
    double decayFactor(Support::Instant now) const;
    void suspect(Support::Instant now);
    Support::Duration trialDelay() const;

    double slowdown_ = 1.5;
    double failureShare_ = 0;
    Support::Instant updatedAt_;
    Support::Instant suspectedAt_;
    Support::Instant ejectedUntil_;
    bool isSuspected_ = false;
    unsigned failedTrials_ = 0; ///< trials in a row that went wrong
    unsigned ejections_ = 0; ///< in a row
    unsigned allowance_ = unlimitedAllowance;
};

} // namespace balsamreel::Balance
