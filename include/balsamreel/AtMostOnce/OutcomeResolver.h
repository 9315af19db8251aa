// What an entry concludes about an attempt whose answer does not come over its own connection.
#pragma once

#include "balsamreel/AtMostOnce/AttemptTable.h"
#include "balsamreel/Support/Clock.h"

#include <cstdint>
#include <variant>

namespace balsamreel::AtMostOnce {

/// A guard's answer to a query.
struct GuardReply {
    AttemptState state = AttemptState::Unseen;
    bool isSameIncarnation = true; ///< the process that the attempt was sent to
    bool hasResponse = false; ///< the retained answer came along
};
struct NoReply { };
using QueryReply = std::variant<GuardReply, NoReply>;

enum class Verdict : std::uint8_t { Pending, ///< ask again later
    Deliver, ///< hand the retained answer to the caller
    Retry, ///< may be sent elsewhere; for at-most-once work: the attempt has not run and never will
    Unknown ///< may have run; must not be repeated
};

struct OutcomeResolverOptions {
    Support::Duration firstCheck = std::chrono::milliseconds(250); ///< silence before the first query while the connection is open
    Support::Duration longestCheck = std::chrono::seconds(2); ///< checks double up to this interval
    Support::Duration firstPoll = std::chrono::milliseconds(10); ///< between queries after the connection has broken
    Support::Duration longestPoll = std::chrono::milliseconds(250);
    Support::Duration unreachableLimit = std::chrono::seconds(2); ///< a guard that answers no query for so long is taken for gone
};

/// The questions about one sent attempt. At most one query is under way at a time.
class OutcomeResolver {
public:
    OutcomeResolver(Support::Instant deadline, bool isAtMostOnce, OutcomeResolverOptions options = {})
        : options_(options)
        , deadline_(deadline)
        , isAtMostOnce_(isAtMostOnce)
        , interval_(options.firstCheck)
    {
    }

    /// The attempt's own connection can bring no answer any more.
    void breakConnection(Support::Instant now);

    /// The next query shall revoke the attempt as well.
    bool wantsRevocation(Support::Instant now) const;

    /// Takes the reply to a query.
    Verdict evaluate(Support::Instant now, const QueryReply&);

    /// Time until the next query; raised with each call.
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
