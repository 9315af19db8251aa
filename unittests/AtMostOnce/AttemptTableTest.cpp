// Attempts at a guard. Guards against an attempt that runs twice, or runs after it was revoked, because a copy arrives
// late.
#include "balsamreel/AtMostOnce/AttemptTable.h"

#include <gtest/gtest.h>

namespace balsamreel::AtMostOnce {
namespace {

using namespace std::chrono_literals;
const Support::Instant start{};
const Wire::AttemptId id{1, 1};

TEST(AttemptTable, ADuplicateIsRejected)
{
    AttemptTable table;
    EXPECT_TRUE(table.admit(start, id, start + 1s));
    EXPECT_FALSE(table.admit(start, id, start + 1s));
    EXPECT_TRUE(table.dispatch(start, id));
    EXPECT_FALSE(table.dispatch(start, id));
}

TEST(AttemptTable, ARevokedAttemptThatArrivesLateIsRefused)
{
    AttemptTable table;
    EXPECT_EQ(table.revoke(start, id, start + 1s), AttemptState::Revoked);
    EXPECT_FALSE(table.admit(start, id, start + 1s));
    EXPECT_FALSE(table.dispatch(start, id));
    table.tick(start + 30s);
    EXPECT_EQ(table.state(id), AttemptState::Revoked);
}

TEST(AttemptTable, RevokingDispatchedWorkChangesNothing)
{
    AttemptTable table;
    table.admit(start, id, start + 1s);
    table.dispatch(start, id);
    EXPECT_EQ(table.revoke(start, id, start + 1s), AttemptState::Dispatched);
    table.finish(id, {200, {}, "answer"});
    ASSERT_TRUE(table.answer(id));
    EXPECT_EQ(table.answer(id)->body, "answer");
}

TEST(AttemptTable, NothingIsDispatchedPastItsDeadline)
{
    AttemptTable table;
    table.admit(start, id, start + 1s);
    EXPECT_FALSE(table.dispatch(start + 1s, id));
    EXPECT_EQ(table.state(id), AttemptState::Refused);
}

TEST(AttemptTable, RetainedBytesAreBoundedAndReturned)
{
    AttemptTable table({.retention = 1s, .maximumRetainedBytes = 10, .maximumResponseBytes = 8});
    for (std::uint64_t counter = 0; counter < 3; ++counter) {
        Wire::AttemptId attempt{1, counter};
        table.admit(start, attempt, start + 1s);
        table.dispatch(start, attempt);
        table.finish(attempt, {200, {}, std::string(5, 'x')});
    }
    EXPECT_EQ(table.retainedBytes(), 10U);
    EXPECT_FALSE(table.answer({1, 2}));
    table.tick(start + 5s);
    EXPECT_EQ(table.retainedBytes(), 0U);
    EXPECT_EQ(table.size(), 0U);
}

TEST(AttemptTable, OpenAttemptsDoNotLeak)
{
    AttemptTable table({.retention = 1s});
    table.admit(start, {1, 1}, start + 1s);
    table.admit(start, {1, 2}, start + 1s);
    table.dispatch(start, {1, 2});
    table.tick(start + 2s);
    EXPECT_EQ(table.size(), 0U);
    table.finish({1, 2}, {200, {}, "late"});
    EXPECT_EQ(table.retainedBytes(), 0U);
}

TEST(AttemptTable, ACopyOfAForgottenAttemptIsRefused)
{
    AttemptTable table({.retention = 1s});
    table.revoke(start, id, start + 1s);
    table.tick(start + 2s);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_FALSE(table.admit(start + 2s, id, start + 9s));
    EXPECT_EQ(table.state(id), AttemptState::Forgotten);
    EXPECT_EQ(table.revoke(start + 2s, id, start + 9s), AttemptState::Forgotten);
    EXPECT_TRUE(table.admit(start + 2s, {1, 2}, start + 9s));
}

TEST(AttemptTable, ADispatchedAttemptWhoseHandlerEndsIsLost)
{
    AttemptTable table;
    table.admit(start, {1, 1}, start + 1s);
    table.admit(start, {1, 2}, start + 1s);
    table.dispatch(start, {1, 2});
    table.complete({1, 1});
    table.complete({1, 2});
    EXPECT_EQ(table.state({1, 1}), AttemptState::Refused);
    EXPECT_EQ(table.state({1, 2}), AttemptState::Lost);
}

} // namespace
} // namespace balsamreel::AtMostOnce
