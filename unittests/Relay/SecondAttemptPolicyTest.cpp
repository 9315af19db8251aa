#include "balsamreel/Relay/SecondAttemptPolicy.h"

#include "balsamreel/Support/Random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace balsamreel::Relay {

namespace {

using namespace std::chrono_literals;

constexpr Instant start{100s};
constexpr ServiceRoom roomEverywhere{4, 4};
const std::string route = "view";
const std::string service = "plots";

SecondAttemptPolicy learnedPolicy(double share)
{
    SecondAttemptPolicy policy(share);
    for (int index = 0; index < 100; ++index) {
        policy.recordRequest();
        policy.recordLatency(route, 20ms);
    }
    return policy;
}

SlowCall slowCall(Duration timeLeft, ServiceRoom room = roomEverywhere)
{
    return {route, service, start + timeLeft, room};
}

// Callers of a service that responds to one request in twenty after 500 ms, on a virtual clock.
class SlowServiceRun {
public:
    explicit SlowServiceRun(double share)
        : policy_(share)
    {
        for (int index = 0; index < requestCount; ++index)
            events_.emplace(start + index * 10ms, [this](Instant now) { request(now); });
        while (!events_.empty()) {
            auto event = events_.extract(events_.begin());
            event.mapped()(event.key());
        }
        std::ranges::sort(latencies);
    }

    Duration quantile(double share) const { return latencies[static_cast<std::size_t>(share * (requestCount - 1))]; }

    static constexpr int requestCount = 3000;
    std::vector<Duration> latencies; ///< that callers saw
    std::vector<double> steps; ///< in the order of time: 0 for a request, 1 for a second attempt

private:
    void request(Instant now)
    {
        policy_.recordRequest();
        steps.push_back(0);
        auto first = drawLatency();
        auto delay = policy_.delay(route);
        if (!delay || first <= *delay)
            return respond(first);
        events_.emplace(now + *delay, [this, first, delay](Instant later) { onSlow(later, first, *delay); });
    }

    void onSlow(Instant now, Duration first, Duration waited)
    {
        if (policy_.decide(now, {route, service, now + 3s, roomEverywhere}) != SecondAttemptVerdict::Send)
            return respond(first);
        policy_.recordSecondAttempt();
        steps.push_back(1);
        auto second = drawLatency();
        if (waited + second >= first)
            return respond(first);
        policy_.recordCancellation(route, waited + second);
        policy_.recordLatency(route, second);
        latencies.push_back(waited + second);
    }

    void respond(Duration latency)
    {
        policy_.recordLatency(route, latency);
        latencies.push_back(latency);
    }

