#include "balsamreel/Node/Admin.h"

#include "balsamreel/Support/Http.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <fmt/format.h>

#include <sstream>

namespace balsamreel::Node {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Support::monotonicNow;
using Support::sendText;

namespace {

constexpr const char* jsonType = "application/json";
constexpr std::size_t maximumAnnouncementBytes = 4096;

std::string jsonText(const Poco::JSON::Object& object)
{
    std::ostringstream stream;
    object.stringify(stream);
    return std::move(stream).str() + "\n";
}

Poco::JSON::Object::Ptr memberObject(const Wire::MemberRecord& record)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("node", record.node);
    object->set("state", std::string(Support::nameOf(Wire::memberStateNames, record.state)));
    object->set("domain", record.domain);
    object->set("region", record.region);
    object->set("peer", record.peer.text());
    object->set("admin", record.admin.text());
    Poco::JSON::Array::Ptr servers = new Poco::JSON::Array;
    for (const auto& server : record.servers) {
        Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
        entry->set("address", server.address.text());
        entry->set("service", server.service);
        entry->set("slots", server.slots);
        entry->set("state", std::string(Support::nameOf(Wire::serverStateNames, server.state)));
        servers->add(entry);
    }
    object->set("servers", servers);
    return object;
}

} // namespace

void Admin::handle(HTTPServerRequest& request, HTTPServerResponse& response)
{
    auto path = Support::pathOf(request.getURI());
    if (path == "/v1/announce" && request.getMethod() == "POST")
        return handleAnnounce(request, response);
    if (path == "/v1/status")
        return handleStatus(response);
    if (path == "/v1/metrics") {
        gossip_.setGauges();
        return sendText(response, HTTPResponse::HTTP_OK, "text/plain; version=0.0.4", context_.metrics.text());
    }
    if (path == "/v1/timeline")
        return handleTimeline(response);
    if (path == "/v1/explain")
        return handleExplain(request, response);
    sendText(response, HTTPResponse::HTTP_NOT_FOUND, "text/plain", "no such path\n");
}

void Admin::handleAnnounce(HTTPServerRequest& request, HTTPServerResponse& response)
{
    std::string body;
    Announcement announcement;
    if (!Support::readBody(request.stream(), maximumAnnouncementBytes, body))
        return sendText(response, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "text/plain", "announcement too large\n");
    if (auto error = parseAnnouncement(body, announcement); !error.empty())
        return sendText(response, HTTPResponse::HTTP_BAD_REQUEST, "text/plain", error + "\n");
    // A draining server may exit once nothing is in flight. It can't see by itself which calls have been sent but have not
    // arrived.
    auto inFlight = guard_.announce(monotonicNow(), announcement);
    gossip_.announceServers();
    sendText(response, HTTPResponse::HTTP_OK, "text/plain", fmt::format("ok in_flight={}\n", inFlight));
}

void Admin::handleStatus(HTTPServerResponse& response)
{
    auto active = context_.config.get();
    Poco::JSON::Object root;
    root.set("node", context_.settings.node);
    root.set("generation", active ? active->head.generation : 0);
    root.set("leaving", context_.isLeaving.load());
    root.set("in_flight", context_.inFlight.count());
    Poco::JSON::Array::Ptr members = new Poco::JSON::Array;
    for (const auto& record : gossip_.members())
        members->add(memberObject(record));
    root.set("members", members);
    Poco::JSON::Array::Ptr diagnostics = new Poco::JSON::Array;
    for (const auto& diagnostic : follower_.diagnostics())
        diagnostics->add(diagnostic.text());
    root.set("diagnostics", diagnostics);
    sendText(response, HTTPResponse::HTTP_OK, jsonType, jsonText(root));
}

void Admin::handleTimeline(HTTPServerResponse& response)
{
    Poco::JSON::Array::Ptr events = new Poco::JSON::Array;
    for (const auto& event : context_.timeline.events()) {
        Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
        entry->set("micros", event.at.micros);
        entry->set("counter", event.at.counter);
        entry->set("node", event.node);
        entry->set("kind", event.kind);
        entry->set("detail", event.detail);
        events->add(entry);
    }
    Poco::JSON::Object root;
    root.set("events", events);
    sendText(response, HTTPResponse::HTTP_OK, jsonType, jsonText(root));
}

void Admin::handleExplain(HTTPServerRequest& request, HTTPServerResponse& response)
{
    auto method = Support::queryValue(request.getURI(), "method", "GET");
    auto path = Support::queryValue(request.getURI(), "path", "/");
    auto active = context_.config.get();
    const auto* route = active ? active->routes.find(method, path) : nullptr;
    if (!route)
        return sendText(response, HTTPResponse::HTTP_NOT_FOUND, "text/plain", fmt::format("no route takes {} {}\n", method, path));
    Poco::JSON::Object root;
    root.set("route", route->name);
    root.set("service", route->service);
    root.set("class", std::string(Support::nameOf(Config::workClassNames, route->workClass)));
    root.set("at_most_once", route->isAtMostOnce);
    root.set("generation", active->head.generation);
    Poco::JSON::Array::Ptr servers = new Poco::JSON::Array;
    auto now = monotonicNow();
    {
        std::lock_guard lock(context_.balancerMutex);
        for (const auto& [id, server] : context_.balancer.servers()) {
            if (server.facts.service != route->service)
                continue;
            Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
            entry->set("server", id.text());
            entry->set("domain", server.facts.domain);
            entry->set("state", std::string(Support::nameOf(Wire::serverStateNames, server.facts.state)));
            entry->set("score_us", context_.balancer.score(now, server));
            entry->set("in_flight", server.inFlight);
            entry->set("ejected", server.ejectedUntil && *server.ejectedUntil > now);
            servers->add(entry);
        }
    }
    root.set("servers", servers);
    sendText(response, HTTPResponse::HTTP_OK, jsonType, jsonText(root));
}

} // namespace balsamreel::Node
