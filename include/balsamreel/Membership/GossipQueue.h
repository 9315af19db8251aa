// What this node has to tell the others, least often told first.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamreel::Membership {

/// Names of members whose records are news. One entry a member: a later push starts its count afresh.
class GossipQueue {
public:
    enum class SendResult : std::uint8_t { Sent,
        Dropped, ///< no longer news
        Full ///< does not fit; goes out later
    };

    void push(const std::string& node);
    void erase(const std::string& node) { currentTickets_.erase(node); }
    bool contains(const std::string& node) const { return currentTickets_.contains(node); }
    bool empty() const { return currentTickets_.empty(); }
    std::size_t size() const { return currentTickets_.size(); }

    /// Offers entries until one does not fit. An entry that has been sent limit times is dropped.
    void sendPending(unsigned limit, const std::function<SendResult(const std::string& node)>&);

private:
    struct Entry {
        std::string node;
        std::uint64_t ticket = 0;
    };
    bool isCurrent(const Entry&) const;

    std::vector<std::deque<Entry>> bySentCount_;
    std::unordered_map<std::string, std::uint64_t> currentTickets_; ///< ticket of the entry that counts
    std::uint64_t nextTicket_ = 1;
};

} // namespace balsamreel::Membership
