#include "balsamreel/Relay/RouteTable.h"

#include <algorithm>
#include <cassert>
#include <cctype>

namespace balsamreel::Relay {

namespace {

// Host names compare without case, and a port in the header names the same host.
std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

RouteTable::RouteTable(RoutingConfig config)
    : config_(std::move(config))
{
    for (const auto& route : config_.routes) {
        assert(!route.targets.empty() && "a route without a service is refused when it is read");
        routesOfHost_[normalizedHost(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : routesOfHost_)
        std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) { return left->prefix.size() > right->prefix.size(); });
    for (const auto& service : config_.services)
        services_[service.name] = &service;
}

const Route* RouteTable::match(std::string_view host, std::string_view target) const
{
    auto found = routesOfHost_.find(normalizedHost(host));
    if (found == routesOfHost_.end())
        return nullptr;
    auto path = target.substr(0, target.find('?'));
    for (const auto* route : found->second) {
        if (path.starts_with(route->prefix))
            return route;
    }
    return nullptr;
}

const ServiceConfig* RouteTable::service(const std::string& name) const
{
    auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

const std::string& RouteTable::nextService(const Route& route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    auto& credits = credits_[&route];
    credits.resize(route.targets.size());
    std::int64_t total = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < credits.size(); ++index) {
        credits[index] += route.targets[index].weight;
        total += route.targets[index].weight;
        if (credits[index] > credits[best])
            best = index;
    }
    credits[best] -= total;
    return route.targets[best].service;
}

} // namespace balsamreel::Relay
