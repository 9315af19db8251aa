// The time left until a deadline, as messages between nodes carry it.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <algorithm>
#include <cstdint>

namespace balsamreel::Relay {

/// In microseconds; zero after the deadline.
inline std::uint32_t microsUntil(Support::Instant now, Support::Instant deadline)
{
    return static_cast<std::uint32_t>(std::max<Support::Duration::rep>(0, (deadline - now).count()));
}

} // namespace balsamreel::Relay
