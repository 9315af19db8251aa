// At-most-once calls over real sockets: idempotency keys, store outages and lost connections between the processes must
// neither run a call twice nor report a call that ran as not-run.
#include "Deployment.h"

#include <Poco/Net/StreamSocket.h>

#include <gtest/gtest.h>

namespace balsamreel::Node {
namespace {

using Headers = std::map<std::string, std::string>;

unsigned executionsOf(const Deployment& deployment, const std::string& id)
{
    unsigned sum = 0;
    for (const auto& server : deployment.serverEndpoints) {
        std::istringstream rows(call(server, "GET", "/executions").body);
        std::string name;
        unsigned count = 0;
        while (rows >> name >> count)
            sum += name == id ? count : 0;
    }
    return sum;
}

CallResult release(const Support::Endpoint& entry, const std::string& id, const std::string& key, const std::string& body = "batch 7")
{
    Headers headers{{"X-Test-Id", id}};
    if (!key.empty())
        headers["Idempotency-Key"] = key;
    return call(entry, "POST", "/release", headers, body);
}

/// One deployment shared by all tests of this file; each test uses its own keys and ids.
class AtMostOnceTest : public testing::Test {
protected:
    static void SetUpTestSuite()
    {
        shared = std::make_unique<Deployment>(3);
        ASSERT_TRUE(shared->waitReady());
    }
    static void TearDownTestSuite() { shared.reset(); }
    void TearDown() override { call(shared->storeEndpoint, "POST", "/v1/faults?down=0&lose_answers=0"); }

    static std::unique_ptr<Deployment> shared;
    Deployment& deployment = *shared;
};
std::unique_ptr<Deployment> AtMostOnceTest::shared;

TEST_F(AtMostOnceTest, RepeatedKeyThroughAnotherNodeGetsRetainedResponse)
{
    auto first = release(deployment.entries[0], "pay1", "key-1");
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(first.header("X-Balsam-Outcome"), "ran");
    CallResult second;
    EXPECT_TRUE(eventually([&] {
        second = release(deployment.entries[1], "pay1", "key-1");
        return second.header("X-Balsam-Outcome") != "in-progress";
    }));
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(second.header("X-Balsam-Replayed"), "1");
    EXPECT_EQ(executionsOf(deployment, "pay1"), 1U);

    auto other = release(deployment.entries[2], "pay2", "key-1", "batch 8");
    EXPECT_EQ(other.status, 422);
    EXPECT_EQ(other.header("X-Balsam-Outcome"), "not-run");
    EXPECT_EQ(executionsOf(deployment, "pay2"), 0U);
}

TEST_F(AtMostOnceTest, StoreOutageRefusesOnlyKeyedCalls)
{
    call(deployment.storeEndpoint, "POST", "/v1/faults?down=1");
    auto keyed = release(deployment.entries[0], "out1", "key-2");
    EXPECT_EQ(keyed.status, 503);
    EXPECT_EQ(keyed.header("X-Balsam-Outcome"), "not-run");
    EXPECT_EQ(keyed.header("X-Balsam-Reason"), "store-unavailable");
    EXPECT_EQ(release(deployment.entries[0], "out2", "").status, 200);
    EXPECT_EQ(executionsOf(deployment, "out1"), 0U);

    call(deployment.storeEndpoint, "POST", "/v1/faults?down=0");
    EXPECT_TRUE(eventually([&] { return release(deployment.entries[1], "out1", "key-2").status == 200; }));
    EXPECT_EQ(executionsOf(deployment, "out1"), 1U);
}

TEST_F(AtMostOnceTest, LostStoreResponsesNeitherBlockNorRepeatCalls)
{
    call(deployment.storeEndpoint, "POST", "/v1/faults?lose_answers=0.5");
    for (unsigned number = 0; number < 10; ++number) {
        auto id = "lossy" + std::to_string(number);
        EXPECT_TRUE(eventually([&] { return release(deployment.entries[number % 2], id, id).status == 200; })) << id;
        EXPECT_EQ(executionsOf(deployment, id), 1U);
    }
}

TEST_F(AtMostOnceTest, RetriesOnAnotherNodeWhenGuardIsGone)
{
    deployment.daemons[2].reset();
    for (unsigned number = 0; number < 20; ++number) {
        auto id = "gone" + std::to_string(number);
        EXPECT_EQ(release(deployment.entries[0], id, "").status, 200);
        EXPECT_EQ(executionsOf(deployment, id), 1U);
    }
}

TEST_F(AtMostOnceTest, QueryRevokesAttemptThatHasNotArrived)
{
    Headers query{{"X-Balsam-Query", "revoke"}, {"X-Balsam-Attempt", "abc-1"}, {"X-Balsam-Guard", "1"}, {"X-Balsam-Remaining-Us", "1000000"}};
    auto wrong = call(deployment.peers[0], "POST", "/balsam/attempt", query);
    auto incarnation = wrong.header("X-Balsam-Guard");
    EXPECT_EQ(wrong.header("X-Balsam-Attempt-State"), "unseen");
    query["X-Balsam-Guard"] = incarnation;
    EXPECT_EQ(call(deployment.peers[0], "POST", "/balsam/attempt", query).header("X-Balsam-Attempt-State"), "revoked");

    Headers late{{"X-Balsam-Attempt", "abc-1"}, {"X-Balsam-Guard", incarnation}, {"X-Balsam-Server", deployment.serverEndpoints[0].text()}, {"X-Balsam-At-Most-Once", "1"}, {"X-Test-Id", "late1"}};
    EXPECT_EQ(call(deployment.peers[0], "POST", "/release", late).header("X-Balsam-Outcome"), "not-run");
    EXPECT_EQ(executionsOf(deployment, "late1"), 0U);

    late["X-Balsam-Attempt"] = "abc-2";
    EXPECT_EQ(call(deployment.peers[0], "POST", "/release", late).status, 200);
    EXPECT_EQ(call(deployment.peers[0], "POST", "/release", late).header("X-Balsam-Outcome"), "unknown");
    EXPECT_EQ(executionsOf(deployment, "late1"), 1U);
    query["X-Balsam-Attempt"] = "abc-2";
    auto done = call(deployment.peers[0], "POST", "/balsam/attempt", query);
    EXPECT_EQ(done.header("X-Balsam-Attempt-State"), "done");
    EXPECT_EQ(done.header("X-Balsam-Retained"), "200");
    EXPECT_EQ(done.body, "late1");
}

} // namespace
} // namespace balsamreel::Node
