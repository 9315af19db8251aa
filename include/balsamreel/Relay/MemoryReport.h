// Reports the use of a node's memory budgets in the log and in the metrics.
#pragma once

#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/NodeMemory.h"
#include "balsamreel/Support/Metrics.h"

#include <array>

namespace balsamreel::Relay {

class MemoryReport {
public:
    explicit MemoryReport(const NodeMemory&);

    /// Logs when a budget runs short, and when it has had room for a while again.
    void tick(Support::Instant now, EventLog&);

    void setMetrics(Support::Metrics&) const;

private:
    /// A budget and what was last reported of it.
    struct Reported {
        std::string_view name;
        std::shared_ptr<const MemoryBudget> budget;
        std::uint64_t refusals = 0;
        Support::Instant lastRefusal;
        bool isShort = false;
    };

    std::array<Reported, 3> budgets_;
};

} // namespace balsamreel::Relay
