// Selects the nodes that watch the store: a few per failure domain, ranked across all domains.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Config {

/// A live node that can be selected as a watcher.
struct WatcherCandidate {
    std::string node;
    std::string domain;
};

struct WatcherRole {
    std::size_t rank = 0; ///< among all watchers of one view; the lowest rank acts first
    bool isFirstOfDomain = false;
};

constexpr std::size_t watchersPerDomain = 2;

/// Returns the role of a node among the candidates, which include it, or nullopt if it is no watcher. Nodes with
/// different views of the membership may compute the same rank. This only costs additional store calls: correctness does
/// not depend on unique ranks.
std::optional<WatcherRole> watcherRole(const std::vector<WatcherCandidate>& candidates, const std::string& node);

} // namespace balsamreel::Config
