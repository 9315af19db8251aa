#include "Common.h"
#include "balsamreel/Operator/Events.h"
#include "balsamreel/Operator/Status.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <set>

namespace balsamreel::Operator {

namespace {

// Returns the given nodes and the members that the first of them to respond lists.
std::set<Support::Endpoint> findNodes(const CommandContext& context)
{
    std::set<Support::Endpoint> nodes(context.nodes.begin(), context.nodes.end());
    for (const auto& node : context.nodes) {
        auto response = queryNode(node, "/v1/status");
        if (!response)
            continue;
        try {
            Summary summary;
            for (const auto& address : addStatus(*response, summary)) {
                if (auto admin = Support::parseEndpoint(address))
                    nodes.insert(*admin);
            }
            return nodes;
        } catch (const Poco::Exception&) {
            continue;
        }
    }
    return nodes;
}

} // namespace

ExitStatus runTimeline(const CommandContext& context)
{
    EventFilter filter;
    if (auto error = parseFilter(context.arguments, filter); !error.empty())
        return printError(error, ExitStatus::Usage);
    if (context.nodes.empty())
        return printError("--nodes (or BALSAMCTL_NODES) must be set", ExitStatus::Usage);
    std::vector<Event> events;
    std::size_t responses = 0;
    for (const auto& node : findNodes(context)) {
        auto response = queryNode(node, "/v1/timeline");
        if (!response) {
            printError(fmt::format("{}: no response; its events are missing", node.text()));
            continue;
        }
        try {
            addEvents(*response, events);
            ++responses;
        } catch (const Poco::Exception& error) {
            printError(fmt::format("{}: {}", node.text(), error.displayText()));
        }
    }
    for (const auto& event : selectEvents(std::move(events), filter))
        fmt::print("{}\n", context.isJson ? eventJson(event) : eventText(event));
    return responses > 0 ? ExitStatus::Done : ExitStatus::Failed;
}

} // namespace balsamreel::Operator
