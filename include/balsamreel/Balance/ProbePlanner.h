// Which servers to ask for their load, within the budget of their service.
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

/// Asks only about servers of services in use that no answer has told of lately.
class ProbePlanner {
public:
    explicit ProbePlanner(std::string domain)
        : domain_(std::move(domain))
    {
    }

    /// The probes that are due; rates are the budgets by service, in probes a second.
    std::vector<ProbeTarget> plan(Support::Instant now, const Balancer&, const std::map<std::string, double>& rates);

    /// A planned probe has left by now.
    void sent(Support::Instant now, const ProbeTarget&);

private:
    std::vector<const ServerEntity*> staleServers(Support::Instant now, const ServiceEntity&) const;

    std::string domain_;
    std::map<std::string, ProbeBudget> budgets_; ///< kept when a service leaves the configuration, which may bring it back
    std::map<ServerId, Support::Instant> probedAt_;
};

} // namespace balsamreel::Balance
