#include "balsamreel/Relay/Body.h"

#include <gtest/gtest.h>

namespace balsamreel::Relay {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit = 1024 * 1024;
constexpr std::size_t largeBytes = 200 * 1024;
constexpr std::size_t smallBytes = 1024;

class BodyTest : public testing::Test {
protected:
    BodyReceiver receiver(unsigned& refusals)
    {
        return {budget_, [&refusals] { ++refusals; }};
    }

    std::shared_ptr<MemoryBudget> budget_ = std::make_shared<MemoryBudget>(limit);
    Support::Instant start_{1h};
};

} // namespace

TEST_F(BodyTest, CopiesShareTheBytesAndTheLastOneGivesThemBack)
{
    BodyReceiver receiver(budget_, nullptr);
    std::string text(3 * bodySegmentBytes + 7, 'x');
    ASSERT_TRUE(receiver.append(std::string_view(text).substr(0, 10), start_));
    ASSERT_TRUE(receiver.append(std::string_view(text).substr(10), start_));
    auto body = receiver.finish();
    auto copy = body;
    EXPECT_EQ(body.segments().size(), 4U);
    EXPECT_EQ(budget_->heldBytes(), text.size());
    body = Body();
    EXPECT_EQ(copy.text(), text);
    copy = Body();
    EXPECT_EQ(budget_->heldBytes(), 0U);
}

TEST_F(BodyTest, DropsTheBodyThatHasStalledLongest)
{
    std::vector<unsigned> refusals(5);
    std::vector<BodyReceiver> bodies;
    for (auto& count : refusals) {
        bodies.push_back(receiver(count));
        bodies.back().append(std::string(largeBytes, 'x'), start_);
    }
    // The fifth does not fit, and none of the others has stalled yet.
    EXPECT_EQ(bodies[4].size(), 0U);
    bodies[0].append(std::string(bodySegmentBytes, 'x'), start_ + 100ms);
    EXPECT_TRUE(bodies[4].append(std::string(largeBytes, 'x'), start_ + 550ms));
    EXPECT_EQ(refusals, (std::vector<unsigned>{0, 1, 0, 0, 0}));
}

TEST_F(BodyTest, KeepsAReserveForSmallBodies)
{
    unsigned refusals = 0;
    auto large = receiver(refusals);
    while (large.append(std::string(bodySegmentBytes, 'x'), start_)) { }
    auto small = receiver(refusals);
    EXPECT_TRUE(small.append(std::string(smallBytes, 'x'), start_));
    EXPECT_FALSE(small.append(std::string(limit, 'x'), start_));
    EXPECT_EQ(refusals, 0U);
}

TEST_F(BodyTest, TricklingBytesAreNoProgressAndSmallBodiesAreNoVictims)
{
    unsigned largeRefusals = 0;
    unsigned smallRefusals = 0;
    auto small = receiver(smallRefusals);
    small.append(std::string(smallBytes, 'x'), start_);
    auto large = receiver(largeRefusals);
    while (large.append(std::string(bodySegmentBytes, 'x'), start_)) { }
    large.append("x", start_ + 400ms);
    auto other = receiver(smallRefusals);
    EXPECT_TRUE(other.append(std::string(largeBytes, 'x'), start_ + 600ms));
    EXPECT_EQ(largeRefusals, 1U);
    EXPECT_EQ(smallRefusals, 0U);
}

} // namespace balsamreel::Relay
