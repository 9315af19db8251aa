// Which nodes watch the store, and what a new node starts from, on a virtual clock.
#include "balsamreel/Config/StartupChoice.h"
#include "balsamreel/Config/Watchers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RC_GTEST_PROP(WatcherRole, TwoOfEachDomainWatchWithRanksOfTheirOwn, ())
{
    auto domainCount = *rc::gen::inRange(1, 7);
    auto domains = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, domainCount));
    std::vector<WatcherCandidate> candidates;
    std::map<std::string, std::size_t> nodesPerDomain;
    for (int domain : domains) {
        candidates.push_back({"node-" + std::to_string(candidates.size()), std::to_string(domain)});
        ++nodesPerDomain[candidates.back().domain];
    }
    std::set<std::size_t> ranks;
    std::map<std::string, std::size_t> watchers;
    std::size_t firsts = 0;
    for (const auto& candidate : candidates) {
        auto role = watcherRole(candidates, candidate.node);
        if (!role)
            continue;
        RC_ASSERT(ranks.insert(role->rank).second);
        firsts += role->isFirstOfDomain ? 1 : 0;
        ++watchers[candidate.domain];
    }
    RC_ASSERT(firsts == nodesPerDomain.size());
    for (const auto& [domain, nodes] : nodesPerDomain)
        RC_ASSERT(watchers[domain] == std::min(nodes, watchersPerDomain));
    RC_ASSERT((ranks.empty() || (*ranks.begin() == 0 && *ranks.rbegin() < 2 * nodesPerDomain.size())));
}

TEST(StartupChoice, OnePeerThatLagsDoesNotDecide)
{
    Support::Instant start{seconds(10)};
    StartupChoice choice({}, start);
    choice.offer("a", {3, {}, ""});
    EXPECT_FALSE(choice.isSettled(start + seconds(1)));
    choice.offer("b", {7, {}, ""});
    choice.offer("c", {5, {}, ""});
    EXPECT_TRUE(choice.isSettled(start + seconds(1)));
    EXPECT_EQ(choice.newest().generation, 7U);
}

TEST(StartupChoice, FewAnswersDoAfterAWhileButNoneNever)
{
    Support::Instant start{seconds(10)};
    StartupChoice choice({}, start);
    EXPECT_FALSE(choice.isSettled(start + seconds(100)));
    choice.offer("a", {3, {}, ""});
    EXPECT_FALSE(choice.isSettled(start + milliseconds(1499)));
    EXPECT_TRUE(choice.isSettled(start + milliseconds(1500)));
}

} // namespace
} // namespace balsamreel::Config
