// What an entry concludes from a guard's replies.
#include "balsamreel/Once/Inquiry.h"

#include <gtest/gtest.h>

namespace balsamreel::Once {
namespace {

using namespace std::chrono_literals;
const Support::Instant start{};
const Support::Instant deadline = start + 5s;

TEST(Inquiry, UnseenProvesNothingUntilItIsRevoked)
{
    Inquiry inquiry(deadline, true);
    EXPECT_FALSE(inquiry.wantsRevocation(start));
    EXPECT_EQ(inquiry.conclude(start, GuardReply{AttemptState::Unseen}), Verdict::Open);
    EXPECT_TRUE(inquiry.wantsRevocation(start));
    EXPECT_EQ(inquiry.conclude(start, GuardReply{AttemptState::Revoked}), Verdict::Repeat);
}

TEST(Inquiry, AnotherIncarnationOrALostAnswerIsUnknown)
{
    EXPECT_EQ(Inquiry(deadline, true).conclude(start, GuardReply{AttemptState::Unseen, false}), Verdict::Unknown);
    EXPECT_EQ(Inquiry(deadline, true).conclude(start, GuardReply{AttemptState::Lost}), Verdict::Unknown);
    EXPECT_EQ(Inquiry(deadline, true).conclude(start, GuardReply{AttemptState::Forgotten}), Verdict::Unknown);
    EXPECT_EQ(Inquiry(deadline, false).conclude(start, GuardReply{AttemptState::Unseen, false}), Verdict::Repeat);
}

TEST(Inquiry, DispatchedWorkIsWaitedForUntilTheDeadline)
{
    Inquiry inquiry(deadline, true);
    inquiry.breakConnection(start);
    EXPECT_EQ(inquiry.conclude(start + 4s, GuardReply{AttemptState::Dispatched}), Verdict::Open);
    EXPECT_EQ(inquiry.conclude(start + 4s, GuardReply{AttemptState::Done, true, true}), Verdict::Deliver);
    EXPECT_EQ(inquiry.conclude(deadline, GuardReply{AttemptState::Dispatched}), Verdict::Unknown);
}

TEST(Inquiry, AGuardThatAnswersNothingIsGivenUp)
{
    Inquiry inquiry(deadline, true);
    EXPECT_EQ(inquiry.conclude(start, NoReply()), Verdict::Open);
    EXPECT_EQ(inquiry.conclude(start + 1s, NoReply()), Verdict::Open);
    EXPECT_EQ(inquiry.conclude(start + 2s, NoReply()), Verdict::Unknown);
}

TEST(Inquiry, ChecksOfALongCallGetRarer)
{
    Inquiry inquiry(deadline, true);
    EXPECT_EQ(inquiry.nextInterval(), 250ms);
    EXPECT_EQ(inquiry.nextInterval(), 500ms);
    EXPECT_EQ(inquiry.nextInterval(), 1s);
    EXPECT_EQ(inquiry.nextInterval(), 2s);
    EXPECT_EQ(inquiry.nextInterval(), 2s);
}

} // namespace
} // namespace balsamreel::Once
