// A small in-process deployment on free loopback ports: a store, servers and their nodes.
#pragma once

#include "balsamreel/Node/Daemon.h"
#include "balsamreel/Standins/FakeServer.h"
#include "balsamreel/Standins/FakeStore.h"
#include "balsamreel/Store/Client.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace balsamreel::Node {

/// Returns a loopback endpoint whose port was free when it was checked.
inline Support::Endpoint freeEndpoint()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return {"127.0.0.1", socket.address().port()};
}

/// The response that a test caller received.
struct CallResult {
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;

    std::string header(const std::string& name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/// Sends one call over a new connection.
inline CallResult call(const Support::Endpoint& target, const std::string& method, const std::string& path, const std::map<std::string, std::string>& headers = {}, const std::string& body = {})
{
    Poco::Net::HTTPClientSession session(target.host, target.port);
    session.setTimeout(Poco::Timespan(30, 0));
    Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
    for (const auto& [name, value] : headers)
        request.set(name, value);
    if (method != "GET")
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    CallResult result;
    result.status = response.getStatus();
    Support::readBody(stream, std::size_t(256) * 1024 * 1024, result.body);
    for (const auto& [name, value] : response)
        result.headers[name] = value;
    return result;
}

/// Repeats a check until it holds. Returns false after a timeout that no correct run needs.
inline bool eventually(const std::function<bool()>& check)
{
    constexpr auto timeout = std::chrono::seconds(60);
    auto end = Support::monotonicNow() + timeout;
    while (!check()) {
        if (Support::monotonicNow() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

class Deployment {
public:
    explicit Deployment(unsigned nodeCount)
        : store_(1)
        , storeEndpoint(freeEndpoint())
        , storeService_(storeEndpoint, [this](auto& request, auto& response) { store_.handle(request, response); })
    {
        storeService_.start();
        putFile("10.toml", "[service.catalog]\n[route.specs]\nservice = \"catalog\"\npath = \"/specs\"\n"
                           "[route.release]\nservice = \"catalog\"\npath = \"/release\"\nmethods = [\"POST\"]\nat_most_once = true\n");
        for (unsigned index = 0; index < nodeCount; ++index)
            addNode(index);
    }

    void putFile(const std::string& name, const std::string& text) const
    {
        Store::Client client(storeEndpoint);
        std::uint64_t version = 0;
        client.put(Config::filesPrefix("test") + name, text, Store::Always(), version);
    }

    void addNode(unsigned index)
    {
        NodeSettings settings;
        settings.node = "n" + std::to_string(index);
        settings.deployment = "test";
        settings.domain = "d" + std::to_string(index % 2);
        settings.listen = freeEndpoint();
        settings.peer = freeEndpoint();
        settings.admin = freeEndpoint();
        settings.store = storeEndpoint;
        settings.grace = std::chrono::seconds(20);
        if (!entries.empty())
            settings.seeds = {peers.front()};
        daemons.push_back(std::make_unique<Daemon>(settings));
        daemons.back()->start();
        entries.push_back(settings.listen);
        peers.push_back(settings.peer);
        admins.push_back(settings.admin);

        Standins::FakeServerOptions options;
        options.listen = freeEndpoint();
        options.nodeAdmin = settings.admin;
        options.entry = settings.listen;
        options.service = "catalog";
        options.slots = 4;
        options.workTime = std::chrono::milliseconds(1);
        servers.push_back(std::make_unique<Standins::FakeServer>(options));
        servers.back()->start();
        serverEndpoints.push_back(options.listen);
    }

    /// Waits until all nodes follow a configuration and see all servers as ready.
    bool waitReady() const
    {
        return eventually([&] {
            for (const auto& admin : admins) {
                auto result = call(admin, "GET", "/v1/explain?method=GET&path=/specs");
                std::size_t ready = 0;
                for (auto at = result.body.find("\"ready\""); at != std::string::npos; at = result.body.find("\"ready\"", at + 1))
                    ++ready;
                if (result.status != 200 || ready < servers.size())
                    return false;
            }
            return true;
        });
    }

private:
    Standins::FakeStore store_;

public:
    Support::Endpoint storeEndpoint;

private:
    Support::HttpService storeService_;

public:
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<std::unique_ptr<Standins::FakeServer>> servers;
    std::vector<Support::Endpoint> entries;
    std::vector<Support::Endpoint> peers;
    std::vector<Support::Endpoint> admins;
    std::vector<Support::Endpoint> serverEndpoints;
};

} // namespace balsamreel::Node
