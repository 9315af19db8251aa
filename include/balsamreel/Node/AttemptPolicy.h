// Whether an entry makes another attempt, and which servers it need not ask. Thread-safe.
#pragma once

#include "balsamreel/Admission/RetryBudget.h"
#include "balsamreel/Node/RefusalMemory.h"

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

class AttemptPolicy {
public:
    /// Asked before each attempt; false if the call has to give up. A placement error has put no load
    /// on any server, so its repetition is bounded by the call's own retries alone.
    bool mayAttempt(Support::Instant now, const PolicyCall&, unsigned attemptsMade, bool isPlacementError, Admission::CallRetries&);

    /// A guard has refused the call.
    void refused(Support::Instant now, const PolicyCall&, const Balance::ServerId&, const std::string& reason, Support::Duration expectedWait);

    /// Servers that refuse calls like this one.
    std::vector<Balance::ServerId> refusing(Support::Instant now, const PolicyCall&);

private:
    std::mutex mutex_;
    Admission::RetryBudget budget_;
    RefusalMemory memory_;
};

} // namespace balsamreel::Node
