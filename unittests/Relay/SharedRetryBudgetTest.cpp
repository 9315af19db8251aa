#include "balsamreel/Relay/SharedRetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Relay {

namespace {

constexpr Instant start{std::chrono::seconds(100)};

} // namespace

TEST(SharedRetryBudget, UsesNoSlackBeforeNodeCountIsKnown)
{
    SharedRetryBudget allowance({0.2, 62, std::chrono::seconds(10)});
    EXPECT_FALSE(allowance.tryConsume(start, "plots"));
    allowance.setNodeCount(4);
    EXPECT_TRUE(allowance.tryConsume(start, "plots"));
}

// All nodes together keep the limit in each window, whatever they each see of the traffic, and with calls of
// repeated runs counted as well.
RC_GTEST_PROP(SharedRetryBudget, AllNodesTogetherStayWithinBudget, ())
{
    constexpr SharedRetryBudgetOptions options{0.2, 62, std::chrono::seconds(10)};
    auto nodes = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<SharedRetryBudget> allowances(nodes, SharedRetryBudget(options));
    for (auto& allowance : allowances)
        allowance.setNodeCount(nodes);
    auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, std::uint8_t>>>(rc::gen::pair(rc::gen::inRange<std::size_t>(0, nodes), rc::gen::arbitrary<std::uint8_t>()));
    std::deque<Instant> requests;
    std::deque<Instant> repeats;
    auto now = start;
    for (const auto& [node, kind] : steps) {
        now += std::chrono::milliseconds(kind);
        if (kind % 3 == 0) {
            allowances[node].request(now, "plots");
            requests.push_back(now);
        }
        while (allowances[node].tryConsume(now, "plots"))
            repeats.push_back(now);
        std::erase_if(requests, [&](auto at) { return at < now - options.window; });
        std::erase_if(repeats, [&](auto at) { return at < now - options.window; });
        RC_ASSERT(static_cast<double>(repeats.size()) <= options.ratio * static_cast<double>(requests.size()) + options.slack);
    }
}

} // namespace balsamreel::Relay