    Duration drawLatency()
    {
        bool isSlow = random_.fraction() < 0.05;
        return isSlow ? Duration(500ms) : Duration(10ms) + Duration(static_cast<Duration::rep>(20'000 * random_.fraction()));
    }

    SecondAttemptPolicy policy_;
    Support::Random random_{1};
    std::multimap<Instant, std::function<void(Instant)>> events_;
};

} // namespace

TEST(SecondAttemptPolicy, CutsTheSlowestResponses)
{
    SlowServiceRun without(0);
    SlowServiceRun with(0.1);
    EXPECT_EQ(without.quantile(0.99), Duration(500ms));
    EXPECT_LT(with.quantile(0.99), Duration(100ms));
    EXPECT_EQ(with.quantile(0.5) / 1ms, without.quantile(0.5) / 1ms);
}

// Compares every window of the run with the share, request by request.
TEST(SecondAttemptPolicy, StaysWithinTheShareInEveryWindow)
{
    constexpr double share = 0.02;
    constexpr double burst = 5;
    SlowServiceRun run(share);
    EXPECT_GT(std::ranges::count(run.steps, 1), 10);
    for (std::size_t first = 0; first < run.steps.size(); ++first) {
        double requests = 0;
        double seconds = 0;
        for (std::size_t last = first; last < run.steps.size(); ++last) {
            requests += 1 - run.steps[last];
            seconds += run.steps[last];
            ASSERT_LE(seconds, share * requests + burst + 1e-6) << first << " to " << last;
        }
    }
}

TEST(SecondAttemptPolicy, SendsNoneBeforeEnoughResponsesAreKnown)
{
    SecondAttemptPolicy policy(1);
    for (int index = 0; index < 39; ++index) {
        policy.recordLatency(route, 20ms);
        EXPECT_FALSE(policy.delay(route));
    }
    policy.recordLatency(route, 20ms);
    EXPECT_TRUE(policy.delay(route));
}

TEST(SecondAttemptPolicy, SendsNoneThatWouldBeLate)
{
    auto policy = learnedPolicy(0.1);
    EXPECT_EQ(policy.decide(start, slowCall(21ms)), SecondAttemptVerdict::Send);
    EXPECT_EQ(policy.decide(start, slowCall(19ms)), SecondAttemptVerdict::DeadlineTooNear);
}

TEST(SecondAttemptPolicy, SendsNoneWhileMostServersAreFull)
{
    auto policy = learnedPolicy(0.1);
    EXPECT_EQ(policy.decide(start, slowCall(1s, {4, 3})), SecondAttemptVerdict::Send);
    EXPECT_EQ(policy.decide(start, slowCall(1s, {4, 2})), SecondAttemptVerdict::NoRoom);
    EXPECT_EQ(policy.decide(start, slowCall(1s, {0, 0})), SecondAttemptVerdict::NoRoom);
}

// However many servers seem free, a refusal for lack of room stops second attempts of that service for a while.
RC_GTEST_PROP(SecondAttemptPolicy, SendsNoneAfterARefusalForLackOfRoom, ())
{
    auto policy = learnedPolicy(0.1);
    auto reason = *rc::gen::element(Reason::Overloaded, Reason::DeadlineTooNear, Reason::RateLimited, Reason::ServerShed, Reason::ServerCold, Reason::MemoryExhausted);
    auto elapsed = std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
    policy.recordRefusal(start, service, reason);
    policy.recordRefusal(start + elapsed, "other", reason);
    auto verdict = policy.decide(start + elapsed, slowCall(1min));
    RC_ASSERT(verdict == (elapsed < 2s ? SecondAttemptVerdict::NoRoom : SecondAttemptVerdict::Send));
}

TEST(SecondAttemptPolicy, StopsWhenTheShareIsUsed)
{
    auto policy = learnedPolicy(0.025); // of 100 requests
    for (int index = 0; index < 2; ++index) {
        EXPECT_EQ(policy.decide(start, slowCall(1s)), SecondAttemptVerdict::Send);
        policy.recordSecondAttempt();
    }
    EXPECT_EQ(policy.decide(start, slowCall(1s)), SecondAttemptVerdict::ShareUsed);
}

// Attempts that lose to second attempts stay in the quantile, or the delay would fall until every call is slow.
TEST(SecondAttemptPolicy, LearnsFromCancelledAttempts)
{
    auto policy = learnedPolicy(0.1);
    EXPECT_EQ(policy.delay(route), Duration(40ms));
    for (int index = 0; index < 20; ++index)
        policy.recordCancellation(route, 60ms);
    EXPECT_EQ(policy.delay(route), Duration(60ms));
    for (int index = 0; index < 100; ++index)
        policy.recordCancellation(route, 1ms);
    EXPECT_EQ(policy.delay(route), Duration(60ms)) << "a caller that leaves early tells nothing";
}

TEST(SecondAttemptPolicy, ForgetsRoutesThatAreNoLongerConfigured)
{
    auto policy = learnedPolicy(0.1);
    Route kept;
    kept.name = route;
    policy.retainRoutes({kept});
    EXPECT_TRUE(policy.delay(route));
    policy.retainRoutes({});
    EXPECT_FALSE(policy.delay(route));
}

} // namespace balsamreel::Relay
