#include "balsamreel/Admission/RequestRateLimiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace balsamreel::Admission {

using namespace std::chrono_literals;
using Support::Duration;
using Support::Instant;

namespace {

constexpr auto window = 4s; // over which the users count a server's requests

// The users allow one and a half times the limit over a window, and 5 requests.
double allowedIn(double limit)
{
    return 1.5 * limit * window.count() + 5;
}

// Offers requests at intervals and returns how many of each priority are let through.
std::vector<int> offer(RequestRateLimiter& limiter, Instant& now, Duration interval, Duration time, const std::vector<unsigned>& priorities)
{
    std::vector<int> taken(priorities.size());
    for (auto end = now + time; now < end; now += interval) {
        for (std::size_t index = 0; index < priorities.size(); ++index)
            taken[index] += limiter.tryTake(now, priorities[index]) ? 1 : 0;
    }
    return taken;
}

} // namespace

TEST(RequestRateLimiter, LetsEverythingThroughWithoutALimit)
{
    RequestRateLimiter limiter;
    Instant now(1h);
    EXPECT_EQ(offer(limiter, now, 1ms, 1s, {2})[0], 1000);
    EXPECT_EQ(limiter.timeUntilRoom(now, 2), Duration::zero());
    limiter.setLimit(now, 10);
    limiter.setLimit(now, std::nullopt);
    EXPECT_EQ(offer(limiter, now, 1ms, 1s, {2})[0], 1000);
}

RC_GTEST_PROP(RequestRateLimiter, PassesWhatAServerTakesAndNoMoreThanTheUsersAllow, ())
{
    double limit = *rc::gen::inRange(0, 2000) / 10.0;
    unsigned priority = *rc::gen::inRange(0U, 8U);
    auto interval = Duration(*rc::gen::inRange(100, 50'000));
    RequestRateLimiter limiter;
    Instant now(1h);
    limiter.setLimit(now, limit);
    std::deque<Instant> taken;
    std::size_t most = 0;
    std::size_t total = 0;
    constexpr auto length = 10s;
    for (auto end = now + length; now < end; now += interval) {
        if (*rc::gen::inRange(0, 50) == 0)
            now += Duration(*rc::gen::inRange(0, 3'000'000)); // a pause, for example of the VM
        if (!limiter.tryTake(now, priority))
            continue;
        ++total;
        taken.push_back(now);
        while (taken.front() <= now - window)
            taken.pop_front();
        most = std::max(most, taken.size());
    }
    RC_ASSERT(static_cast<double>(most) <= allowedIn(limit));
}

TEST(RequestRateLimiter, PassesWorkAtTheRateThatTheServerTakes)
{
    for (double limit : {1.0, 5.0, 25.0, 300.0}) {
        RequestRateLimiter limiter;
        Instant now(1h);
        limiter.setLimit(now, limit);
        offer(limiter, now, 1ms, 2s, {2});
        EXPECT_NEAR(offer(limiter, now, 1ms, 20s, {2})[0], 20 * limit, 2) << limit;
    }
}

TEST(RequestRateLimiter, RefusesTheLeastUrgentRequestsFirst)
{
    RequestRateLimiter limiter;
    Instant now(1h);
    limiter.setLimit(now, 20);
    auto taken = offer(limiter, now, 62ms, 10s, {2, 1}); // 16 a second of each
    EXPECT_GE(taken[1], 155);
    EXPECT_GE(taken[0], 30);
    EXPECT_LE(taken[0] + taken[1], 212);
}

TEST(RequestRateLimiter, KeepsToALimitThatFalls)
{
    RequestRateLimiter limiter;
    Instant now(1h);
    limiter.setLimit(now, 100);
    offer(limiter, now, 1s, 10s, {0});
    limiter.setLimit(now, 10);
    EXPECT_LE(offer(limiter, now, 1ms, window, {0})[0], allowedIn(10));
}

TEST(RequestRateLimiter, AsksAServerThatTakesNothingNowAndThen)
{
    RequestRateLimiter limiter;
    Instant now(1h);
    limiter.setLimit(now, 0);
    auto taken = offer(limiter, now, 10ms, 60s, {2})[0];
    EXPECT_GE(taken, 20) << "only its responses can tell that the limit has ended";
    EXPECT_LE(taken, 35);
}

TEST(RequestRateLimiter, CallersThatReturnWhenToldFindRoom)
{
    RequestRateLimiter limiter;
    Instant now(1h);
    limiter.setLimit(now, 20);
    std::vector<Instant> returns(15);
    for (auto& instant : returns)
        instant = now + limiter.scheduleReturn(now, 1);
    for (auto instant : returns)
        EXPECT_TRUE(limiter.tryTake(instant + 1ms, 1));
}

TEST(RequestRateLimiter, TellsHowManyRequestsRunAtOnceAtTheLimit)
{
    RequestRateLimiter limiter;
    EXPECT_FALSE(limiter.concurrency(100ms));
    limiter.setLimit(Instant(1h), 25);
    EXPECT_EQ(limiter.concurrency(100ms), 3U);
    EXPECT_EQ(limiter.concurrency(Duration::zero()), 1U);
}

TEST(RequestRateLimiter, RoomOfARequestThatWasNotSentIsUsedByAnother)
{
    RequestRateLimiter limiter;
    Instant now(1h);
    limiter.setLimit(now, 1);
    ASSERT_TRUE(limiter.tryTake(now, 0));
    EXPECT_FALSE(limiter.tryTake(now, 0));
    limiter.giveBack();
    EXPECT_TRUE(limiter.tryTake(now, 0));
}

} // namespace balsamreel::Admission
