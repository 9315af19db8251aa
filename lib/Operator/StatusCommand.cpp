#include "Common.h"
#include "balsamreel/Operator/Status.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <deque>
#include <set>

namespace balsamreel::Operator {

namespace {

// What the failure domains last wrote, for when no node answers.
ExitStatus lastingStatus(const CommandContext& context, Store::Client& store)
{
    Store::Listing listing;
    if (auto error = store.list(context.deployment + "/status/", listing))
        return fail(fmt::format("status: {}", error.message()));
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
        return context.store ? withStore(context, lastingStatus) : fail("--nodes (or BALSAMCTL_NODES) must be set", ExitStatus::Usage);
    // The nodes given name the others, so that one live address is enough to see all.
    Summary summary;
    std::deque<Support::Endpoint> toAsk(context.nodes.begin(), context.nodes.end());
    std::set<Support::Endpoint> asked;
    while (!toAsk.empty()) {
        auto node = toAsk.front();
        toAsk.pop_front();
        if (!asked.insert(node).second)
            continue;
        auto answer = askNode(node, "/v1/status");
        if (!answer) {
            summary.unreachable.push_back(node.text());
            continue;
        }
        try {
            for (const auto& address : addStatus(*answer, summary)) {
                if (auto endpoint = Support::parseEndpoint(address))
                    toAsk.push_back(*endpoint);
            }
        } catch (const Poco::Exception& error) {
            fail(fmt::format("{}: {}", node.text(), error.displayText()));
        }
    }
    fmt::print("{}", context.isJson ? summaryJson(summary) : summaryText(summary));
    if (!summary.nodes.empty())
        return ExitStatus::Done;
    return context.store ? withStore(context, lastingStatus) : ExitStatus::Failed;
}

} // namespace balsamreel::Operator
