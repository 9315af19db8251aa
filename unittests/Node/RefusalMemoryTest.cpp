// Refusals that an entry remembers.
#include "balsamreel/Node/RefusalMemory.h"

#include <gtest/gtest.h>

namespace balsamreel::Node {
namespace {

using namespace std::chrono_literals;
const Support::Instant start{};
const Balance::ServerId server{"node", {"127.0.0.1", 1}};

TEST(RefusalMemory, LastsHalfTheExpectedWaitAndNeverLongerThanItsBound)
{
    RefusalMemory memory;
    memory.refused(start, "s", server, "caller", {0, 5}, 60ms);
    EXPECT_EQ(memory.refusing(start + 29ms, "s", "caller", {0, 5}).size(), 1U);
    EXPECT_TRUE(memory.refusing(start + 30ms, "s", "caller", {0, 5}).empty());
    memory.refused(start, "s", server, "caller", {0, 5}, 1h);
    EXPECT_TRUE(memory.refusing(start + RefusalMemory::maximumMemory, "s", "caller", {0, 5}).empty());
}

TEST(RefusalMemory, DoesNotBindCallsThatWouldGoFirst)
{
    RefusalMemory memory;
    memory.refused(start, "s", server, "caller", {1, 5}, 60ms);
    EXPECT_TRUE(memory.refusing(start, "s", "caller", {1, 4}).empty());
    EXPECT_TRUE(memory.refusing(start, "s", "caller", {2, 5}).empty());
    EXPECT_EQ(memory.refusing(start, "s", "caller", {0, 0}).size(), 1U);
    EXPECT_TRUE(memory.refusing(start, "s", "another", {1, 5}).empty());
    EXPECT_TRUE(memory.refusing(start, "other", "caller", {1, 5}).empty());
}

} // namespace
} // namespace balsamreel::Node
