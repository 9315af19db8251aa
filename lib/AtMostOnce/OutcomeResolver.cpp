#include "balsamreel/AtMostOnce/OutcomeResolver.h"

#include <algorithm>
#include <utility>

namespace balsamreel::AtMostOnce {

using Support::Duration;
using Support::Instant;

void OutcomeResolver::breakConnection(Instant)
{
    if (!isConnectionBroken_)
        interval_ = options_.firstPoll;
    isConnectionBroken_ = true;
}

bool OutcomeResolver::wantsRevocation(Instant now) const
{
    return isAtMostOnce_ && (isConnectionBroken_ || hasBeenUnseen_ || now >= deadline_);
}

Duration OutcomeResolver::nextInterval()
{
    auto current = interval_;
    auto longest = isConnectionBroken_ ? options_.longestPoll : options_.longestCheck;
    interval_ = std::min(longest, 2 * interval_);
    return current;
}

Verdict OutcomeResolver::evaluate(Instant now, const QueryReply& reply)
{
    return std::visit([&](const auto& kind) { return evaluateReply(now, kind); }, reply);
}

Verdict OutcomeResolver::evaluateReply(Instant now, const NoReply&)
{
    if (!isUnreachable_)
        unreachableSince_ = now;
    isUnreachable_ = true;
    if (now < deadline_ && now - unreachableSince_ < options_.unreachableLimit)
        return Verdict::Pending;
    return isAtMostOnce_ ? Verdict::Unknown : Verdict::Retry;
}

Verdict OutcomeResolver::evaluateReply(Instant now, const GuardReply& reply)
{
    isUnreachable_ = false;
    if (!isAtMostOnce_)
        return evaluateRepeatable(now, reply);
    // The state of the attempt was lost with the earlier process of the guard.
    if (!reply.isSameIncarnation)
        return Verdict::Unknown;
    switch (reply.state) {
    case AttemptState::Refused:
    case AttemptState::Revoked:
        return Verdict::Retry;
    case AttemptState::Lost:
    case AttemptState::Forgotten:
        return Verdict::Unknown;
    case AttemptState::Done:
        if (reply.hasResponse)
            return Verdict::Deliver;
        // A response that is too long to be retained may still arrive on the open connection.
        return isConnectionBroken_ || now >= deadline_ ? Verdict::Unknown : Verdict::Pending;
    case AttemptState::Unseen:
        // An unseen attempt may still arrive and run, until a revocation prevents it.
        hasBeenUnseen_ = true;
        interval_ = std::min(interval_, options_.firstPoll);
        return Verdict::Pending;
    case AttemptState::Offered:
    case AttemptState::Dispatched:
        return now >= deadline_ ? Verdict::Unknown : Verdict::Pending;
    }
    return Verdict::Unknown;
}

Verdict OutcomeResolver::evaluateRepeatable(Instant now, const GuardReply& reply)
{
    if (!reply.isSameIncarnation || isConnectionBroken_ || now >= deadline_)
        return Verdict::Retry;
    if (reply.state == AttemptState::Offered || reply.state == AttemptState::Dispatched)
        return Verdict::Pending;
    // The response may have been sent while the query was in progress; wait for one more interval.
    bool wasDone = std::exchange(hasBeenDone_, true);
    return wasDone ? Verdict::Retry : Verdict::Pending;
}

} // namespace balsamreel::AtMostOnce
