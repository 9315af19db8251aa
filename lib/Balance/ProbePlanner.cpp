#include "balsamreel/Balance/ProbePlanner.h"

#include <algorithm>
#include <tuple>

namespace balsamreel::Balance {

using Support::Duration;
using Support::Instant;

namespace {

// A response that is more recent than this carries more information than a probe.
constexpr Duration responseFreshness = std::chrono::milliseconds(200);
constexpr Duration probeInterval = std::chrono::milliseconds(200);
// A service without calls for this time is not probed.
constexpr Duration serviceIdleTime = std::chrono::seconds(2);

} // namespace

std::vector<const ServerEntity*> ProbePlanner::staleServers(Instant now, const ServiceEntity& service) const
{
    std::vector<const ServerEntity*> servers;
    for (const auto* server : service.all) {
        if (server->lastResponseAt && now - *server->lastResponseAt < responseFreshness)
            continue;
        auto probed = probedAt_.find(server->facts.id);
        if (probed != probedAt_.end() && now - probed->second < probeInterval)
            continue;
        servers.push_back(server);
    }
    // Suspected servers first, because few calls reach them that would show their state; then near servers; then those
    // without a response for the longest time.
    auto order = [&](const ServerEntity* server) {
        return std::tuple(!server->health.isSuspected(), server->facts.domain != domain_, server->lastResponseAt.value_or(Instant::min()));
    };
    std::ranges::sort(servers, {}, order);
    return servers;
}

std::vector<ProbeTarget> ProbePlanner::plan(Instant now, const Balancer& balancer, const std::map<std::string, double>& rates)
{
    std::erase_if(probedAt_, [&](const auto& entry) { return now - entry.second >= probeInterval; });
    // A service that was removed from the configuration has no budget, even while its last calls are still open.
    for (auto& [name, budget] : budgets_) {
        if (!rates.contains(name))
            budget.setRate(now, 0);
    }
    std::vector<ProbeTarget> targets;
    for (const auto& [name, rate] : rates) {
        auto& budget = budgets_.try_emplace(name, now, rate).first->second;
        budget.setRate(now, rate);
        auto found = balancer.services().find(name);
        if (found == balancer.services().end() || !found->second.usedAt || now - *found->second.usedAt > serviceIdleTime)
            continue;
        for (const auto* server : staleServers(now, found->second)) {
            if (!budget.tryTake(now))
                break;
            probedAt_[server->facts.id] = now;
            targets.push_back({server->facts.id, server->facts.guard, name, rate});
        }
    }
    return targets;
}

void ProbePlanner::sent(Instant now, const ProbeTarget& target)
{
    if (auto budget = budgets_.find(target.service); budget != budgets_.end())
        budget->second.sent(now);
}

} // namespace balsamreel::Balance
