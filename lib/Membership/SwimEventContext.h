// What the parts of Swim share: one call of it, and the room for news in datagrams.
#pragma once

#include "balsamreel/Membership/Swim.h"

#include <cstddef>
#include <string>
#include <vector>

namespace balsamreel::Membership {

constexpr std::size_t updateRoomBytes = 1100; ///< in a datagram that carries nothing else
constexpr std::size_t minimumUpdateRoomBytes = 250; ///< a datagram for news alone is not worth sending for less

/// One call of tick() or receive().
struct Swim::EventContext {
    Support::Instant now;
    Support::HybridTime time;
    Support::Endpoint from; ///< of the message that is answered
    std::string sender;
    std::vector<Outgoing> outgoing;
};

} // namespace balsamreel::Membership
