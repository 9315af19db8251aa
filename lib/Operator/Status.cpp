#include "balsamreel/Operator/Status.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace balsamreel::Operator {

namespace {

void addServers(const Poco::JSON::Object& member, Summary& summary)
{
    auto servers = member.getArray("servers");
    for (unsigned index = 0; servers && index < servers->size(); ++index) {
        auto server = servers->getObject(index);
        if (server->getValue<std::string>("state") == "draining")
            summary.draining.insert(fmt::format("{} {} {}", server->getValue<std::string>("address"), server->getValue<std::string>("service"), member.getValue<std::string>("node")));
    }
}

template <typename Texts>
Poco::JSON::Array::Ptr arrayOf(const Texts& texts)
{
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
    for (const auto& text : texts)
        array->add(text);
    return array;
}

Poco::JSON::Array::Ptr arrayOfNodes(const std::vector<NodeGeneration>& nodes)
{
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
    for (const auto& node : nodes) {
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
        item->set("node", node.node);
        item->set("generation", node.generation);
        array->add(item);
    }
    return array;
}

} // namespace

std::uint64_t Summary::newestGeneration() const
{
    std::uint64_t newest = 0;
    for (const auto& node : nodes)
        newest = std::max(newest, node.generation);
    return newest;
}

std::vector<NodeGeneration> Summary::lagging() const
{
    std::vector<NodeGeneration> lagging;
    std::ranges::copy_if(nodes, std::back_inserter(lagging), [newest = newestGeneration()](const auto& node) { return node.generation < newest; });
    return lagging;
}

std::vector<std::string> addStatus(const std::string& response, Summary& summary)
{
    auto root = Poco::JSON::Parser().parse(response).extract<Poco::JSON::Object::Ptr>();
    summary.nodes.push_back({root->getValue<std::string>("node"), root->getValue<Poco::UInt64>("generation")});
    auto diagnostics = root->getArray("diagnostics");
    for (unsigned index = 0; diagnostics && index < diagnostics->size(); ++index)
        summary.diagnostics.insert(diagnostics->getElement<std::string>(index));
    // Members are taken from the first response only, because the nodes' views differ only briefly.
    bool isFirst = summary.nodes.size() == 1;
    std::vector<std::string> addresses;
    auto members = root->getArray("members");
    for (unsigned index = 0; members && index < members->size(); ++index) {
        auto member = members->getObject(index);
        auto state = member->getValue<std::string>("state");
        if (state == "alive" || state == "suspect")
            addresses.push_back(member->getValue<std::string>("admin"));
        if (!isFirst)
            continue;
        ++summary.statesByDomain[member->getValue<std::string>("domain")][state];
        addServers(*member, summary);
    }
    return addresses;
}

std::string summaryText(const Summary& summary)
{
    auto lagging = summary.lagging();
    auto text = fmt::format("generation {} in force on {} of {} nodes that answered\n", summary.newestGeneration(), summary.nodes.size() - lagging.size(), summary.nodes.size());
    for (const auto& node : lagging)
        text += fmt::format("lags: {} at generation {}\n", node.node, node.generation);
    for (const auto& address : summary.unreachable)
        text += fmt::format("no answer: {}\n", address);
    for (const auto& [domain, states] : summary.statesByDomain) {
        text += fmt::format("domain {}:", domain);
        for (const auto& [state, count] : states)
            text += fmt::format(" {} {}", count, state);
        text += "\n";
    }
    for (const auto& server : summary.draining)
        text += fmt::format("draining: {}\n", server);
    for (const auto& diagnostic : summary.diagnostics)
        text += fmt::format("not accepted: {}\n", diagnostic);
    return text;
}

std::string summaryJson(const Summary& summary)
{
    Poco::JSON::Object root;
    root.set("generation", summary.newestGeneration());
    root.set("nodes", arrayOfNodes(summary.nodes));
    root.set("lagging", arrayOfNodes(summary.lagging()));
    root.set("unreachable", arrayOf(summary.unreachable));
    Poco::JSON::Object::Ptr domains = new Poco::JSON::Object;
    for (const auto& [domain, states] : summary.statesByDomain) {
        Poco::JSON::Object::Ptr counts = new Poco::JSON::Object;
        for (const auto& [state, count] : states)
            counts->set(state, count);
        domains->set(domain, counts);
    }
    root.set("domains", domains);
    root.set("draining", arrayOf(summary.draining));
    root.set("diagnostics", arrayOf(summary.diagnostics));
    std::ostringstream stream;
    root.stringify(stream);
    return stream.str() + "\n";
}

} // namespace balsamreel::Operator
