#include "balsamreel/Relay/CompletedAttempts.h"

namespace balsamreel::Relay {

namespace {

// Longer than any sender keeps querying an outcome, and longer than a request can be delayed in transit.
constexpr Duration retention = std::chrono::seconds(10);
constexpr std::size_t maximumBytes = 4U * 1024 * 1024;
constexpr std::size_t recordOverheadBytes = 200;

std::size_t sizeOf(const Outcome& outcome)
{
    const auto* response = std::get_if<ServerResponse>(&outcome);
    return recordOverheadBytes + (response ? response->body.size() : 0);
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
    // The record stays when its response is dropped: without it, the attempt would count as never seen and be
    // reported as not run.
    for (auto record = order_.begin(); record != order_.end() && bytes_ > maximumBytes; ++record) {
        if (record->bytes == recordOverheadBytes)
            continue;
        outcomes_[record->key] = Unknown{Reason::PeerLost};
        bytes_ -= record->bytes - recordOverheadBytes;
        record->bytes = recordOverheadBytes;
    }
}

} // namespace balsamreel::Relay
