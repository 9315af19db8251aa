// Which nodes watch the store for the others. Pure decisions; each node decides for itself from what it knows.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <string>
#include <vector>

namespace balsamreel::Relay {

/// Another node that is in reach, as far as is known.
struct WatchCandidate {
    std::string name;
    std::string domain;
    bool isFollowing = false; ///< it has told that the store answers its watch
};

/// A few nodes of each failure domain watch, chosen by rendezvous hashing; they tell the others. Nodes that see the fleet
/// differently may disagree for a while, which costs a watch too many, or one too few of several.
class WatcherSelection {
public:
    WatcherSelection(std::string name, std::string domain);

    /// Whether this node is to watch. While no node has a watch that works, more and more try.
    bool decide(Instant now, const std::vector<WatchCandidate>& others, bool isFollowing);

private:
    std::string name_;
    std::string domain_;
    Instant lastFollowedAt_; ///< when a node in reach last had a watch that works
};

} // namespace balsamreel::Relay
