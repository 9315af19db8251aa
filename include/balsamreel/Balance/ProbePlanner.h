// Selects the servers to probe for their load, within the probe budget of their service.
#pragma once

#include "balsamreel/Balance/Balancer.h"
#include "balsamreel/Balance/ProbeBudget.h"

#include <map>
#include <string>
#include <vector>

namespace balsamreel::Balance {

/// One probe to send.
struct ProbeTarget {
    ServerId server;
    Support::Endpoint guard;
    std::string service;
    double budgetPerSecond = 0;
};

/// Probes only servers of services in use that have not responded recently.
class ProbePlanner {
public:
    explicit ProbePlanner(std::string domain)
        : domain_(std::move(domain))
    {
    }

    /// Returns the probes that are due; rates are the budgets by service, in probes per second.
    std::vector<ProbeTarget> plan(Support::Instant now, const Balancer&, const std::map<std::string, double>& rates);

    /// Records that a planned probe has been sent.
    void sent(Support::Instant now, const ProbeTarget&);

private:
    std::vector<const ServerEntity*> staleServers(Support::Instant now, const ServiceEntity&) const;

    std::string domain_;
    std::map<std::string, ProbeBudget> budgets_; ///< kept for services removed from the configuration, because they may be added again
    std::map<ServerId, Support::Instant> probedAt_;
};

} // namespace balsamreel::Balance
