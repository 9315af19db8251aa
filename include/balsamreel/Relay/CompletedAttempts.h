// Outcomes of offers that ended a short while ago, for senders that lost their link. Pure decisions.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <compare>
#include <deque>
#include <map>
#include <optional>

namespace balsamreel::Relay {

/// Names one offer among all nodes.
struct AttemptKey {
    std::uint64_t senderIncarnation = 0;
    std::uint64_t serial = 0;

    auto operator<=>(const AttemptKey&) const = default;
};

/// Retains outcomes for a bounded time and size. Not thread-safe.
class CompletedAttempts {
public:
    void add(Instant now, const AttemptKey&, Outcome);

    /// Null if the offer is not known to have ended.
    const Outcome* find(const AttemptKey&) const;

    /// Drops what is too old, and the oldest beyond the size.
    void evict(Instant now);

private:
    struct Record {
        AttemptKey key;
        Instant at;
        std::size_t bytes = 0;
    };

    std::map<AttemptKey, Outcome> outcomes_;
    std::deque<Record> order_;
    std::size_t bytes_ = 0;
};

} // namespace balsamreel::Relay
