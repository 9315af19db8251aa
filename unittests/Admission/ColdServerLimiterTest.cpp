#include "balsamreel/Admission/ColdServerLimiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>

namespace balsamreel::Admission {

using namespace std::chrono_literals;
using Support::Duration;
using Support::Instant;

namespace {

const ColdServerOptions options{17, 1.5, 8, 3s};

/// Counts the requests of the last second.
struct SlidingSecond {
    std::size_t add(Instant now)
    {
        sent.push_back(now);
        while (now - sent.front() >= 1s)
            sent.pop_front();
        return sent.size();
    }

    std::deque<Instant> sent;
};

} // namespace

TEST(ColdServerLimiter, LimitsNothingWithoutOptionsOrWhileTheServerIsWarm)
{
    ColdServerLimiter limiter;
    Instant now(1h);
    limiter.report(now, 3s);
    EXPECT_FALSE(limiter.update(now));
    EXPECT_TRUE(limiter.trySend(now, 3, false));
    EXPECT_FALSE(limiter.needsReport());
    limiter.setOptions(now, options);
    limiter.report(now, 0s);
    EXPECT_FALSE(limiter.update(now));
    EXPECT_TRUE(limiter.trySend(now, 3, false));
}

TEST(ColdServerLimiter, IsColdWhileTheServerSaysSoOrHasJustStarted)
{
    ColdServerLimiter limiter;
    Instant now(1h);
    limiter.setOptions(now, options);
    limiter.report(now, 1s);
    EXPECT_TRUE(limiter.update(now));
    limiter.report(now, 0s);
    EXPECT_TRUE(limiter.update(now));
    EXPECT_FALSE(limiter.isCold());
    limiter.assumeCold(now, 1s);
    EXPECT_TRUE(limiter.update(now));
    EXPECT_FALSE(limiter.update(now + 1999ms)) << "cold for 3 s since its start a second ago";
    EXPECT_TRUE(limiter.update(now + 2s));
    EXPECT_FALSE(limiter.isCold());
    limiter.assumeCold(now + 3s, 1h);
    EXPECT_FALSE(limiter.update(now + 3s)) << "an old process is warm";
}

// The server becomes cold at any moment of a steady load; its health response tells a little later. Requests wait between
// admission and sending, so that many become ready together.
RC_GTEST_PROP(ColdServerLimiter, KeepsAnySecondWithinTheBound, ())
{
    auto interval = Duration(*rc::gen::inRange(300, 50'000));
    auto probeTime = Duration(*rc::gen::inRange(500, 5'000));
    auto holdTime = Duration(*rc::gen::inRange(0, 800'000));
    auto becomesCold = Instant(1h) + Duration(*rc::gen::inRange(0, 1'500'000));
    ColdServerLimiter limiter;
    limiter.setOptions(Instant(1h), options);
    SlidingSecond second;
    std::size_t most = 0;
    std::size_t sent = 0;
    std::size_t waiting = 0;
    std::optional<Instant> responseAt;
    Instant releasedAt(1h);
    auto send = [&](Instant now, bool hasReservation) {
        if (!limiter.trySend(now, 1, hasReservation) || now < becomesCold)
            return;
        most = std::max(most, second.add(now));
        ++sent;
    };
    for (Instant now(1h); now < becomesCold + 3s; now += interval) {
        if (responseAt && now >= *responseAt) {
            limiter.report(now, std::max(Duration::zero(), now >= becomesCold ? becomesCold + 3s - now : 0s));
            limiter.update(now);
            responseAt.reset();
        }
        if (!limiter.isCold())
            send(now, false);
        else if (limiter.tryReserve(now, 1))
            ++waiting;
        if (!responseAt && limiter.needsReport())
            responseAt = now + probeTime;
        if (now - releasedAt < holdTime)
            continue;
        releasedAt = now;
        for (; waiting > 0; --waiting)
            send(now, true);
    }
    // Up to this many are on their way before the health response is there.
    auto sentDuringProbe = static_cast<std::size_t>(probeTime / interval) + 2;
    RC_ASSERT(most <= 17 * 1.5 + 8 + static_cast<double>(sentDuringProbe));
    if (interval <= 20ms && holdTime <= 100ms)
        RC_ASSERT(sent >= 40U); // of the 51 that the server takes
}

TEST(ColdServerLimiter, LeavesTheLastRoomToUrgentRequests)
{
    ColdServerLimiter limiter;
    Instant now(1h);
    limiter.setOptions(now, options);
    limiter.report(now, 3s);
    limiter.update(now);
    now += 1s;
    limiter.report(now, 2s);
    auto reserveAll = [&](unsigned priority) {
        int count = 0;
        while (limiter.tryReserve(now, priority))
            ++count;
        return count;
    };
    EXPECT_GT(reserveAll(4), 0);
    EXPECT_GT(limiter.timeUntilRoom(now, 4), 0ms);
    EXPECT_GT(reserveAll(0), 0);
    EXPECT_FALSE(limiter.trySend(now, 0, false)) << "the room is reserved for others";
    EXPECT_TRUE(limiter.trySend(now, 4, true));
    limiter.cancelReservation();
    EXPECT_TRUE(limiter.tryReserve(now, 0));
}

} // namespace balsamreel::Admission
