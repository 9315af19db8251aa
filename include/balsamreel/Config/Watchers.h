// Which nodes watch the store: a few of each failure domain, ranked over all domains.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Config {

/// A node that may watch.
struct WatcherCandidate {
    std::string node;
    std::string domain;
};

struct WatcherRole {
    std::size_t rank = 0; ///< over all watchers; the lowest acts first
    bool isFirstOfDomain = false;
};

constexpr std::size_t watchersPerDomain = 2;

/// The role of a node among the live ones, itself included; nothing if it does not watch. Nodes whose views of the
/// members differ may come to the same rank; that costs calls, and nothing else rests on it.
std::optional<WatcherRole> watcherRole(const std::vector<WatcherCandidate>& candidates, const std::string& node);

} // namespace balsamreel::Config
