#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamreel::Membership {

/// Queue of members whose changes are to be sent to other nodes, least often sent first. Holds one entry per member;
/// pushing a member again resets its send count.
class GossipQueue {
public:
    enum class SendResult : std::uint8_t { Sent,
        Dropped, ///< no longer needs to be sent
        Full ///< does not fit; stays queued
    };

    void push(const std::string& node);
    void erase(const std::string& node) { currentTickets_.erase(node); }
    bool contains(const std::string& node) const { return currentTickets_.contains(node); }
    bool empty() const { return currentTickets_.empty(); }
    std::size_t size() const { return currentTickets_.size(); }

    /// Calls the function for each entry, least often sent first, until it returns Full. Drops entries that have been
    /// sent limit times.
    void sendPending(unsigned limit, const std::function<SendResult(const std::string& node)>&);

private:
    struct Entry {
        std::string node;
        std::uint64_t ticket = 0;
    };
    bool isCurrent(const Entry&) const;

    std::vector<std::deque<Entry>> bySentCount_;
    std::unordered_map<std::string, std::uint64_t> currentTickets_; ///< ticket of each member's valid entry
    std::uint64_t nextTicket_ = 1;
};

} // namespace balsamreel::Membership
