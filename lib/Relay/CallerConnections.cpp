#include "balsamreel/Relay/CallerConnections.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

// A request that is received, or a response that is read, without pause is not cut.
constexpr Duration minimumStall = std::chrono::milliseconds(500);

} // namespace

// The closed connection is removed later, by its onClosed handler; until then there is one more than the limit.
RoomResult CallerConnections::makeRoom(Instant now)
{
    if (connections_.size() < limit_)
        return RoomResult::Free;
    auto idle = std::ranges::find_if(connections_, [](const auto& connection) { return connection->isIdle(); });
    if (idle != connections_.end()) {
        (*idle)->close();
        return RoomResult::ClosedIdle;
    }
    auto stalled = longestStalled(now);
    if (!stalled)
        return RoomResult::Full;
    stalled->close();
    return RoomResult::ClosedStalled;
}

std::shared_ptr<CallerConnection> CallerConnections::longestStalled(Instant now) const
{
    std::shared_ptr<CallerConnection> longest;
    auto since = now - minimumStall;
    for (const auto& connection : connections_) {
        auto stalledSince = connection->stalledSince();
        if (!stalledSince || *stalledSince >= since)
            continue;
        since = *stalledSince;
        longest = connection;
    }
    return longest;
}

} // namespace balsamreel::Relay
