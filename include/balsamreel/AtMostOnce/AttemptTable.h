// Attempts that a guard keeps track of, so that none runs twice and a reported "not run" is always true.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/NameTable.h"
#include "balsamreel/Wire/Headers.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace balsamreel::AtMostOnce {

/// States of an attempt at its guard.
enum class AttemptState : std::uint8_t { Unseen,
    Offered, ///< queued at the guard; has not run
    Dispatched, ///< sent to the server; may run
    Done, ///< the response of the server is complete
    Refused, ///< refused by the guard; never ran and never will
    Revoked, ///< revoked by the entry before it ran; late copies are refused
    Lost, ///< dispatched, but the response was lost; may have run
    Forgotten ///< at or below the eviction watermark of the guard; may have run
};

constexpr Support::NameTable<AttemptState, 8> attemptStateNames{{{AttemptState::Unseen, "unseen"}, {AttemptState::Offered, "offered"}, {AttemptState::Dispatched, "dispatched"}, {AttemptState::Done, "done"}, {AttemptState::Refused, "refused"}, {AttemptState::Revoked, "revoked"}, {AttemptState::Lost, "lost"}, {AttemptState::Forgotten, "forgotten"}}};

/// A response retained for a query of the entry or for a repeated call with the same idempotency key.
struct RetainedResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct AttemptTableOptions {
    Support::Duration retention = std::chrono::seconds(60); ///< after the attempt's deadline
    Support::Duration watermarkLifetime = std::chrono::hours(1); ///< kept for this long after the last eviction for its incarnation
    std::size_t maximumRetainedBytes = 4 * 1024 * 1024; ///< total of all retained responses
    std::size_t maximumResponseBytes = 64 * 1024; ///< longer responses are not retained
};

/// The attempts known to one guard. Not thread-safe.
class AttemptTable {
public:
    explicit AttemptTable(AttemptTableOptions options = {})
        : options_(options)
    {
    }

    /// Registers a new attempt; false if it is already known in any state, or forgotten.
    bool admit(Support::Instant now, const Wire::AttemptId&, Support::Instant deadline);

    /// Marks an attempt as dispatched, immediately before it is sent to the server; false if it must not be sent.
    bool dispatch(Support::Instant now, const Wire::AttemptId&);

    void refuse(const Wire::AttemptId&);

    /// Marks a dispatched attempt as refused, because it never reached the server.
    void withdraw(const Wire::AttemptId&);

    /// Marks a dispatched attempt as done; the first overload retains its response.
    void finish(const Wire::AttemptId&, RetainedResponse);
    void finish(const Wire::AttemptId&);
    void markLost(const Wire::AttemptId&);

    /// Revokes an attempt unless it has been dispatched; returns the resulting state.
    AttemptState revoke(Support::Instant now, const Wire::AttemptId&, Support::Instant deadline);

    AttemptState state(const Wire::AttemptId&) const;

    /// The retained response of a Done attempt; null if it was not retained or has been evicted.
    std::shared_ptr<const RetainedResponse> answer(const Wire::AttemptId&) const;

    /// Completes an attempt when its handler ends: one that is still Offered becomes Refused, one still Dispatched Lost.
    void complete(const Wire::AttemptId&);

    /// Evicts attempts past their retention; attempts within their retention add no cost.
    void tick(Support::Instant now);

    std::size_t size() const { return attempts_.size(); }
    std::size_t retainedBytes() const { return retainedBytes_; }
    const AttemptTableOptions& options() const { return options_; }

private:
    struct Attempt {
        AttemptState state = AttemptState::Offered;
        Support::Instant deadline;
        std::shared_ptr<const RetainedResponse> response;
    };

    /// Highest evicted counter of one incarnation of an entry; unknown attempts up to it are Forgotten, never new.
    struct EvictionWatermark {
        std::uint64_t counter = 0;
        Support::Instant end;
    };

    Attempt* find(const Wire::AttemptId&, AttemptState);
    std::pair<Attempt*, bool> insert(const Wire::AttemptId&, AttemptState, Support::Instant deadline);
    bool isForgotten(const Wire::AttemptId&) const;
    void evict(Support::Instant now, const Wire::AttemptId&);
    void sweepWatermarks(Support::Instant now);

    static constexpr std::size_t maximumEvictedPerTick = 256;

    AttemptTableOptions options_;
    std::map<Wire::AttemptId, Attempt> attempts_;
    std::multimap<Support::Instant, Wire::AttemptId> expiries_;
    std::map<std::uint64_t, EvictionWatermark> watermarks_; ///< by incarnation of the entry
    Support::Instant nextSweep_;
    std::size_t retainedBytes_ = 0;
};

} // namespace balsamreel::AtMostOnce
