// Determines the outcome of an attempt whose response does not arrive on its own connection.
#pragma once

#include "balsamreel/AtMostOnce/AttemptTable.h"
#include "balsamreel/Support/Clock.h"

#include <cstdint>
#include <variant>

namespace balsamreel::AtMostOnce {

/// Reply of a guard to a query.
struct GuardReply {
    AttemptState state = AttemptState::Unseen;
    bool isSameIncarnation = true; ///< the guard still runs the process that the attempt was sent to
    bool hasResponse = false; ///< the reply includes the retained response
};
struct NoReply { };
using QueryReply = std::variant<GuardReply, NoReply>;

enum class Verdict : std::uint8_t { Pending, ///< query again later
    Deliver, ///< return the retained response to the caller
    Retry, ///< may be sent to another server; for at-most-once calls, the attempt has not run and never will
    Unknown ///< may have run; must not be retried
};

struct OutcomeResolverOptions {
    Support::Duration firstCheck = std::chrono::milliseconds(250); ///< time without a response before the first query while the connection is open
    Support::Duration longestCheck = std::chrono::seconds(2); ///< the interval between queries doubles up to this value
    Support::Duration firstPoll = std::chrono::milliseconds(10); ///< initial interval between queries after the connection was lost
    Support::Duration longestPoll = std::chrono::milliseconds(250);
    Support::Duration unreachableLimit = std::chrono::seconds(2); ///< a guard that has not replied for this time is given up
};

/// Controls the queries about one attempt that was sent. At most one query is in progress at a time.
class OutcomeResolver {
public:
    OutcomeResolver(Support::Instant deadline, bool isAtMostOnce, OutcomeResolverOptions options = {})
        : options_(options)
        , deadline_(deadline)
        , isAtMostOnce_(isAtMostOnce)
        , interval_(options.firstCheck)
    {
    }

    /// Records that no response can arrive on the connection of the attempt any more.
    void breakConnection(Support::Instant now);

    /// True if the next query must also revoke the attempt.
    bool wantsRevocation(Support::Instant now) const;

    /// Processes the reply to a query.
    Verdict evaluate(Support::Instant now, const QueryReply&);

    /// Returns the time until the next query; the interval grows with each call.
    Support::Duration nextInterval();

private:
    Verdict evaluateReply(Support::Instant now, const GuardReply&);
    Verdict evaluateReply(Support::Instant now, const NoReply&);
    Verdict evaluateRepeatable(Support::Instant now, const GuardReply&);

    OutcomeResolverOptions options_;
    Support::Instant deadline_;
    bool isAtMostOnce_ = false;
    bool isConnectionBroken_ = false;
    bool hasBeenUnseen_ = false;
    bool hasBeenDone_ = false;
    bool isUnreachable_ = false;
    Support::Instant unreachableSince_;
    Support::Duration interval_;
};

} // namespace balsamreel::AtMostOnce
