#pragma once

#include "balsamreel/Membership/Swim.h"

#include <cstddef>
#include <string>
#include <vector>

namespace balsamreel::Membership {

constexpr std::size_t updateRoomBytes = 1100; ///< room for updates in a datagram that carries nothing else
constexpr std::size_t minimumUpdateRoomBytes = 250; ///< a datagram for updates alone is not sent for less

/// State of one call to tick() or receive().
struct Swim::EventContext {
    Support::Instant now;
    Support::HybridTime time;
    Support::Endpoint from; ///< of the message being handled
    std::string sender;
    std::vector<Outgoing> outgoing;
};

} // namespace balsamreel::Membership
