#include "balsamreel/Config/Watchers.h"

#include <algorithm>
#include <map>
#include <set>

namespace balsamreel::Config {

std::optional<WatcherRole> watcherRole(const std::vector<WatcherCandidate>& candidates, const std::string& node)
{
    std::map<std::string, std::set<std::string>> nodesByDomain;
    for (const auto& candidate : candidates)
        nodesByDomain[candidate.domain].insert(candidate.node);
    std::size_t domainIndex = 0;
    for (const auto& [domain, nodes] : nodesByDomain) {
        auto position = nodes.find(node);
        if (position == nodes.end()) {
            ++domainIndex;
            continue;
        }
        auto rankInDomain = static_cast<std::size_t>(std::distance(nodes.begin(), position));
        if (rankInDomain >= watchersPerDomain)
            return std::nullopt;
        // The first watchers of all domains rank before the second ones, so that the loss of a domain causes little delay.
        return WatcherRole{rankInDomain * nodesByDomain.size() + domainIndex, rankInDomain == 0};
    }
    return std::nullopt;
}

} // namespace balsamreel::Config
