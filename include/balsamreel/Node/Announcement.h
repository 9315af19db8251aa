// What a server says of itself over the admin address.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Wire/Messages.h"

#include <string>

namespace balsamreel::Node {

struct Announcement {
    Wire::ServerRecord record;
    Support::Duration lease{}; ///< the server is taken for gone if it does not announce itself for so long
};

/// Reads the JSON of an announcement; gives an error text that names the key, or an empty one.
std::string parseAnnouncement(const std::string& body, Announcement&);

} // namespace balsamreel::Node
