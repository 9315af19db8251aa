#include "balsamreel/Admission/SaturationDetector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace balsamreel::Admission {

using namespace std::chrono_literals;
using Support::Duration;
using Support::Instant;

namespace {

constexpr std::uint32_t slots = 18;
constexpr std::uint32_t safeSlots = 14;

// A server with calls always queued: as many run as the policy allows.
struct SaturatedServer {
    double slowdownAboveSafeSlots = 1; ///< service time factor of calls that start above the safe share
    Duration nestedCallWait{}; ///< time that nested calls add to the service time at peak load
    std::mt19937 random{1};

    struct Running {
        Duration service{};
        std::uint32_t runningAtStart = 0;
        std::string route;
    };
    std::multimap<Instant, Running> running;

    Duration draw(std::uint32_t occupied, const std::string& route)
    {
        std::lognormal_distribution<double> spread(0, 0.3);
        std::bernoulli_distribution isLong(0.03);
        std::bernoulli_distribution calls(0.7);
        double millis = 80 * spread(random) * (isLong(random) ? 7 : 1);
        if (occupied > safeSlots)
            millis *= slowdownAboveSafeSlots;
        auto service = Duration(static_cast<Duration::rep>(millis * 1000));
        if (route == "calls" && calls(random))
            service += nestedCallWait;
        return service;
    }

    // Returns the number of calls that end within the given time; usable() returns the slots to use.
    template <typename Slots, typename Finished>
    unsigned run(Duration time, Slots usable, Finished finished)
    {
        unsigned served = 0;
        auto now = Instant(1s);
        auto end = now + time;
        while (now < end) {
            while (running.size() < usable()) {
                auto occupied = static_cast<std::uint32_t>(running.size()) + 1;
                std::string route = random() % 2 == 0 ? "calls" : "leaf";
                auto service = draw(occupied, route);
                running.emplace(now + service, Running{service, occupied, route});
            }
            auto first = running.extract(running.begin());
            now = first.key();
            ++served;
            finished(now, first.mapped());
        }
        return served;
    }
};

unsigned served(SaturatedServer server, Duration time, std::uint32_t fixedSlots)
{
    return server.run(
        time, [&] { return fixedSlots; }, [](Instant, const auto&) {});
}

unsigned servedLearning(SaturatedServer server, Duration time, SaturationDetector& detector)
{
    return server.run(
        time, [&] { return detector.usableSlots(); }, [&](Instant now, const auto& work) { detector.finished(now, work.route, work.service, work.runningAtStart); });
}

// Required throughput at peak load, as a share of that of an oracle that knows the server.
constexpr double requiredShareOfOptimum = 0.95;

} // namespace

TEST(SaturationDetector, UsesAllSlotsOfAServerThatDoesNotSlowDown)
{
    SaturatedServer server;
    SaturationDetector detector(slots);
    auto learned = servedLearning(server, 10s, detector);
    EXPECT_EQ(detector.usableSlots(), slots);
    EXPECT_GE(learned, requiredShareOfOptimum * served(server, 10s, slots));
    EXPECT_GT(learned, 1.15 * served(server, 10s, safeSlots)) << "the slots beyond the safe share add a quarter";
}

TEST(SaturationDetector, LeavesSlotsFreeOnAServerThatSlowsDown)
{
    SaturatedServer server;
    server.slowdownAboveSafeSlots = 1.7;
    SaturationDetector detector(slots);
    auto learned = servedLearning(server, 10s, detector);
    EXPECT_EQ(detector.usableSlots(), safeSlots);
    EXPECT_GE(learned, requiredShareOfOptimum * served(server, 10s, safeSlots));
}

TEST(SaturationDetector, IgnoresTimeSpentInNestedCalls)
{
    SaturatedServer server;
    SaturationDetector detector(slots);
    servedLearning(server, 2s, detector);
    server.nestedCallWait = 200ms;
    servedLearning(server, 5s, detector);
    EXPECT_EQ(detector.usableSlots(), slots);
}

TEST(SaturationDetector, NoticesAServerThatBeginsToSlowDownAndTriesAgainLater)
{
    SaturatedServer server;
    SaturationDetector detector(slots);
    servedLearning(server, 3s, detector);
    EXPECT_EQ(detector.usableSlots(), slots);
    server.slowdownAboveSafeSlots = 1.7;
    servedLearning(server, 5s, detector);
    EXPECT_EQ(detector.usableSlots(), safeSlots);
    server.slowdownAboveSafeSlots = 1;
    servedLearning(server, 60s, detector);
    EXPECT_EQ(detector.usableSlots(), slots);
}

TEST(SaturationDetector, RestoresTheVerdictOfAnEarlierProcess)
{
    SaturatedServer server;
    SaturationDetector first(slots);
    EXPECT_EQ(first.verdict(), SlotVerdict::Unknown);
    servedLearning(server, 10s, first);
    ASSERT_EQ(first.verdict(), SlotVerdict::WorthUsing);
    SaturationDetector second(slots);
    second.restore(Instant(1s), first.verdict());
    EXPECT_EQ(second.usableSlots(), slots);
    server.slowdownAboveSafeSlots = 1.7;
    servedLearning(server, 10s, first);
    ASSERT_EQ(first.verdict(), SlotVerdict::NotWorthUsing);
    SaturationDetector third(slots);
    third.restore(Instant(1s), first.verdict());
    servedLearning(server, 10s, third);
    EXPECT_EQ(third.usableSlots(), safeSlots) << "must not start a trial at peak load after a restart";
}

TEST(SaturationDetector, UsesOneSlotAtLeast)
{
    EXPECT_EQ(SaturationDetector(1).usableSlots(), 1U);
    EXPECT_EQ(SaturationDetector(0).usableSlots(), 1U);
}

} // namespace balsamreel::Admission
