#include "balsamreel/Node/AttemptPolicy.h"

#include "balsamreel/Admission/Ticket.h"

namespace balsamreel::Node {

using Support::Instant;

bool AttemptPolicy::mayAttempt(Instant now, const PolicyCall& call, unsigned attemptsMade, bool isPlacementError, Admission::CallRetries& retries)
{
    std::lock_guard lock(mutex_);
    if (attemptsMade == 0) {
        budget_.earn(now, call.service, call.retryRatio);
        return true;
    }
    if (retries.left() == 0 || (!isPlacementError && !budget_.spend(now, call.service)))
        return false;
    return retries.take();
}

// Only these reasons are about the server's load; a deadline that is too near is about the call.
void AttemptPolicy::refused(Instant now, const PolicyCall& call, const Balance::ServerId& server, const std::string& reason, Support::Duration expectedWait)
{
    auto value = Support::valueOf(Admission::refusalReasonNames, reason);
    if (value != Admission::RefusalReason::Overloaded && value != Admission::RefusalReason::WaitedTooLong)
        return;
    std::lock_guard lock(mutex_);
    memory_.refused(now, call.service, server, call.caller, call.rank, expectedWait);
}

std::vector<Balance::ServerId> AttemptPolicy::refusing(Instant now, const PolicyCall& call)
{
    std::lock_guard lock(mutex_);
    return memory_.refusing(now, call.service, call.caller, call.rank);
}

} // namespace balsamreel::Node
