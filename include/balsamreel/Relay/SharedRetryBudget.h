// How many repeats one node may send to a service, out of an allowance that all nodes share. Pure decisions.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace balsamreel::Relay {

struct SharedRetryBudgetOptions {
    double ratio = 0.2; ///< repeats per request, over all nodes
    double slack = 62; ///< repeats per window on top, over all nodes
    Duration window = std::chrono::seconds(10);
};

/// Counts requests and repeats per service over a sliding window. Each node spends only what its own
/// requests earn and an equal part of the slack, so that no exchange between nodes is needed.
class SharedRetryBudget {
public:
    explicit SharedRetryBudget(SharedRetryBudgetOptions);

    /// Other limits from now on; what was counted stays counted.
    void setOptions(const SharedRetryBudgetOptions&);

    void setNodeCount(std::size_t nodes) { nodes_ = nodes; }

    /// A caller's request for the service has come.
    void request(Instant now, const std::string& service);

    /// Takes one repeat; false if none is left.
    bool tryConsume(Instant now, const std::string& service);

private:
    struct Counts {
        std::deque<Instant> requests;
        std::deque<Instant> repeats;
    };

    void forget(Instant now, Counts&) const;

    SharedRetryBudgetOptions options_;
    std::size_t nodes_ = 0; ///< 0: not known yet, no slack may be used
    std::unordered_map<std::string, Counts> counts_;
};

} // namespace balsamreel::Relay
