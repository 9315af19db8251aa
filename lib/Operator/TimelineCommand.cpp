#include "Common.h"
#include "balsamreel/Operator/Events.h"
#include "balsamreel/Operator/Status.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <set>

namespace balsamreel::Operator {

namespace {

// The nodes named, and those that one of them knows.
std::set<Support::Endpoint> findNodes(const CommandContext& context)
{
    std::set<Support::Endpoint> nodes(context.nodes.begin(), context.nodes.end());
    for (const auto& node : context.nodes) {
        auto answer = queryNode(node, "/v1/status");
        if (!answer)
            continue;
        try {
            Summary summary;
            for (const auto& address : addStatus(*answer, summary)) {
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
    std::size_t answers = 0;
    for (const auto& node : findNodes(context)) {
        auto answer = queryNode(node, "/v1/timeline");
        if (!answer) {
            printError(fmt::format("{}: no answer; its events are missing", node.text()));
            continue;
        }
        try {
            addEvents(*answer, events);
            ++answers;
        } catch (const Poco::Exception& error) {
            printError(fmt::format("{}: {}", node.text(), error.displayText()));
        }
    }
    for (const auto& event : selectEvents(std::move(events), filter))
        fmt::print("{}\n", context.isJson ? eventJson(event) : eventText(event));
    return answers > 0 ? ExitStatus::Done : ExitStatus::Failed;
}

} // namespace balsamreel::Operator
