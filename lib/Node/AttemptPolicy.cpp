#include "balsamreel/Node/AttemptPolicy.h"

#include "balsamreel/Admission/Ticket.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace balsamreel::Node {

using Support::Instant;

FailureKind failureOf(const std::string& refusalReason)
{
    constexpr std::array<std::string_view, 4> unavailable{"draining", "diverted", "guard-restarted", "server-unreachable"};
    return std::ranges::find(unavailable, refusalReason) == unavailable.end() ? FailureKind::Refused : FailureKind::ServerUnavailable;
}

// Only attempts that may have run multiply across the layers of a call chain, since each of them may have called further
// servers; so only they consume the call's own retries. An attempt at an unavailable server costs one message. A refused
// attempt costs one too, but during a load swing all calls are refused, so these consume the service's budget.
bool AttemptPolicy::mayAttempt(Instant now, const PolicyCall& call, unsigned attemptsMade, FailureKind failure, Admission::CallRetries& retries)
{
    std::lock_guard lock(mutex_);
    if (attemptsMade == 0) {
        budget_.earn(now, call.service, call.retryRatio);
        return true;
    }
    if (failure == FailureKind::ServerUnavailable)
        return true;
    if (failure == FailureKind::MayHaveRun && retries.left() == 0)
        return false;
    return budget_.spend(now, call.service) && (failure == FailureKind::Refused || retries.take());
}

// Only these reasons concern the load of the server; a deadline that is too near concerns the call.
void AttemptPolicy::recordRefusal(Instant now, const PolicyCall& call, const Balance::ServerId& server, const std::string& reason, Support::Duration expectedWait)
{
    auto value = Support::valueOf(Admission::refusalReasonNames, reason);
    if (value != Admission::RefusalReason::Overloaded && value != Admission::RefusalReason::WaitedTooLong)
        return;
    std::lock_guard lock(mutex_);
    refusals_.recordRefusal(now, call.service, server, call.caller, call.rank, expectedWait);
}

std::vector<Balance::ServerId> AttemptPolicy::refusingServers(Instant now, const PolicyCall& call)
{
    std::lock_guard lock(mutex_);
    return refusals_.refusingServers(now, call.service, call.caller, call.rank);
}

} // namespace balsamreel::Node
