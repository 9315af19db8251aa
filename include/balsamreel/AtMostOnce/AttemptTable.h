// What a guard remembers of attempts, so that none runs twice and "not run" is always true.
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
    Offered, ///< waits; has not run
    Dispatched, ///< sent to the server; may run
    Done, ///< the server's answer is there
    Refused, ///< was refused; never ran
    Revoked, ///< the entry took it back before it ran; a late copy is refused
    Lost, ///< dispatched, but the server's answer was lost; may have run
    Forgotten ///< older than what the guard remembers; may have run
};

constexpr Support::NameTable<AttemptState, 8> attemptStateNames{{{AttemptState::Unseen, "unseen"}, {AttemptState::Offered, "offered"}, {AttemptState::Dispatched, "dispatched"}, {AttemptState::Done, "done"}, {AttemptState::Refused, "refused"}, {AttemptState::Revoked, "revoked"}, {AttemptState::Lost, "lost"}, {AttemptState::Forgotten, "forgotten"}}};

/// An answer kept for the entry or for a caller's repeat.
struct RetainedResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct AttemptTableOptions {
    Support::Duration retention = std::chrono::seconds(60); ///< after the attempt's deadline
    Support::Duration watermarkLifetime = std::chrono::hours(1); ///< of the floor of an entry that has sent nothing since
    std::size_t maximumRetainedBytes = 4 * 1024 * 1024; ///< of all kept answers
    std::size_t maximumResponseBytes = 64 * 1024; ///< of one; a longer one is not kept
};

/// The attempts that one guard knows. Not thread-safe.
class AttemptTable {
public:
    explicit AttemptTable(AttemptTableOptions options = {})
        : options_(options)
    {
    }

    /// Takes a new attempt in; false if it is known already, be it revoked or run, or older than one forgotten.
    bool admit(Support::Instant now, const Wire::AttemptId&, Support::Instant deadline);

    /// Asked right before the work is sent to the server; false if it must not be sent.
    bool dispatch(Support::Instant now, const Wire::AttemptId&);

    void refuse(const Wire::AttemptId&);

    /// A dispatched attempt turned out not to have reached the server at all.
    void withdraw(const Wire::AttemptId&);

    /// A dispatched attempt's answer is whole; the second form keeps none.
    void finish(const Wire::AttemptId&, RetainedResponse);
    void finish(const Wire::AttemptId&);
    void markLost(const Wire::AttemptId&);

    /// Takes an attempt back if it has not been dispatched; gives the state that holds from now on.
    AttemptState revoke(Support::Instant now, const Wire::AttemptId&, Support::Instant deadline);

    AttemptState state(const Wire::AttemptId&) const;

    /// The kept answer of a Done attempt; null if it was too large or has been dropped.
    std::shared_ptr<const RetainedResponse> answer(const Wire::AttemptId&) const;

    /// Settles an attempt whose handler ends: an offered one is refused, a dispatched one is lost.
    void complete(const Wire::AttemptId&);

    /// Forgets what is past its retention; costs nothing for attempts that are not.
    void tick(Support::Instant now);

    std::size_t size() const { return attempts_.size(); }
    std::size_t retainedBytes() const { return retainedBytes_; }
    const AttemptTableOptions& options() const { return options_; }

private:
    struct Attempt {
        AttemptState state = AttemptState::Offered;
        Support::Instant deadline;
        std::shared_ptr<const RetainedResponse> answer;
    };

    /// The highest counter forgotten of one entry's incarnation; what is not above it is never new.
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
    std::map<std::uint64_t, EvictionWatermark> watermarks_; ///< by the entry's incarnation
    Support::Instant nextSweep_;
    std::size_t retainedBytes_ = 0;
};

} // namespace balsamreel::AtMostOnce
