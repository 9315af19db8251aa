// Which route a request takes, and which service of a weighted route. Pure decisions.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsamreel::Relay {

/// The routes of one configuration, by host and longest prefix.
class RouteTable {
public:
    explicit RouteTable(RoutingConfig);

    const RoutingConfig& config() const { return config_; }
    std::uint64_t version() const { return config_.version; }

    /// The route with the longest prefix of the path; null if none fits. A query in the target is ignored.
    const Route* match(std::string_view host, std::string_view target) const;

    /// Null if the configuration does not name the service.
    const ServiceConfig* service(const std::string& name) const;

    /// The service that the next request of a route goes to: smooth weighted round robin, so that
    /// shares hold over short spans too.
    const std::string& nextService(const Route&);

private:
    RoutingConfig config_;
    std::unordered_map<std::string, std::vector<const Route*>> routesOfHost_; ///< longest prefix first
    std::unordered_map<std::string, const ServiceConfig*> services_;
    std::unordered_map<const Route*, std::vector<std::int64_t>> credits_;
};

} // namespace balsamreel::Relay
