// Sends load probes within their budget, responds to those of other nodes, and passes load reports to the balancer.
#pragma once

#include "balsamreel/Balance/ProbePlanner.h"
#include "balsamreel/Membership/Swim.h"
#include "balsamreel/Node/Context.h"
#include "balsamreel/Node/Guard.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamreel::Node {

/// Not thread-safe. Locks the balancer itself.
class Prober {
public:
    Prober(Context&, Guard&);

    /// Returns the probes that are due.
    std::vector<Membership::Outgoing> tick(Support::Instant now);

    /// Reports that the probes of the last tick have been sent.
    void sent(Support::Instant now);

    /// Handles a load probe or a load report. Returns the report that responds to a probe.
    std::vector<Membership::Outgoing> receive(Support::Instant now, const Support::Endpoint& from, const Wire::Message&);

    /// True if receive() handles the message.
    static bool isForProber(const Wire::Message&);

private:
    struct Pending {
        Balance::ServerId server;
        Support::Instant sentAt;
    };

    std::map<std::string, double> budgets() const;
    Wire::Message makeMessage(Wire::Payload) const;
    void onReport(Support::Instant now, const Wire::LoadReport&);

    Context& context_;
    Guard& guard_;
    Balance::ProbePlanner planner_;
    std::vector<Balance::ProbeTarget> plannedProbes_; ///< by the last tick
    std::map<std::uint64_t, Pending> pending_; ///< by sequence
    std::uint64_t nextSequence_ = 1;
};

} // namespace balsamreel::Node
