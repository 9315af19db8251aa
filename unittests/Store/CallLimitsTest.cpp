// Tests the call budget, the circuit breaker and the backoff of the store client on a virtual clock.
#include "balsamreel/Store/Breaker.h"
#include "balsamreel/Store/CallBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Support::Duration;
using Support::Instant;

constexpr Instant start{seconds(1000)};

RC_GTEST_PROP(CallBudget, LimitsCallsToRateAndBurst, ())
{
    auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500));
    CallBudget budget(10, 5);
    auto now = start;
    int consumed = 0;
    for (int step : steps) {
        now += milliseconds(step);
        consumed += budget.tryConsume(now) ? 1 : 0;
        std::chrono::duration<double> elapsed = now - start;
        RC_ASSERT(consumed <= 5 + 10 * elapsed.count() + 1e-6);
    }
}

TEST(CallBudget, RefillsAndIgnoresAClockThatGoesBack)
{
    CallBudget budget(10, 2);
    EXPECT_TRUE(budget.tryConsume(start));
    EXPECT_TRUE(budget.tryConsume(start));
    EXPECT_FALSE(budget.tryConsume(start - seconds(5)));
    EXPECT_FALSE(budget.tryConsume(start + milliseconds(99)));
    EXPECT_TRUE(budget.tryConsume(start + milliseconds(100)));
}

TEST(Backoff, GrowsToItsLimitWithJitter)
{
    Backoff backoff({milliseconds(100), seconds(1)}, 7);
    for (int ceiling : {100, 200, 400, 800, 1000, 1000}) {
        auto delay = backoff.next();
        EXPECT_GE(delay, milliseconds(ceiling) / 2);
        EXPECT_LE(delay, milliseconds(ceiling));
    }
    backoff.reset();
    EXPECT_LE(backoff.next(), milliseconds(100));
}

TEST(Breaker, AllowsOneTrialAtATimeAfterOpening)
{
    Breaker breaker({.failuresToOpen = 2, .trialsToClose = 2}, 1);
    breaker.onResult(start, false);
    EXPECT_TRUE(breaker.tryStartCall(start));
    breaker.onResult(start, false);
    EXPECT_FALSE(breaker.tryStartCall(start));
    auto later = start + seconds(3);
    EXPECT_TRUE(breaker.tryStartCall(later));
    EXPECT_FALSE(breaker.tryStartCall(later));
    breaker.onResult(later, true);
    EXPECT_EQ(breaker.state(), BreakerState::HalfOpen);
    EXPECT_TRUE(breaker.tryStartCall(later));
    EXPECT_FALSE(breaker.tryStartCall(later));
    breaker.onResult(later, true);
    EXPECT_EQ(breaker.state(), BreakerState::Closed);
}

TEST(Breaker, ATrialWithoutAResultTimesOut)
{
    Breaker breaker({.failuresToOpen = 1}, 1);
    breaker.onResult(start, false);
    auto later = start + seconds(3);
    EXPECT_TRUE(breaker.tryStartCall(later));
    EXPECT_FALSE(breaker.tryStartCall(later + seconds(11)));
    EXPECT_TRUE(breaker.tryStartCall(later + seconds(14)));
}

RC_GTEST_PROP(Breaker, LimitsCallsToOnePerPauseDuringAnOutage, ())
{
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    BreakerOptions options;
    Breaker breaker(options, seed);
    int calls = 0;
    for (int tick = 0; tick < 6000; ++tick) {
        auto now = start + milliseconds(10 * tick);
        if (!breaker.tryStartCall(now))
            continue;
        ++calls;
        breaker.onResult(now, false);
    }
    // One minute with pauses of 1 to 2 seconds, plus the few calls before the pause reaches its maximum.
    RC_ASSERT(calls <= 70);
    RC_ASSERT(calls >= 30);
}

} // namespace
} // namespace balsamreel::Store
