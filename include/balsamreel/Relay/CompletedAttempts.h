// Outcomes of recently completed attempts, for senders that lost their peer connection. No I/O and no clock.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <compare>
#include <deque>
#include <map>
#include <optional>

namespace balsamreel::Relay {

/// Identifies an attempt across all nodes.
struct AttemptKey {
    std::uint64_t senderIncarnation = 0;
    std::uint64_t serial = 0;

    auto operator<=>(const AttemptKey&) const = default;
};

/// Keeps outcomes for a bounded time and in bounded memory. Not thread-safe.
class CompletedAttempts {
public:
    void add(Instant now, const AttemptKey&, Outcome);

    /// Returns null if the attempt is not known to be complete.
    const Outcome* find(const AttemptKey&) const;

    std::size_t size() const { return outcomes_.size(); }

    /// Drops expired outcomes. Beyond the size limit, replaces the oldest responses by Unknown.
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
