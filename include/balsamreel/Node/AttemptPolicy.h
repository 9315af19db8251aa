// Decides whether an entry makes another attempt, and which servers it leaves out.
#pragma once

#include "balsamreel/Admission/RetryBudget.h"
#include "balsamreel/Node/RefusalCache.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace balsamreel::Node {

/// The properties of a call that the policy uses.
struct PolicyCall {
    const std::string& service;
    std::string caller;
    CallRank rank;
    double retryRatio = 0; ///< retries that each first attempt adds to the service's budget
};

/// How the previous attempt failed.
enum class FailureKind : std::uint8_t { ServerUnavailable, ///< the server is gone or draining, or diverts calls; the attempt has not run
    Refused, ///< the server is overloaded; the attempt has not run
    MayHaveRun ///< the outcome of the attempt is unknown
};

/// Classifies the refusal of a guard by its reason.
FailureKind failureOf(const std::string& refusalReason);

/// Thread-safe.
class AttemptPolicy {
public:
    /// Called before each attempt. Returns false if the call must give up.
    bool mayAttempt(Support::Instant now, const PolicyCall&, unsigned attemptsMade, FailureKind, Admission::CallRetries&);

    /// Records that a guard refused the call.
    void recordRefusal(Support::Instant now, const PolicyCall&, const Balance::ServerId&, const std::string& reason, Support::Duration expectedWait);

    /// Returns the servers that currently refuse calls of this caller and rank.
    std::vector<Balance::ServerId> refusingServers(Support::Instant now, const PolicyCall&);

private:
    std::mutex mutex_;
    Admission::RetryBudget budget_;
    RefusalCache refusals_;
};

} // namespace balsamreel::Node
