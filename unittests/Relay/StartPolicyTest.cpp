#include "balsamreel/Relay/StartPolicy.h"

#include "balsamreel/Support/Random.h"

#include <gtest/gtest.h>

#include <vector>

namespace balsamreel::Relay {

using namespace std::chrono_literals;

namespace {

constexpr Duration interval = 17ms;
constexpr Instant start{100s};

StartPolicy learned()
{
    StartPolicy hold(interval);
    hold.finished("lookup", 50ms);
    hold.recordSlowdown(start - 1ms, 100);
    return hold;
}

// A VM whose neighbours slow it five times for a third of the time, 150 ms at a time.
class NoisyVm {
public:
    explicit NoisyVm(std::uint64_t seed)
    {
        Support::Random random(seed);
        for (int period = 0; period < 4500; ++period)
            isSlowed_.push_back(random.fraction() < 0.35);
    }

    bool isSlowed(Instant now) const { return isSlowed_[static_cast<std::size_t>((now - start) / 150ms)]; }
    Duration service(Instant startedAt) const { return isSlowed(startedAt) ? 250ms : 50ms; }

private:
    std::vector<bool> isSlowed_;
};

// Time from the offer to the answer of one piece of work, as the policy starts it.
Duration answeredAfter(const NoisyVm& vm, StartPolicy& hold, Instant offeredAt, Duration latencyTarget)
{
    StartPolicy::Work work{"lookup", offeredAt + latencyTarget, false};
    for (auto now = offeredAt;; now += interval) {
        auto decision = hold.decide(now, work);
        if (decision == StartDecision::Observe) {
            hold.recordSlowdown(now, vm.isSlowed(now) ? 500 : 100);
            decision = hold.decide(now, work);
        }
        if (decision == StartDecision::Start)
            return now + vm.service(now) - offeredAt;
    }
}

} // namespace

TEST(StartPolicy, ObservesBeforeWorkStarts)
{
    auto hold = learned();
    EXPECT_EQ(hold.decide(start + 20ms, {"lookup", start + 200ms, false}), StartDecision::Observe);
    hold.recordSlowdown(start, 100);
    EXPECT_EQ(hold.decide(start + 10ms, {"lookup", start + 200ms, false}), StartDecision::Start);
    EXPECT_EQ(hold.decide(start + 20ms, {"lookup", start + 200ms, false}), StartDecision::Observe) << "the observation is too old";
}

TEST(StartPolicy, HoldsOnlyWhileTheTargetTimeAllows)
{
    auto hold = learned();
    hold.recordSlowdown(start, 500);
    EXPECT_EQ(hold.decide(start, {"lookup", start + 200ms, true}), StartDecision::Hold);
    EXPECT_EQ(hold.decide(start, {"lookup", start + 60ms, true}), StartDecision::SendElsewhere);
    EXPECT_EQ(hold.decide(start, {"lookup", start + 60ms, false}), StartDecision::Start);
}

TEST(StartPolicy, TreatsALastingSlowdownAsTheBaseline)
{
    auto hold = learned();
    auto now = start;
    for (; now < start + 1s; now += interval)
        hold.recordSlowdown(now, 500);
    EXPECT_EQ(hold.decide(now - interval, {"lookup", now + 2s, true}), StartDecision::Start);
    hold.recordSlowdown(now, 2000);
    EXPECT_EQ(hold.decide(now, {"lookup", now + 2s, true}), StartDecision::Hold) << "neighbours of a slow server";
}

TEST(StartPolicy, StartsAtOnceWithoutSlowdownReports)
{
    auto hold = learned();
    hold.setUnobservable();
    EXPECT_EQ(hold.decide(start, {"lookup", start + 200ms, true}), StartDecision::Start);
}

// The load that the policy answers: work of 50 ms with a goal of 240 ms, where starting at once leaves a third of
// the answers late. Only what meets two slowed spans in a row, one in eight, has no time left to wait for.
TEST(StartPolicy, MeetsTheLatencyTargetOnANoisyVm)
{
    constexpr int calls = 2000;
    constexpr Duration latencyTarget = 240ms;
    NoisyVm vm(7);
    auto hold = learned();
    int held = 0;
    int immediate = 0;
    for (int call = 0; call < calls; ++call) {
        auto offeredAt = start + call * 310ms;
        held += answeredAfter(vm, hold, offeredAt, latencyTarget) <= latencyTarget ? 1 : 0;
        immediate += vm.service(offeredAt) <= latencyTarget ? 1 : 0;
    }
    EXPECT_LT(immediate, calls * 7 / 10);
    EXPECT_GT(held, calls * 85 / 100);
}

} // namespace balsamreel::Relay
