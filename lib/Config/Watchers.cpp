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
        auto place = nodes.find(node);
        if (place == nodes.end()) {
            ++domainIndex;
            continue;
        }
        auto placeInDomain = static_cast<std::size_t>(std::distance(nodes.begin(), place));
        if (placeInDomain >= watchersPerDomain)
            return std::nullopt;
        // The first ones of all domains go before the second ones, so that the loss of a domain delays little.
        return WatcherRole{placeInDomain * nodesByDomain.size() + domainIndex, placeInDomain == 0};
    }
    return std::nullopt;
}

} // namespace balsamreel::Config
