// Selects the route of a request and, on a weighted route, the service. No I/O and no clock.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsamreel::Relay {

/// The routes and client accounts of one configuration. Routes are looked up by host and longest path prefix.
class RouteTable {
public:
    explicit RouteTable(RoutingConfig);

    const RoutingConfig& config() const { return config_; }
    std::uint64_t version() const { return config_.version; }

    /// Returns the route with the longest prefix of the path, or null. A query in the target is ignored.
    const Route* match(std::string_view host, std::string_view target) const;

    /// Returns null if the configuration does not contain the service.
    const ServiceConfig* service(const std::string& name) const;

    /// Whether the configuration has client accounts, so that requests of routes that are not public need a key.
    bool hasAccounts() const { return !config_.accounts.empty(); }

    /// Returns the client account that holds the key, or null.
    const ClientAccount* account(const std::string& key) const;

    /// Returns the priority of a request of the route. That of the account goes before that of the route, which orders the
    /// requests of accounts of equal priority. Requests without an account go first.
    std::uint32_t priority(const Route&, const ClientAccount*) const;

    /// Selects the service for the next request of a route by smooth weighted round robin, which keeps to the weights over
    /// short spans too.
    const std::string& nextService(const Route&);

private:
    RoutingConfig config_;
    std::unordered_map<std::string, std::vector<const Route*>> routesByHost_; ///< longest prefix first
    std::unordered_map<std::string, const ServiceConfig*> services_;
    std::unordered_map<const Route*, std::vector<std::int64_t>> currentWeights_;
    std::unordered_map<std::string, const ClientAccount*> accounts_; ///< by key
    std::vector<std::uint32_t> accountPriorities_; ///< distinct, in rising order
    std::vector<std::uint32_t> routePriorities_; ///< distinct, in rising order
};

} // namespace balsamreel::Relay
