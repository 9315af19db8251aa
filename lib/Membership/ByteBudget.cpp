#include "balsamreel/Membership/ByteBudget.h"

#include <algorithm>

namespace balsamreel::Membership {

void ByteBudget::refill(Support::Instant now)
{
    if (now <= lastRefill_)
        return;
    double seconds = std::chrono::duration<double>(now - lastRefill_).count();
    lastRefill_ = now;
    level_ = std::min(burst_, level_ + rate_ * seconds);
}

void ByteBudget::spend(double bytes)
{
    level_ -= bytes;
}

} // namespace balsamreel::Membership
