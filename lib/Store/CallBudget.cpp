#include "balsamreel/Store/CallBudget.h"

#include <algorithm>

namespace balsamreel::Store {

double CallBudget::available(Support::Instant now)
{
    // A clock that seems to stand still or go back must not take calls away.
    if (now > refilledAt_) {
        std::chrono::duration<double> elapsed = now - refilledAt_;
        tokens_ = std::min(burst_, tokens_ + elapsed.count() * callsPerSecond_);
        refilledAt_ = now;
    }
    return tokens_;
}

bool CallBudget::take(Support::Instant now)
{
    if (available(now) < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace balsamreel::Store
