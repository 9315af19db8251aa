// Selection of the servers to probe, and diversion of calls by the guard of a slow server.
#include "balsamreel/Balance/ProbePlanner.h"
#include "balsamreel/Balance/ServerSlowdown.h"

#include <gtest/gtest.h>

namespace balsamreel::Balance {
namespace {

using namespace std::chrono_literals;
using Support::Instant;

TEST(ProbePlanner, ProbesOnlyServersWithoutRecentResponses)
{
    Balancer balancer("d0", 1);
    std::vector<ServerFacts> facts;
    for (unsigned index = 0; index < 2; ++index)
        facts.push_back({{"n" + std::to_string(index), {"127.0.0.1", 80}}, "catalog", "d0", "r", {}, 9, Wire::ServerState::Ready, 1});
    balancer.update(Instant(), facts);
    ProbePlanner planner("d0");
    std::map<std::string, double> rates{{"catalog", 5}};
    Instant now;
    for (; now < Instant(3s); now += 50ms)
        EXPECT_TRUE(planner.plan(now, balancer, rates).empty()) << "no calls, no probes";
    for (; now < Instant(6s); now += 50ms) {
        balancer.choose(now, "catalog", false, {});
        balancer.started(now, facts[0].id, "r");
        balancer.finished(now, facts[0].id, {AttemptResult::Answered, 1ms, std::nullopt, now, "r"});
        for (const auto& target : planner.plan(now, balancer, rates))
            EXPECT_EQ(target.server, facts[1].id) << "the other server has recent responses";
    }
    for (; now < Instant(9s); now += 50ms) {
        balancer.choose(now, "catalog", false, {});
        EXPECT_TRUE(planner.plan(now, balancer, {}).empty()) << "a service without a budget";
    }
}

TEST(ServerSlowdown, DivertsCallsUntilATrialSucceeds)
{
    ServerSlowdown serverSlowdown;
    Instant now;
    auto call = [&](Support::Duration latency) {
        serverSlowdown.started(now, "r");
        serverSlowdown.finished(now + latency, now, "r", AttemptResult::Answered);
        now += latency + 1ms;
    };
    for (int count = 0; count < 50; ++count)
        call(4ms);
    EXPECT_FALSE(serverSlowdown.isDiverting(now));
    serverSlowdown.started(now, "r");
    EXPECT_TRUE(serverSlowdown.isDiverting(now + 20ms)) << "a call is late";
    serverSlowdown.finished(now + 40ms, now, "r", AttemptResult::Answered);
    now += 41ms;
    EXPECT_TRUE(serverSlowdown.isDiverting(now)) << "the response was slow";
    now += 600ms;
    EXPECT_FALSE(serverSlowdown.isDiverting(now)) << "one trial is let through";
    serverSlowdown.started(now, "r");
    EXPECT_TRUE(serverSlowdown.isDiverting(now + 1ms)) << "only one trial at a time";
    serverSlowdown.finished(now + 4ms, now, "r", AttemptResult::Answered);
    now += 5ms;
    for (int count = 0; count < 4; ++count)
        call(4ms);
    for (int count = 0; count < 8; ++count)
        serverSlowdown.started(now, "r");
    EXPECT_FALSE(serverSlowdown.isDiverting(now)) << "fully recovered";
}

} // namespace
} // namespace balsamreel::Balance
