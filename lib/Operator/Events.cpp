#include "balsamreel/Operator/Events.h"

#include "balsamreel/Support/Numbers.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <tuple>

namespace balsamreel::Operator {

namespace {

constexpr double microsPerSecond = 1e6;

// Whether the detail, "key=value key=value", has this key with this value. Values with spaces are quoted.
bool hasField(const std::string& detail, const std::string& key, const std::string& value)
{
    auto pair = " " + key + "=" + value;
    auto padded = " " + detail + " ";
    for (auto at = padded.find(pair); at != std::string::npos; at = padded.find(pair, at + 1)) {
        if (padded[at + pair.size()] == ' ')
            return true;
    }
    return false;
}

// Details name a server as ADDRESS or as NODE/ADDRESS.
bool mentionsServer(const std::string& detail, const std::string& server)
{
    auto padded = detail + " ";
    return padded.find("=" + server + " ") != std::string::npos || padded.find("/" + server + " ") != std::string::npos;
}

bool matches(const Event& event, const EventFilter& filter)
{
    if (!filter.node.empty() && event.node != filter.node)
        return false;
    if (!filter.kind.empty() && event.kind != filter.kind)
        return false;
    if (!filter.server.empty() && !mentionsServer(event.detail, filter.server))
        return false;
    return filter.call.empty() || hasField(event.detail, "call", filter.call);
}

} // namespace

std::string parseFilter(const std::vector<std::string>& arguments, EventFilter& filter)
{
    for (const auto& argument : arguments) {
        auto equals = argument.find('=');
        auto key = argument.substr(0, equals);
        auto value = equals == std::string::npos ? std::string() : argument.substr(equals + 1);
        if (value.empty())
            return fmt::format("'{}' must be KEY=VALUE", argument);
        if (key == "node")
            filter.node = value;
        else if (key == "server")
            filter.server = value;
        else if (key == "call")
            filter.call = value;
        else if (key == "kind")
            filter.kind = value;
        else if (key != "since")
            return fmt::format("'{}' is not a filter; use node, server, call, kind or since", key);
        else if (auto seconds = Support::parseNumber<double>(value); !seconds || !(*seconds >= 0))
            return fmt::format("since must be a number of seconds, not '{}'", value);
        else
            filter.sinceSeconds = seconds;
    }
    return {};
}

void addEvents(const std::string& response, std::vector<Event>& events)
{
    auto root = Poco::JSON::Parser().parse(response).extract<Poco::JSON::Object::Ptr>();
    auto items = root->getArray("events");
    for (unsigned index = 0; items && index < items->size(); ++index) {
        auto item = items->getObject(index);
        events.push_back({item->getValue<Poco::Int64>("micros"), item->getValue<unsigned>("counter"), item->getValue<std::string>("node"), item->getValue<std::string>("kind"), item->getValue<std::string>("detail")});
    }
}

std::vector<Event> selectEvents(std::vector<Event> events, const EventFilter& filter)
{
    std::ranges::sort(events, {}, [](const Event& event) { return std::tuple(event.micros, event.counter, event.node); });
    std::int64_t earliest = 0;
    if (filter.sinceSeconds && !events.empty())
        earliest = events.back().micros - static_cast<std::int64_t>(*filter.sinceSeconds * microsPerSecond);
    std::erase_if(events, [&](const Event& event) { return event.micros < earliest || !matches(event, filter); });
    return events;
}

std::string eventText(const Event& event)
{
    return fmt::format("{}.{} {} {} {}", event.micros, event.counter, event.node, event.kind, event.detail);
}

std::string eventJson(const Event& event)
{
    Poco::JSON::Object object;
    object.set("micros", event.micros);
    object.set("counter", event.counter);
    object.set("node", event.node);
    object.set("kind", event.kind);
    object.set("detail", event.detail);
    std::ostringstream stream;
    object.stringify(stream);
    return std::move(stream).str();
}

} // namespace balsamreel::Operator
