#include "balsamreel/Membership/GossipQueue.h"

#include <utility>

namespace balsamreel::Membership {

void GossipQueue::push(const std::string& node)
{
    if (bySentCount_.empty())
        bySentCount_.emplace_back();
    // An older entry of the member stays in its queue and is skipped later, since its ticket is no longer current.
    currentTickets_[node] = nextTicket_;
    bySentCount_.front().push_back({node, nextTicket_++});
}

bool GossipQueue::isCurrent(const Entry& entry) const
{
    auto found = currentTickets_.find(entry.node);
    return found != currentTickets_.end() && found->second == entry.ticket;
}

void GossipQueue::sendPending(unsigned limit, const std::function<SendResult(const std::string& node)>& trySend)
{
    std::vector<std::pair<std::size_t, Entry>> sent;
    bool isFull = false;
    for (std::size_t count = 0; count < bySentCount_.size() && !isFull; ++count) {
        auto& entries = bySentCount_[count];
        while (!entries.empty()) {
            auto& entry = entries.front();
            auto result = isCurrent(entry) ? trySend(entry.node) : SendResult::Dropped;
            isFull = result == SendResult::Full;
            if (isFull)
                break;
            if (result == SendResult::Sent)
                sent.emplace_back(count + 1, std::move(entry));
            else if (isCurrent(entry))
                currentTickets_.erase(entry.node);
            entries.pop_front();
        }
    }
    for (auto& [count, entry] : sent) {
        if (count >= limit) {
            currentTickets_.erase(entry.node);
            continue;
        }
        if (bySentCount_.size() <= count)
            bySentCount_.resize(count + 1);
        bySentCount_[count].push_back(std::move(entry));
    }
}

} // namespace balsamreel::Membership
