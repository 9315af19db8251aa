#include "balsamreel/Relay/RouteTable.h"

#include <algorithm>
#include <cassert>
#include <cctype>

namespace balsamreel::Relay {

namespace {

// Host names are case-insensitive, and the port in a Host header is ignored.
std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

void sortDistinct(std::vector<std::uint32_t>& values)
{
    std::ranges::sort(values);
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

std::uint32_t rankOf(const std::vector<std::uint32_t>& values, std::uint32_t value)
{
    return static_cast<std::uint32_t>(std::ranges::lower_bound(values, value) - values.begin());
}

} // namespace

RouteTable::RouteTable(RoutingConfig config)
    : config_(std::move(config))
{
    for (const auto& route : config_.routes) {
        assert(!route.targets.empty() && "routes without a service are rejected when the configuration is read");
        routesByHost_[normalizedHost(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : routesByHost_)
        std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) { return left->prefix.size() > right->prefix.size(); });
    for (const auto& service : config_.services)
        services_[service.name] = &service;
    for (const auto& route : config_.routes)
        routePriorities_.push_back(route.priority);
    for (const auto& account : config_.accounts) {
        accountPriorities_.push_back(account.priority.value_or(0));
        for (const auto& key : account.keys)
            accounts_[key] = &account;
    }
    sortDistinct(routePriorities_);
    sortDistinct(accountPriorities_);
}

const ClientAccount* RouteTable::account(const std::string& key) const
{
    auto found = accounts_.find(key);
    return found == accounts_.end() ? nullptr : found->second;
}

std::uint32_t RouteTable::priority(const Route& route, const ClientAccount* account) const
{
    if (!hasAccounts())
        return route.priority;
    auto accountRank = account ? rankOf(accountPriorities_, account->priority.value_or(0)) : 0;
    return accountRank * static_cast<std::uint32_t>(routePriorities_.size()) + rankOf(routePriorities_, route.priority);
}

const Route* RouteTable::match(std::string_view host, std::string_view target) const
{
    auto found = routesByHost_.find(normalizedHost(host));
    if (found == routesByHost_.end())
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
    auto& weights = currentWeights_[&route];
    weights.resize(route.targets.size());
    std::int64_t total = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        weights[index] += route.targets[index].weight;
        total += route.targets[index].weight;
        if (weights[index] > weights[best])
            best = index;
    }
    weights[best] -= total;
    return route.targets[best].service;
}

} // namespace balsamreel::Relay
