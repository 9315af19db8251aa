// Selects the nodes that watch the store for the others. No I/O: each node decides from what it knows of the others.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <string>
#include <vector>

namespace balsamreel::Relay {

/// Another node that is believed to be reachable.
struct WatchCandidate {
    std::string name;
    std::string domain;
    bool isFollowing = false; ///< it has reported that the store responds to its watch
};

/// Selects a few nodes of each failure domain by rendezvous hashing; they watch the store and announce changes to the others.
/// Nodes with different views of the fleet may disagree for a while; the cost is one watch too many, or one too few of several.
class WatcherSelection {
public:
    WatcherSelection(std::string name, std::string domain);

    /// Returns whether this node should watch. As long as no node has a working watch, more and more nodes are selected.
    bool decide(Instant now, const std::vector<WatchCandidate>& others, bool isFollowing);

private:
    std::string name_;
    std::string domain_;
    Instant lastFollowedAt_; ///< when this or a reachable node last had a working watch
};

} // namespace balsamreel::Relay
