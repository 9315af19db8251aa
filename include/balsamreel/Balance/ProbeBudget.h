// Rate limit for the load probes that one node sends for one service.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <deque>
#include <optional>

namespace balsamreel::Balance {

/// Allows a probe only if the time window that ends with it contains no more probes than the budget allows.
/// The window is one second, or, for budgets below one probe per second, the time per probe.
class ProbeBudget {
public:
    ProbeBudget(Support::Instant now, double perSecond);

    /// Sets the budget from now on.
    void setRate(Support::Instant now, double perSecond);

    /// Consumes one probe of the budget; false if no probe may be sent now.
    bool tryTake(Support::Instant now);

    /// Records the send time of the probe last taken, so that a delay before sending does not shorten the spacing to the next.
    void sent(Support::Instant now);

    static constexpr Support::Duration window = std::chrono::seconds(1);

private:
    struct Rate {
        Support::Instant since;
        double perSecond = 0;
    };

    void removeExpired(Support::Instant now);
    double lowestRate() const;

    Support::Instant createdAt_;
    std::deque<Rate> rates_; ///< budgets in force during the last window, oldest first
    std::deque<Support::Instant> sentAt_; ///< send times within the last window
    std::optional<Support::Instant> lastSentAt_;
};

} // namespace balsamreel::Balance
