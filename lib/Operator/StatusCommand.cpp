#include "Common.h"
#include "balsamreel/Operator/Status.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <deque>
#include <set>

namespace balsamreel::Operator {

namespace {

// Prints the status that the failure domains last wrote to the store. Used if no node responds.
ExitStatus printStoredStatus(const CommandContext& context, Store::Client& store)
{
    Store::Listing listing;
    if (auto error = store.list(context.deployment + "/status/", listing))
        return printError(fmt::format("status: {}", error.message()));
    for (const auto& entry : listing.entries) {
        Store::Object object;
        if (!store.get(entry.key, object))
            fmt::print("{}\n", object.value);
    }
    return ExitStatus::Done;
}

} // namespace

ExitStatus runStatus(const CommandContext& context)
{
    if (context.nodes.empty())
        return context.store ? withStore(context, printStoredStatus) : printError("--nodes (or BALSAMCTL_NODES) must be set", ExitStatus::Usage);
    // Each response lists the other nodes, so one live address is enough to query all of them.
    Summary summary;
    std::deque<Support::Endpoint> pending(context.nodes.begin(), context.nodes.end());
    std::set<Support::Endpoint> visited;
    while (!pending.empty()) {
        auto node = pending.front();
        pending.pop_front();
        if (!visited.insert(node).second)
            continue;
        auto response = queryNode(node, "/v1/status");
        if (!response) {
            summary.unreachable.push_back(node.text());
            continue;
        }
        try {
            for (const auto& address : addStatus(*response, summary)) {
                if (auto endpoint = Support::parseEndpoint(address))
                    pending.push_back(*endpoint);
            }
        } catch (const Poco::Exception& error) {
            printError(fmt::format("{}: {}", node.text(), error.displayText()));
        }
    }
    fmt::print("{}", context.isJson ? summaryJson(summary) : summaryText(summary));
    if (!summary.nodes.empty())
        return ExitStatus::Done;
    return context.store ? withStore(context, printStoredStatus) : ExitStatus::Failed;
}

} // namespace balsamreel::Operator
