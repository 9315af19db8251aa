// Tests the selection of watchers and of the first configuration after a start, on a virtual clock.
#include "balsamreel/Config/StartupHeadSelection.h"
#include "balsamreel/Config/Watchers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RC_GTEST_PROP(WatcherRole, SelectsTwoWatchersPerDomainWithUniqueRanks, ())
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
    std::size_t firstWatchers = 0;
    for (const auto& candidate : candidates) {
        auto role = watcherRole(candidates, candidate.node);
        if (!role)
            continue;
        RC_ASSERT(ranks.insert(role->rank).second);
        firstWatchers += role->isFirstOfDomain ? 1 : 0;
        ++watchers[candidate.domain];
    }
    RC_ASSERT(firstWatchers == nodesPerDomain.size());
    for (const auto& [domain, nodes] : nodesPerDomain)
        RC_ASSERT(watchers[domain] == std::min(nodes, watchersPerDomain));
    RC_ASSERT((ranks.empty() || (*ranks.begin() == 0 && *ranks.rbegin() < 2 * nodesPerDomain.size())));
}

TEST(StartupHeadSelection, ALaggingPeerDoesNotDecide)
{
    Support::Instant start{seconds(10)};
    StartupHeadSelection selection({}, start);
    selection.addHead("a", {3, {}, ""});
    EXPECT_FALSE(selection.isDecided(start + seconds(1)));
    selection.addHead("b", {7, {}, ""});
    selection.addHead("c", {5, {}, ""});
    EXPECT_TRUE(selection.isDecided(start + seconds(1)));
    EXPECT_EQ(selection.newest().generation, 7U);
}

TEST(StartupHeadSelection, FewResponsesSufficeAfterTheTimeoutButNoneNever)
{
    Support::Instant start{seconds(10)};
    StartupHeadSelection selection({}, start);
    EXPECT_FALSE(selection.isDecided(start + seconds(100)));
    selection.addHead("a", {3, {}, ""});
    EXPECT_FALSE(selection.isDecided(start + milliseconds(1499)));
    EXPECT_TRUE(selection.isDecided(start + milliseconds(1500)));
}

} // namespace
} // namespace balsamreel::Config
