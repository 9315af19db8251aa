#include "balsamreel/Relay/SharedRetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Relay {

namespace {

constexpr Instant start{std::chrono::seconds(100)};

} // namespace

TEST(SharedRetryBudget, UsesNoSlackBeforeNodeCountIsKnown)
{
    SharedRetryBudget budget({0.2, 62, std::chrono::seconds(10)});
    EXPECT_FALSE(budget.tryConsume(start, "plots"));
    budget.setNodeCount(4);
    EXPECT_TRUE(budget.tryConsume(start, "plots"));
}

TEST(SharedRetryBudget, KeepsHalfForUrgentRetries)
{
    SharedRetryBudget budget({0.5, 0, std::chrono::seconds(10)});
    for (int index = 0; index < 100; ++index)
        budget.recordRequest(start, "plots");
    int spare = 0;
    while (budget.tryConsumeSpare(start, "plots"))
        ++spare;
    int urgent = 0;
    while (budget.tryConsume(start, "plots"))
        ++urgent;
    EXPECT_EQ(spare, 10);
    EXPECT_EQ(urgent, 10);
    EXPECT_FALSE(budget.tryConsumeSpare(start, "plots"));
}

// In every window all nodes together stay within the budget, however the requests are spread over them. The calls of
// retried executions, for which the nodes leave a margin, are not simulated.
RC_GTEST_PROP(SharedRetryBudget, AllNodesTogetherStayWithinBudget, ())
{
    constexpr SharedRetryBudgetOptions options{0.2, 62, std::chrono::seconds(10)};
    auto nodes = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<SharedRetryBudget> budgets(nodes, SharedRetryBudget(options));
    for (auto& budget : budgets)
        budget.setNodeCount(nodes);
    auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, std::uint8_t>>>(rc::gen::pair(rc::gen::inRange<std::size_t>(0, nodes), rc::gen::arbitrary<std::uint8_t>()));
    std::deque<Instant> requests;
    std::deque<Instant> retries;
    auto now = start;
    for (const auto& [node, step] : steps) {
        now += std::chrono::milliseconds(step);
        if (step % 3 == 0) {
            budgets[node].recordRequest(now, "plots");
            requests.push_back(now);
        }
        while (budgets[node].tryConsume(now, "plots"))
            retries.push_back(now);
        std::erase_if(requests, [&](auto at) { return at < now - options.window; });
        std::erase_if(retries, [&](auto at) { return at < now - options.window; });
        RC_ASSERT(static_cast<double>(retries.size()) <= options.ratio * static_cast<double>(requests.size()) + options.slack);
    }
}

} // namespace balsamreel::Relay
