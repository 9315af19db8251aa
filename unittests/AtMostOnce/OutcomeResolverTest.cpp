// Verdicts of an entry on the replies of a guard.
#include "balsamreel/AtMostOnce/OutcomeResolver.h"

#include <gtest/gtest.h>

namespace balsamreel::AtMostOnce {
namespace {

using namespace std::chrono_literals;
const Support::Instant start{};
const Support::Instant deadline = start + 5s;

TEST(OutcomeResolver, UnseenProvesNothingUntilItIsRevoked)
{
    OutcomeResolver resolver(deadline, true);
    EXPECT_FALSE(resolver.wantsRevocation(start));
    EXPECT_EQ(resolver.evaluate(start, GuardReply{AttemptState::Unseen}), Verdict::Pending);
    EXPECT_TRUE(resolver.wantsRevocation(start));
    EXPECT_EQ(resolver.evaluate(start, GuardReply{AttemptState::Revoked}), Verdict::Retry);
}

TEST(OutcomeResolver, AnotherIncarnationOrALostAnswerIsUnknown)
{
    EXPECT_EQ(OutcomeResolver(deadline, true).evaluate(start, GuardReply{AttemptState::Unseen, false}), Verdict::Unknown);
    EXPECT_EQ(OutcomeResolver(deadline, true).evaluate(start, GuardReply{AttemptState::Lost}), Verdict::Unknown);
    EXPECT_EQ(OutcomeResolver(deadline, true).evaluate(start, GuardReply{AttemptState::Forgotten}), Verdict::Unknown);
    EXPECT_EQ(OutcomeResolver(deadline, false).evaluate(start, GuardReply{AttemptState::Unseen, false}), Verdict::Retry);
}

TEST(OutcomeResolver, DispatchedWorkIsWaitedForUntilTheDeadline)
{
    OutcomeResolver resolver(deadline, true);
    resolver.breakConnection(start);
    EXPECT_EQ(resolver.evaluate(start + 4s, GuardReply{AttemptState::Dispatched}), Verdict::Pending);
    EXPECT_EQ(resolver.evaluate(start + 4s, GuardReply{AttemptState::Done, true, true}), Verdict::Deliver);
    EXPECT_EQ(resolver.evaluate(deadline, GuardReply{AttemptState::Dispatched}), Verdict::Unknown);
}

TEST(OutcomeResolver, AnUnreachableGuardIsGivenUp)
{
    OutcomeResolver resolver(deadline, true);
    EXPECT_EQ(resolver.evaluate(start, NoReply()), Verdict::Pending);
    EXPECT_EQ(resolver.evaluate(start + 1s, NoReply()), Verdict::Pending);
    EXPECT_EQ(resolver.evaluate(start + 2s, NoReply()), Verdict::Unknown);
}

TEST(OutcomeResolver, TheCheckIntervalOfALongCallDoubles)
{
    OutcomeResolver resolver(deadline, true);
    EXPECT_EQ(resolver.nextInterval(), 250ms);
    EXPECT_EQ(resolver.nextInterval(), 500ms);
    EXPECT_EQ(resolver.nextInterval(), 1s);
    EXPECT_EQ(resolver.nextInterval(), 2s);
    EXPECT_EQ(resolver.nextInterval(), 2s);
}

} // namespace
} // namespace balsamreel::AtMostOnce
