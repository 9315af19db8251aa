// Limits the retries that one node sends to a service to its part of a budget shared by all nodes. No I/O and no clock.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace balsamreel::Relay {

struct SharedRetryBudgetOptions {
    double ratio = 0.2; ///< retries per request, over all nodes
    double slack = 62; ///< additional retries per window, over all nodes
    Duration window = std::chrono::seconds(10);
};

/// Counts requests and retries per service over a sliding window. Each node uses only the retries that its own requests
/// allow and an equal part of the slack, so that the nodes need not communicate.
class SharedRetryBudget {
public:
    explicit SharedRetryBudget(SharedRetryBudgetOptions);

    /// Replaces the limits and keeps the counts.
    void setOptions(const SharedRetryBudgetOptions&);

    void setNodeCount(std::size_t count) { nodeCount_ = count; }

    /// Counts a caller's request to the service.
    void recordRequest(Instant now, const std::string& service);

    /// Consumes one retry. Returns false if none is left.
    bool tryConsume(Instant now, const std::string& service);

    /// Consumes one retry unless that would leave too few for calls that have failed.
    bool tryConsumeSpare(Instant now, const std::string& service);

private:
    struct History {
        std::deque<Instant> requests;
        std::deque<Instant> retries;
    };

    void removeExpired(Instant now, History&) const;
    bool tryConsumeWithin(Instant now, const std::string& service, double fraction);

    SharedRetryBudgetOptions options_;
    std::size_t nodeCount_ = 0; ///< 0: not known yet; no slack may be used
    std::unordered_map<std::string, History> histories_;
};

} // namespace balsamreel::Relay
