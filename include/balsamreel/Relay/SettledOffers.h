// Outcomes of offers that ended a short while ago, for senders that lost their link. Pure decisions.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <compare>
#include <deque>
#include <map>
#include <optional>

namespace balsamreel::Relay {

/// Names one offer among all nodes.
struct OfferKey {
    std::uint64_t senderIncarnation = 0;
    std::uint64_t serial = 0;

    auto operator<=>(const OfferKey&) const = default;
};

/// Retains outcomes for a bounded time and size. Not thread-safe.
class SettledOffers {
public:
    void add(Instant now, const OfferKey&, Outcome);

    /// Null if the offer is not known to have ended.
    const Outcome* find(const OfferKey&) const;

    /// Drops what is too old, and the oldest beyond the size.
    void forget(Instant now);

private:
    struct Entry {
        OfferKey key;
        Instant at;
        std::size_t bytes = 0;
    };

    std::map<OfferKey, Outcome> outcomes_;
    std::deque<Entry> order_;
    std::size_t bytes_ = 0;
};

} // namespace balsamreel::Relay
