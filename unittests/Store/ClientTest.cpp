// Tests the client against the fake store with injected faults.
#include "balsamreel/Store/Client.h"
#include "balsamreel/Standins/FakeStore.h"
#include "balsamreel/Store/ResolvedUpdate.h"

#include "../Support/RawServer.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <gtest/gtest.h>

#include <thread>

namespace balsamreel::Store {
namespace {

class ClientTest : public testing::Test {
protected:
    ClientTest()
        : store_(1)
        , endpoint_{"127.0.0.1", Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)).address().port()}
        , service_(endpoint_, [this](auto& request, auto& response) {
            ++requests_;
            if (mustTruncate_) {
                response.setContentLength(100);
                response.send() << "cut";
                return;
            }
            request.setURI(uriOverride_.empty() ? request.getURI() : uriOverride_);
            store_.handle(request, response);
        })
    {
        service_.start();
    }

    void setFaults(const std::string& faults)
    {
        // The fake store is configured over the same endpoint. A separate client sends the request.
        uriOverride_ = "/v1/faults?" + faults;
        Client client(endpoint_);
        Object ignored;
        client.get("ignored", ignored);
        uriOverride_.clear();
    }

    Standins::FakeStore store_;
    Support::Endpoint endpoint_;
    std::string uriOverride_; ///< replaces the URI of each request unless empty
    std::atomic<bool> mustTruncate_{false};
    std::atomic<unsigned> requests_{0};
    Support::HttpService service_;
};

// Guards against parts of values that are taken for whole ones, and against statuses that are no responses.
TEST(Client, RejectsResponsesThatAreNotWhole)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string withoutLength = "HTTP/1.1 200 OK\r\nETag: \"3\"\r\n\r\npart";
    for (const auto& bytes : {chunked + "8\r\npart", chunked + "4\r\npart\r\n", withoutLength, std::string("HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\npart"), std::string("HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 4\r\n\r\npart")}) {
        Support::RawServer server(bytes, Support::Ending::Reset);
        Client client(server.endpoint());
        Object object;
        EXPECT_EQ(client.get("k", object), StoreError::Unavailable) << bytes;
    }
}

TEST(Client, ReadsChunkedResponses)
{
    Support::RawServer server("HTTP/1.1 200 OK\r\nETag: \"3\"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    Client client(server.endpoint());
    Object object;
    ASSERT_FALSE(client.get("k", object));
    EXPECT_EQ(object.value, "body");
}

TEST_F(ClientTest, ReusesOneConnectionForManyCalls)
{
    Client client(endpoint_);
    Object object;
    for (int call = 0; call < 20; ++call)
        EXPECT_EQ(client.get("none", object), StoreError::NotFound);
    EXPECT_EQ(service_.openConnections(), 1);
    EXPECT_EQ(client.calls(), 20U);
}

TEST_F(ClientTest, ResolvesAnUpdateWithALostResponse)
{
    Client client(endpoint_);
    setFaults("lose_answers=1");
    std::uint64_t version = 0;
    EXPECT_EQ(client.put("k", "first", IfAbsent(), version), StoreError::OutcomeUnknown);
    ResolveOptions options{.sleep = [](Support::Duration) {}};
    EXPECT_EQ(putAndResolve(client, "k", "mine", IfAbsent(), version, options), StoreError::VersionConflict);
    Object object;
    ASSERT_FALSE(client.get("k", object));
    EXPECT_FALSE(putAndResolve(client, "k", "mine", IfVersion{object.version}, version, options));
    EXPECT_GT(version, object.version);
    EXPECT_FALSE(removeAndResolve(client, "k", IfVersion{version}, options));
}

TEST_F(ClientTest, SuspendsCallsDuringAnOutageAndRecovers)
{
    ClientOptions options;
    options.breaker = {.failuresToOpen = 3, .trialsToClose = 2, .openDelay = {std::chrono::milliseconds(50), std::chrono::milliseconds(50)}};
    Client client(endpoint_, options);
    setFaults("down=1");
    auto before = requests_.load();
    Object object;
    for (int call = 0; call < 100; ++call)
        EXPECT_EQ(client.get("k", object), StoreError::Unavailable);
    EXPECT_LT(requests_ - before, 100U);
    EXPECT_TRUE(client.isBreakerTripped());
    setFaults("down=0");
    while (client.get("k", object) != StoreError::NotFound || client.isBreakerTripped())
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

TEST_F(ClientTest, AWatchOnAReusedConnectionWaitsLongerThanOtherCalls)
{
    Client client(endpoint_, std::chrono::milliseconds(500));
    Object object;
    EXPECT_EQ(client.get("k", object), StoreError::NotFound);
    std::uint64_t newest = 0;
    EXPECT_FALSE(client.watch("k", 7, std::chrono::milliseconds(1000), newest));
    EXPECT_EQ(newest, 7U);
    EXPECT_EQ(service_.openConnections(), 1);
}

TEST_F(ClientTest, StaysWithinItsBudget)
{
    ClientOptions options;
    options.callsPerSecond = 0.001;
    options.burst = 3;
    Client client(endpoint_, options);
    Object object;
    for (int call = 0; call < 3; ++call)
        EXPECT_EQ(client.get("k", object), StoreError::NotFound);
    EXPECT_EQ(client.get("k", object), StoreError::BudgetSpent);
    EXPECT_EQ(requests_, 3U);
}

TEST_F(ClientTest, ATruncatedResponseIsAnError)
{
    Client client(endpoint_);
    mustTruncate_ = true;
    Object object;
    std::uint64_t version = 0;
    EXPECT_EQ(client.get("k", object), StoreError::Unavailable);
    EXPECT_EQ(client.put("k", "v", Always(), version), StoreError::OutcomeUnknown);
}

TEST_F(ClientTest, RejectsOversizedValuesWithoutACall)
{
    Client client(endpoint_);
    std::uint64_t version = 0;
    EXPECT_EQ(client.put("k", std::string(maximumValueBytes + 1, 'x'), Always(), version), StoreError::TooLarge);
    EXPECT_EQ(requests_, 0U);
}

} // namespace
} // namespace balsamreel::Store
