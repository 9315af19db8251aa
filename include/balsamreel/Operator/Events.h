// The merged timeline: events of many nodes, filtered and in causal order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Operator {

/// One event of a node's timeline.
struct Event {
    std::int64_t micros = 0; ///< physical part of the hybrid logical time
    std::uint32_t counter = 0; ///< logical part of the hybrid logical time
    std::string node;
    std::string kind;
    std::string detail;
};

/// Conditions that a selected event meets. An empty field matches every event.
struct EventFilter {
    std::string node;
    std::string server; ///< address
    std::string call; ///< id
    std::string kind;
    std::optional<double> sinceSeconds; ///< maximum age relative to the newest event
};

/// Parses "node=N", "server=IP:PORT", "call=ID", "kind=K" and "since=SECONDS". Returns an error message, or an empty string on
/// success.
std::string parseFilter(const std::vector<std::string>& arguments, EventFilter&);

/// Appends the events of a node's response to /v1/timeline. Throws Poco::Exception if the response is malformed.
void addEvents(const std::string& response, std::vector<Event>&);

/// Returns the events that match the filter, in causal order.
std::vector<Event> selectEvents(std::vector<Event>, const EventFilter&);

std::string eventText(const Event&);
std::string eventJson(const Event&);

} // namespace balsamreel::Operator
