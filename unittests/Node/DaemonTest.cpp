// Whole nodes over real sockets: responses, large bodies, malformed input, graceful shutdown.
#include "Deployment.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <gtest/gtest.h>

#include <atomic>

namespace balsamreel::Node {
namespace {

constexpr std::size_t megabyte = std::size_t(1024) * 1024;

std::string pattern(const std::string& id, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += id + "\n";
    return text.substr(0, bytes);
}

/// Sends raw bytes and returns everything received until the other end closes the connection.
std::string sendRaw(const Support::Endpoint& target, const std::string& bytes, bool closesAfter = true)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(target.host, target.port));
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    std::string result;
    try {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (closesAfter)
            socket.shutdownSend();
        std::array<char, 4096> buffer{};
        for (int count = 1; count > 0;) {
            count = socket.receiveBytes(buffer.data(), buffer.size());
            result.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
        }
    } catch (const Poco::Exception&) {
        // A node may reset the connection to reject malformed input.
        return result;
    }
    return result;
}

TEST(Daemon, ServesCallsThroughAnyNode)
{
    Deployment deployment(3);
    ASSERT_TRUE(deployment.waitReady());
    for (const auto& entry : deployment.entries) {
        auto result = call(entry, "GET", "/specs/7", {{"X-Test-Id", "q1"}, {"X-Test-Bytes", "100"}});
        EXPECT_EQ(result.status, 200);
        EXPECT_EQ(result.body, pattern("q1", 100));
        EXPECT_EQ(result.header("X-Balsam-Outcome"), "ran");
    }
    auto missing = call(deployment.entries[0], "GET", "/nowhere");
    EXPECT_EQ(missing.status, 404);
    EXPECT_EQ(missing.header("X-Balsam-Outcome"), "not-run");
}

TEST(Daemon, TracesCallThroughNineLayers)
{
    // Each layer holds a slot while it waits for the next one, so nine layers need nine of the twelve slots.
    Deployment deployment(3);
    ASSERT_TRUE(deployment.waitReady());
    std::string chain = "/specs";
    for (int layer = 2; layer < 9; ++layer)
        chain += ",/specs";
    auto result = call(deployment.entries[0], "GET", "/specs", {{"X-Test-Id", "deep"}, {"X-Test-Chain", chain}, {"X-Balsam-Trace", "1"}, {"X-Balsam-Call", "c9"}});
    EXPECT_EQ(result.status, 200);
    std::string events;
    for (const auto& admin : deployment.admins)
        events += call(admin, "GET", "/v1/timeline").body;
    for (int depth = 0; depth < 9; ++depth)
        EXPECT_NE(events.find("call=c9 step=received route=specs depth=" + std::to_string(depth)), std::string::npos) << depth;
    EXPECT_EQ(call(deployment.entries[0], "GET", "/specs", {{"X-Test-Id", "plain"}, {"X-Balsam-Call", "c10"}}).status, 200);
    EXPECT_EQ(call(deployment.admins[0], "GET", "/v1/timeline").body.find("call=c10"), std::string::npos);
}

TEST(Daemon, StreamsLargeBodiesBothWays)
{
    Deployment deployment(2);
    ASSERT_TRUE(deployment.waitReady());
    std::string body(64 * megabyte, 'b');
    auto result = call(deployment.entries[0], "POST", "/specs/upload", {{"X-Test-Id", "up"}}, body);
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.header("X-Test-Received"), std::to_string(body.size()));
    auto large = call(deployment.entries[1], "GET", "/specs/map", {{"X-Test-Id", "down"}, {"X-Test-Bytes", std::to_string(64 * megabyte)}});
    EXPECT_EQ(large.body, pattern("down", 64 * megabyte));
}

