#include "balsamreel/Store/CallBudget.h"

#include <algorithm>

namespace balsamreel::Store {

double CallBudget::available(Support::Instant now)
{
    // A clock that stands still or goes back must not reduce the number of tokens.
    if (now > lastRefill_) {
        std::chrono::duration<double> elapsed = now - lastRefill_;
        tokens_ = std::min(burst_, tokens_ + elapsed.count() * callsPerSecond_);
        lastRefill_ = now;
    }
    return tokens_;
}

bool CallBudget::tryConsume(Support::Instant now)
{
    if (available(now) < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace balsamreel::Store
