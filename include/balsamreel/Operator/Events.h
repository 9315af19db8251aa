// The merged time line: events of many nodes, filtered and in causal order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Operator {

/// One event as a node gives it.
struct Event {
    std::int64_t micros = 0; ///< hybrid logical time
    std::uint32_t counter = 0;
    std::string node;
    std::string kind;
    std::string detail;
};

/// Which events are wanted; an empty part takes all.
struct EventFilter {
    std::string node;
    std::string server; ///< address
    std::string call; ///< id
    std::string kind;
    std::optional<double> sinceSeconds; ///< before the newest event
};

/// Reads "node=N", "server=IP:PORT", "call=ID", "kind=K" and "since=SECONDS"; gives an error text, or an empty one.
std::string parseFilter(const std::vector<std::string>& arguments, EventFilter&);

/// Adds one node's answer to /v1/timeline. Throws Poco::Exception if it can't be understood.
void addEvents(const std::string& answer, std::vector<Event>&);

/// The events that pass the filter, in causal order.
std::vector<Event> selectEvents(std::vector<Event>, const EventFilter&);

std::string eventText(const Event&);
std::string eventJson(const Event&);

} // namespace balsamreel::Operator
