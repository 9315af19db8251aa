#include "balsamreel/Store/Backoff.h"

#include <algorithm>

namespace balsamreel::Store {

Support::Duration Backoff::next()
{
    auto half = ceiling_ / 2;
    auto jitter = static_cast<Support::Duration::rep>(random_.fraction() * static_cast<double>((ceiling_ - half).count()));
    ceiling_ = std::min(options_.maximumDelay, ceiling_ * 2);
    return half + Support::Duration(jitter);
}

} // namespace balsamreel::Store
