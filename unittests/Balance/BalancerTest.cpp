// Server selection: round robin, ejection and draining.
#include "balsamreel/Balance/Balancer.h"

#include <gtest/gtest.h>

namespace balsamreel::Balance {
namespace {

using namespace std::chrono_literals;
const Support::Instant start{};

ServerFacts facts(unsigned index, const std::string& domain = "d0")
{
    return {{"n" + std::to_string(index), {"127.0.0.1", 80}}, "catalog", domain, "r", {"127.0.0.1", static_cast<std::uint16_t>(index)}, 8, Wire::ServerState::Ready, 1};
}

TEST(Balancer, NaivePolicyIsRoundRobin)
{
    Balancer balancer("d0", 1);
    balancer.update(start, {facts(0), facts(1), facts(2)});
    std::map<std::string, unsigned> counts;
    for (int call = 0; call < 9; ++call)
        ++counts[balancer.choose(start, "catalog", true, {})->server.node];
    for (const auto& [node, count] : counts)
        EXPECT_EQ(count, 3U) << node;
}

TEST(Balancer, AFailingServerIsEjectedAndRetried)
{
    Balancer balancer("d0", 1);
    balancer.update(start, {facts(0), facts(1)});
    for (int call = 0; call < 10; ++call) {
        balancer.started(start, facts(0).id);
        balancer.finished(start, facts(0).id, {AttemptResult::ServerError, 1ms, std::nullopt});
    }
    for (int call = 0; call < 50; ++call)
        EXPECT_EQ(balancer.choose(start, "catalog", false, {})->server.node, "n1");
    const auto& ejectedUntil = balancer.servers().at(facts(0).id).ejectedUntil;
    ASSERT_TRUE(ejectedUntil);
    EXPECT_LE(*ejectedUntil - start, 20s);
}

TEST(Balancer, ADrainingServerIsNotChosen)
{
    Balancer balancer("d0", 1);
    auto draining = facts(0);
    draining.state = Wire::ServerState::Draining;
    balancer.update(start, {draining, facts(1)});
    for (int call = 0; call < 20; ++call)
        EXPECT_EQ(balancer.choose(start, "catalog", false, {})->server.node, "n1");
    EXPECT_FALSE(balancer.choose(start, "catalog", false, {facts(1).id}));
}

} // namespace
} // namespace balsamreel::Balance
