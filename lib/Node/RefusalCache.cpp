#include "balsamreel/Node/RefusalCache.h"

#include <algorithm>

namespace balsamreel::Node {

using Support::Duration;
using Support::Instant;

namespace {

constexpr Duration callerRetention = std::chrono::seconds(1);

std::string callerKey(const std::string& service, const std::string& caller)
{
    return service + '\n' + caller;
}

bool goesBefore(CallRank first, CallRank second)
{
    return first.depth > second.depth || (first.depth == second.depth && first.priority < second.priority);
}

} // namespace

// A refusal counts for half of the expected wait: a queue that gets no calls for that time can't run empty meanwhile.
void RefusalCache::recordRefusal(Instant now, const std::string& service, const Balance::ServerId& server, const std::string& caller, CallRank rank, Duration expectedWait)
{
    services_[service][server] = {now + std::min(maximumRetention, expectedWait / 2), rank};
    if (callers_.size() >= maximumCallers)
        std::erase_if(callers_, [&](const auto& entry) { return entry.second <= now; });
    if (callers_.size() < maximumCallers)
        callers_[callerKey(service, caller)] = now + callerRetention;
}

std::vector<Balance::ServerId> RefusalCache::refusingServers(Instant now, const std::string& service, const std::string& caller, CallRank rank)
{
    auto found = services_.find(service);
    if (found == services_.end())
        return {};
    std::erase_if(found->second, [&](const auto& entry) { return entry.second.until <= now; });
    auto callerEntry = callers_.find(callerKey(service, caller));
    if (callerEntry == callers_.end() || callerEntry->second <= now)
        return {};
    std::vector<Balance::ServerId> servers;
    for (const auto& [server, refusal] : found->second) {
        if (!goesBefore(rank, refusal.rank))
            servers.push_back(server);
    }
    return servers;
}

} // namespace balsamreel::Node
