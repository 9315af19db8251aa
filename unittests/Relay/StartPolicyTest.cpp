#include "balsamreel/Relay/StartPolicy.h"

#include "balsamreel/Support/Random.h"

#include <gtest/gtest.h>

#include <vector>

namespace balsamreel::Relay {

using namespace std::chrono_literals;

namespace {

constexpr Duration interval = 17ms;
constexpr Instant start{100s};

StartPolicy trainedPolicy()
{
    StartPolicy policy(interval);
    policy.finished("lookup", 50ms);
    policy.recordSlowdown(start - 1ms, 100);
    return policy;
}

// A VM that noisy neighbours slow down by a factor of five, in periods of 150 ms and for about a third of the time.
class NoisyVm {
public:
    explicit NoisyVm(std::uint64_t seed)
    {
        Support::Random random(seed);
        for (int period = 0; period < 4500; ++period)
            isSlowed_.push_back(random.fraction() < 0.35);
    }

    bool isSlowed(Instant now) const { return isSlowed_[static_cast<std::size_t>((now - start) / 150ms)]; }
    Duration serviceTime(Instant startedAt) const { return isSlowed(startedAt) ? 250ms : 50ms; }

private:
    std::vector<bool> isSlowed_;
};

// Returns the time from the submission of work to its response, if the policy decides when it starts.
Duration responseTime(const NoisyVm& vm, StartPolicy& policy, Instant submittedAt, Duration latencyTarget)
{
    StartPolicy::Work work{"lookup", submittedAt + latencyTarget, false};
    for (auto now = submittedAt;; now += interval) {
        auto decision = policy.decide(now, work);
        if (decision == StartDecision::Observe) {
            policy.recordSlowdown(now, vm.isSlowed(now) ? 500 : 100);
            decision = policy.decide(now, work);
        }
        if (decision == StartDecision::Start)
            return now + vm.serviceTime(now) - submittedAt;
    }
}

} // namespace

TEST(StartPolicy, ObservesBeforeWorkStarts)
{
    auto policy = trainedPolicy();
    EXPECT_EQ(policy.decide(start + 20ms, {"lookup", start + 200ms, false}), StartDecision::Observe);
    policy.recordSlowdown(start, 100);
    EXPECT_EQ(policy.decide(start + 10ms, {"lookup", start + 200ms, false}), StartDecision::Start);
    EXPECT_EQ(policy.decide(start + 20ms, {"lookup", start + 200ms, false}), StartDecision::Observe) << "the observation is too old";
}

TEST(StartPolicy, HoldsOnlyWhileTheTargetTimeAllows)
{
    auto policy = trainedPolicy();
    policy.recordSlowdown(start, 500);
    EXPECT_EQ(policy.decide(start, {"lookup", start + 200ms, true}), StartDecision::Hold);
    EXPECT_EQ(policy.decide(start, {"lookup", start + 60ms, true}), StartDecision::SendElsewhere);
    EXPECT_EQ(policy.decide(start, {"lookup", start + 60ms, false}), StartDecision::Start);
}

TEST(StartPolicy, TreatsALastingSlowdownAsTheBaseline)
{
    auto policy = trainedPolicy();
    auto now = start;
    for (; now < start + 1s; now += interval)
        policy.recordSlowdown(now, 500);
    EXPECT_EQ(policy.decide(now - interval, {"lookup", now + 2s, true}), StartDecision::Start);
    policy.recordSlowdown(now, 2000);
    EXPECT_EQ(policy.decide(now, {"lookup", now + 2s, true}), StartDecision::Hold) << "slowed down further than its raised baseline";
}

TEST(StartPolicy, StartsAtOnceWithoutSlowdownReports)
{
    auto policy = trainedPolicy();
    policy.setUnobservable();
    EXPECT_EQ(policy.decide(start, {"lookup", start + 200ms, true}), StartDecision::Start);
}

// Work of 50 ms with a latency target of 240 ms. If it starts at once, a third of the responses are late. With the
// policy, only work that meets two slowed periods in a row, one in eight, has too little time left to wait.
TEST(StartPolicy, MeetsTheLatencyTargetOnANoisyVm)
{
    constexpr int calls = 2000;
    constexpr Duration latencyTarget = 240ms;
    NoisyVm vm(7);
    auto policy = trainedPolicy();
    int inTimeWithPolicy = 0;
    int inTimeStartedAtOnce = 0;
    for (int call = 0; call < calls; ++call) {
        auto submittedAt = start + call * 310ms;
        inTimeWithPolicy += responseTime(vm, policy, submittedAt, latencyTarget) <= latencyTarget ? 1 : 0;
        inTimeStartedAtOnce += vm.serviceTime(submittedAt) <= latencyTarget ? 1 : 0;
    }
    EXPECT_LT(inTimeStartedAtOnce, calls * 7 / 10);
    EXPECT_GT(inTimeWithPolicy, calls * 85 / 100);
}

} // namespace balsamreel::Relay
