// How many load probes one node may send for one service.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <deque>
#include <optional>

namespace balsamreel::Balance {

/// Lets a probe go out only if no window that ends with it holds more than the budget.
/// A window is a second, or the time in which a budget below one a second allows one probe.
class ProbeBudget {
public:
    ProbeBudget(Support::Instant now, double perSecond);

    /// A new budget in force from now on.
    void setRate(Support::Instant now, double perSecond);

    /// Takes one probe out of the budget; false if it must not be sent now.
    bool tryTake(Support::Instant now);

    /// The probe just taken has left by now; a pause before that must not bring it close to the next one.
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
    std::deque<Rate> rates_; ///< that were in force within the last window, the oldest first
    std::deque<Support::Instant> sentAt_; ///< within the last window
    std::optional<Support::Instant> lastSentAt_;
};

} // namespace balsamreel::Balance
