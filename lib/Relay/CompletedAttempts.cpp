#include "balsamreel/Relay/CompletedAttempts.h"

namespace balsamreel::Relay {

namespace {

// Longer than any sender goes on asking, and than an offer may be delayed on its way.
constexpr Duration retention = std::chrono::seconds(10);
constexpr std::size_t maximumBytes = 4U * 1024 * 1024;
constexpr std::size_t bytesPerEntry = 200;

std::size_t sizeOf(const Outcome& outcome)
{
    const auto* answer = std::get_if<ServerResponse>(&outcome);
    return bytesPerEntry + (answer ? answer->body.size() : 0);
}

} // namespace

void CompletedAttempts::add(Instant now, const AttemptKey& key, Outcome outcome)
{
    auto bytes = sizeOf(outcome);
    if (!outcomes_.emplace(key, std::move(outcome)).second)
        return;
    order_.push_back({key, now, bytes});
    bytes_ += bytes;
    evict(now);
}

const Outcome* CompletedAttempts::find(const AttemptKey& key) const
{
    auto found = outcomes_.find(key);
    return found == outcomes_.end() ? nullptr : &found->second;
}

void CompletedAttempts::evict(Instant now)
{
    while (!order_.empty() && order_.front().at + retention < now) {
        bytes_ -= order_.front().bytes;
        outcomes_.erase(order_.front().key);
        order_.pop_front();
    }
    // That an offer has ended is kept even where there is no room for its answer: taken for never seen, it
    // would be called not run.
    for (auto entry = order_.begin(); entry != order_.end() && bytes_ > maximumBytes; ++entry) {
        if (entry->bytes == bytesPerEntry)
            continue;
        outcomes_[entry->key] = Unknown{Reason::PeerLost};
        bytes_ -= entry->bytes - bytesPerEntry;
        entry->bytes = bytesPerEntry;
    }
}

} // namespace balsamreel::Relay
