#include "balsamreel/Support/Random.h"

namespace balsamreel::Support {

std::uint64_t randomSeed()
{
    constexpr unsigned halfWidth = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << halfWidth) | device();
}

} // namespace balsamreel::Support
