// Parses server announcements: each input gives an error text or an announcement whose values are within their limits.
#include "balsamreel/Node/Announcement.h"

#include <cstdlib>

using namespace balsamreel;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    Node::Announcement announcement;
    auto error = Node::parseAnnouncement(std::string(data, data + size), announcement);
    bool isValid = announcement.record.slots > 0 && !announcement.record.service.empty() && announcement.lease > Support::Duration::zero();
    if (error.empty() && !isValid)
        std::abort();
    return 0;
}
