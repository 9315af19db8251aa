#include "balsamreel/Membership/NewsQueue.h"

#include <utility>

namespace balsamreel::Membership {

void NewsQueue::push(const std::string& node)
{
    if (bySentCount_.empty())
        bySentCount_.emplace_back();
    // An older entry stays where it is and is skipped, since its ticket no longer counts.
    current_[node] = nextTicket_;
    bySentCount_.front().push_back({node, nextTicket_++});
}

bool NewsQueue::isCurrent(const Entry& entry) const
{
    auto found = current_.find(entry.node);
    return found != current_.end() && found->second == entry.ticket;
}

void NewsQueue::take(unsigned limit, const std::function<Take(const std::string& node)>& offer)
{
    std::vector<std::pair<std::size_t, Entry>> sent;
    bool isFull = false;
    for (std::size_t count = 0; count < bySentCount_.size() && !isFull; ++count) {
        auto& entries = bySentCount_[count];
        while (!entries.empty()) {
            auto& entry = entries.front();
            auto taken = isCurrent(entry) ? offer(entry.node) : Take::Dropped;
            isFull = taken == Take::Full;
            if (isFull)
                break;
            if (taken == Take::Sent)
                sent.emplace_back(count + 1, std::move(entry));
            else if (isCurrent(entry))
                current_.erase(entry.node);
            entries.pop_front();
        }
    }
    for (auto& [count, entry] : sent) {
        if (count >= limit) {
            current_.erase(entry.node);
            continue;
        }
        if (bySentCount_.size() <= count)
            bySentCount_.resize(count + 1);
        bySentCount_[count].push_back(std::move(entry));
    }
}

} // namespace balsamreel::Membership
