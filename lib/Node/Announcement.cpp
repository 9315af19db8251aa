#include "balsamreel/Node/Announcement.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

namespace balsamreel::Node {

namespace {

constexpr unsigned maximumSlots = 10'000;
constexpr int maximumLeaseMillis = 60'000;

} // namespace

std::string parseAnnouncement(const std::string& body, Announcement& announcement)
{
    try {
        auto root = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        auto address = Support::parseEndpoint(root->getValue<std::string>("address"));
        auto state = Support::valueOf(Wire::serverStateNames, root->getValue<std::string>("state"));
        announcement.record.service = root->getValue<std::string>("service");
        announcement.record.slots = root->getValue<unsigned>("slots");
        int lease = root->getValue<int>("lease_ms");
        if (!address)
            return "address: must be IP:PORT";
        if (!state)
            return "state: must be cold, ready, draining or gone";
        if (announcement.record.service.empty() || announcement.record.service.size() > Wire::maximumNameBytes)
            return "service: must be a text of 1 to 64 bytes";
        if (announcement.record.slots < 1 || announcement.record.slots > maximumSlots)
            return fmt::format("slots: must be between 1 and {}", maximumSlots);
        if (lease < 1 || lease > maximumLeaseMillis)
            return fmt::format("lease_ms: must be between 1 and {}", maximumLeaseMillis);
        announcement.record.address = *address;
        announcement.record.state = *state;
        announcement.lease = std::chrono::milliseconds(lease);
        return {};
    } catch (const Poco::Exception& error) {
        return error.displayText();
    }
}

} // namespace balsamreel::Node
