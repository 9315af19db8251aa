// The open connections of a listener, up to a limit.
#pragma once

#include "balsamreel/Relay/CallerConnection.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>

namespace balsamreel::Relay {

/// What was done to make room for a new connection.
enum class RoomResult : std::uint8_t { Free, ///< there was room
    ClosedIdle,
    ClosedStalled,
    Full ///< every connection is in use
};

class CallerConnections {
public:
    void setLimit(std::size_t limit) { limit_ = limit; }

    void add(std::shared_ptr<CallerConnection> connection) { connections_.insert(std::move(connection)); }
    void remove(const std::shared_ptr<CallerConnection>& connection) { connections_.erase(connection); }

    /// If the limit is reached, closes one connection: an idle one, or the one whose caller has stalled longest.
    RoomResult makeRoom(Instant now);

private:
    std::shared_ptr<CallerConnection> longestStalled(Instant now) const;

    std::size_t limit_ = 0;
    std::set<std::shared_ptr<CallerConnection>> connections_;
};

} // namespace balsamreel::Relay
