// Tracks recent latency and failures of one server and limits the calls it receives while it recovers.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <optional>

namespace balsamreel::Balance {

/// Learns from responses, decays with time, and returns a recovering server to full use in steps.
class Health {
public:
    /// Records a response that took ratio times the usual latency.
    void onAnswer(Support::Instant now, double ratio);

    /// Records a failed attempt; returns the ejection time if the server is ejected.
    std::optional<Support::Duration> onFailure(Support::Instant now, bool isUnreachable);

    /// Records a report of the guard of the server: responses take ratio times the usual latency.
    void onReport(Support::Instant now, double ratio);

    /// Expected latency relative to the usual one; decays to a medium value without new samples.
    double slowdown(Support::Instant now) const;

    /// Expected slowdown if the next response had this ratio.
    double slowdownAfter(Support::Instant now, double ratio) const;

    /// Expected share of failed attempts; decays to 0 without new samples.
    double failureShare(Support::Instant now) const;

    /// True if the server has been slow or failing and has not recovered since.
    bool isSuspected() const { return isSuspected_; }

    /// True if the server is suspected and a trial attempt is due.
    bool isDueForTrial(Support::Instant now) const;

    /// Maximum number of concurrent attempts of this entry at the server.
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
    unsigned failedTrials_ = 0; ///< consecutive failed trials
    unsigned ejections_ = 0; ///< consecutive ejections
    unsigned allowance_ = unlimitedAllowance;
};

} // namespace balsamreel::Balance
