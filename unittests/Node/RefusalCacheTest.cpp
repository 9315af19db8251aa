// How long, and for which calls, an entry skips a server that has refused a call.
#include "balsamreel/Node/RefusalCache.h"

#include <gtest/gtest.h>

namespace balsamreel::Node {
namespace {

using namespace std::chrono_literals;
const Support::Instant start{};
const Balance::ServerId server{"node", {"127.0.0.1", 1}};

TEST(RefusalCache, ExpiresAfterHalfTheExpectedWaitOrItsMaximum)
{
    RefusalCache cache;
    cache.recordRefusal(start, "s", server, "caller", {0, 5}, 60ms);
    EXPECT_EQ(cache.refusingServers(start + 29ms, "s", "caller", {0, 5}).size(), 1U);
    EXPECT_TRUE(cache.refusingServers(start + 30ms, "s", "caller", {0, 5}).empty());
    cache.recordRefusal(start, "s", server, "caller", {0, 5}, 1h);
    EXPECT_TRUE(cache.refusingServers(start + RefusalCache::maximumRetention, "s", "caller", {0, 5}).empty());
}

TEST(RefusalCache, IgnoredForCallsThatAreServedFirst)
{
    RefusalCache cache;
    cache.recordRefusal(start, "s", server, "caller", {1, 5}, 60ms);
    EXPECT_TRUE(cache.refusingServers(start, "s", "caller", {1, 4}).empty());
    EXPECT_TRUE(cache.refusingServers(start, "s", "caller", {2, 5}).empty());
    EXPECT_EQ(cache.refusingServers(start, "s", "caller", {0, 0}).size(), 1U);
    EXPECT_TRUE(cache.refusingServers(start, "s", "another", {1, 5}).empty());
    EXPECT_TRUE(cache.refusingServers(start, "other", "caller", {1, 5}).empty());
}

} // namespace
} // namespace balsamreel::Node
