// Outcomes of completed attempts, for senders that lost their peer connection. No I/O and no clock.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <compare>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace balsamreel::Relay {

/// Identifies an attempt across all nodes.
struct AttemptKey {
    std::uint64_t senderIncarnation = 0;
    std::uint64_t serial = 0; ///< rises with each attempt of the sender

    auto operator<=>(const AttemptKey&) const = default;
};

/// Keeps the outcome of each attempt until the attempt's deadline, in bounded memory. An attempt whose outcome was dropped
/// never counts as unseen. Not thread-safe.
class CompletedAttempts {
public:
    /// Records the outcome, unless the attempt has one.
    void add(Instant now, const AttemptKey&, Instant deadline, Outcome);

    /// Returns null if the attempt is not known to be complete, and Unknown if its outcome may have been dropped.
    const Outcome* find(const AttemptKey&) const;

    /// Drops the outcomes of attempts whose deadline has passed.
    void evict(Instant now);

    std::size_t size() const { return records_.size(); }

private:
    struct Record {
        Outcome outcome;
        Instant deadline;
        std::size_t bytes = 0;
    };
    using Deadlines = std::set<std::pair<Instant, AttemptKey>>;

    /// Highest serial whose outcome was dropped; attempts up to it that have no record may have run.
    struct EvictionWatermark {
        std::uint64_t serial = 0;
        Instant end;
    };

    void limitBytes(Instant now);
    void dropFirst(Instant now);
    void dropResponse(const AttemptKey&);
    void sweepWatermarks(Instant now);

    std::map<AttemptKey, Record> records_;
    Deadlines deadlines_; ///< of all records
    Deadlines responseDeadlines_; ///< of the records that hold a server's response
    std::unordered_map<std::uint64_t, EvictionWatermark> watermarks_; ///< by incarnation of the sender
    Instant nextSweep_;
    std::size_t bytes_ = 0;
};

} // namespace balsamreel::Relay