TEST(Daemon, SurvivesMalformedInput)
{
    Deployment deployment(2);
    ASSERT_TRUE(deployment.waitReady());
    std::string longHeader = "GET /specs HTTP/1.1\r\nX-Long: " + std::string(megabyte, 'x') + "\r\n\r\n";
    std::string manyHeaders = "GET /specs HTTP/1.1\r\n";
    for (int index = 0; index < 5000; ++index)
        manyHeaders += "X-H" + std::to_string(index) + ": 1\r\n";
    for (const auto& target : {deployment.entries[0], deployment.peers[0], deployment.admins[0]}) {
        for (const auto& bytes : {std::string("\x01\x02\x03\xff\r\n\r\n"), std::string("GET\r\n\r\n"), longHeader, manyHeaders + "\r\n", std::string(megabyte, '\0')})
            EXPECT_EQ(sendRaw(target, bytes).find("200 OK"), std::string::npos);
    }
    // A body shorter than announced must not reach a server as a complete one.
    sendRaw(deployment.entries[0], "POST /release HTTP/1.1\r\nHost: x\r\nX-Test-Id: short\r\nContent-Length: 100\r\n\r\nabc");
    sendRaw(deployment.entries[0], "POST /release HTTP/1.1\r\nHost: x\r\nX-Test-Id: chunk\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab");
    Poco::Net::DatagramSocket datagrams;
    Poco::Net::SocketAddress peer("127.0.0.1", deployment.peers[0].port);
    for (int size : {0, 1, 100, 1400, 9000}) {
        std::string bytes(static_cast<std::size_t>(size), '\x01');
        datagrams.sendTo(bytes.data(), size, peer);
    }
    EXPECT_EQ(call(deployment.entries[0], "GET", "/specs", {{"X-Test-Id", "after"}}).body, "after");
    for (const auto& server : deployment.serverEndpoints) {
        auto executions = call(server, "GET", "/executions").body;
        EXPECT_EQ(executions.find("short"), std::string::npos);
        EXPECT_EQ(executions.find("chunk"), std::string::npos);
    }
}

TEST(Daemon, RejectedRequestWithoutBodyKeepsConnection)
{
    Deployment deployment(1);
    ASSERT_TRUE(deployment.waitReady());
    Poco::Net::HTTPClientSession session(deployment.entries[0].host, deployment.entries[0].port);
    session.setKeepAlive(true);
    for (const char* method : {"GET", "POST"}) {
        Poco::Net::HTTPRequest request(method, "/nowhere", "HTTP/1.1");
        std::string body = std::string(method) == "POST" ? "unread" : "";
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string text;
        Support::readBody(session.receiveResponse(response), megabyte, text);
        EXPECT_EQ(response.getStatus(), 404);
        EXPECT_EQ(response.getKeepAlive(), body.empty()) << method;
    }
}

TEST(Daemon, RefusesBadAnnouncements)
{
    Deployment deployment(1);
    for (const char* body : {"", "{}", "[]", "{\"address\":1}", R"({"address":"x","state":"ready","service":"s","slots":1,"lease_ms":1})",
             R"({"address":"127.0.0.1:1","state":"ready","service":"s","slots":0,"lease_ms":1000})"})
        EXPECT_EQ(call(deployment.admins[0], "POST", "/v1/announce", {}, body).status, 400) << body;
}

TEST(Daemon, GracefulShutdownCompletesCallsInFlight)
{
    Deployment deployment(3);
    ASSERT_TRUE(deployment.waitReady());
    std::atomic<int> good{0};
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int index = 0; index < 8; ++index) {
        callers.emplace_back([&, index] {
            auto id = "g" + std::to_string(index);
            auto result = call(deployment.entries[static_cast<std::size_t>(index) % 2], "GET", "/specs", {{"X-Test-Id", id}, {"X-Test-Work-Us", "600000"}});
            good += result.status == 200 && result.body == id ? 1 : 0;
        });
    }
    ASSERT_TRUE(eventually([&] { return call(deployment.admins[0], "GET", "/v1/status").body.find("\"in_flight\":0") == std::string::npos; }));
    deployment.daemons[0]->drain();
    for (auto& caller : callers)
        caller.join();
    EXPECT_EQ(good, 8);
    EXPECT_TRUE(eventually([&] { return call(deployment.admins[1], "GET", "/v1/status").body.find("\"left\"") != std::string::npos; }));
}

TEST(Daemon, AppliesChangesAndKeepsLastValidConfiguration)
{
    Deployment deployment(2);
    ASSERT_TRUE(deployment.waitReady());
    auto generationIs = [&](std::size_t node, const std::string& generation) {
        return call(deployment.admins[node], "GET", "/v1/status").body.find("\"generation\":" + generation) != std::string::npos;
    };
    deployment.putFile("20.toml", "[route.more]\nservice = \"catalog\"\npath = \"/more\"\n");
    for (std::size_t node : {0U, 1U})
        EXPECT_TRUE(eventually([&] { return generationIs(node, "2"); }));
    EXPECT_EQ(call(deployment.entries[1], "GET", "/more", {{"X-Test-Id", "m"}}).status, 200);
    deployment.putFile("30.toml", "[route.bad]\nservice = \"none\"\n");
    EXPECT_TRUE(eventually([&] { return call(deployment.admins[0], "GET", "/v1/status").body.find("30.toml") != std::string::npos; }));
    EXPECT_TRUE(generationIs(0, "2"));
    EXPECT_EQ(call(deployment.entries[0], "GET", "/more", {{"X-Test-Id", "m"}}).status, 200);
}

} // namespace
} // namespace balsamreel::Node
