// The announcement that a server sends to the admin address of its node.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Wire/Messages.h"

#include <string>

namespace balsamreel::Node {

struct Announcement {
    Wire::ServerRecord record;
    Support::Duration lease{}; ///< the server counts as gone unless it announces itself again within this time
};

/// Parses the JSON of an announcement. Returns an error text that names the key, or an empty text.
std::string parseAnnouncement(const std::string& body, Announcement&);

} // namespace balsamreel::Node
