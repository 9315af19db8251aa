// Whether an entry makes another attempt, and which servers it need not ask. Thread-safe.
#pragma once

#include "balsamreel/Admission/RetryBudget.h"
#include "balsamreel/Node/RefusalCache.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace balsamreel::Node {

/// A call as the policy sees it.
struct PolicyCall {
    const std::string& service;
    std::string caller;
    CallRank rank;
    double retryRatio = 0; ///< retries per first attempt
};

/// How the attempt before ended, as far as it matters for another one.
enum class FailureKind : std::uint8_t { ServerUnavailable, ///< the server is gone, leaves, or points elsewhere; nothing ran
    Refused, ///< the server has too much work; nothing ran
    MayHaveRun };

/// What kind of failure a guard's refusal is.
FailureKind failureOf(const std::string& refusalReason);

class AttemptPolicy {
public:
    /// Asked before each attempt; false if the call has to give up.
    bool mayAttempt(Support::Instant now, const PolicyCall&, unsigned attemptsMade, FailureKind, Admission::CallRetries&);

    /// A guard has refused the call.
    void recordRefusal(Support::Instant now, const PolicyCall&, const Balance::ServerId&, const std::string& reason, Support::Duration expectedWait);

    /// Servers that refuse calls like this one.
    std::vector<Balance::ServerId> refusingServers(Support::Instant now, const PolicyCall&);

private:
    std::mutex mutex_;
    Admission::RetryBudget budget_;
    RefusalCache refusals_;
};

} // namespace balsamreel::Node
