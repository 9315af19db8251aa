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
constexpr std::uint32_t safe = 14;

// A server that always has work waiting: as many calls run as the policy lets run.
struct SaturatedServer {
    double kneeFactor = 1; ///< work that starts above the safe share takes this many times as long
    Duration callsOwnWait{}; ///< what calls of the work add while the crest lasts
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
        if (occupied > safe)
            millis *= kneeFactor;
        auto service = Duration(static_cast<Duration::rep>(millis * 1000));
        if (route == "calls" && calls(random))
            service += callsOwnWait;
        return service;
    }

    // Calls that end within the time, with the slots that the function gives.
    template <typename Slots, typename Finished>
    unsigned play(Duration time, Slots usable, Finished finished)
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
    return server.play(
        time, [&] { return fixedSlots; }, [](Instant, const auto&) {});
}

unsigned servedLearning(SaturatedServer server, Duration time, SaturationDetector& finder)
{
    return server.play(
        time, [&] { return finder.usableSlots(); }, [&](Instant now, const auto& work) { finder.finished(now, work.route, work.service, work.runningAtStart); });
}

// What an oracle that knows the server would serve; the target at a crest is this part of it.
constexpr double targetPart = 0.95;

} // namespace

TEST(SaturationDetector, UsesAllSlotsOfAServerThatDoesNotSlowDown)
{
    SaturatedServer server;
    SaturationDetector finder(slots);
    auto learned = servedLearning(server, 10s, finder);
    EXPECT_EQ(finder.usableSlots(), slots);
    EXPECT_GE(learned, targetPart * served(server, 10s, slots));
    EXPECT_GT(learned, 1.15 * served(server, 10s, safe)) << "the slots beyond the safe share are worth a quarter";
}

TEST(SaturationDetector, LeavesSlotsFreeOnAServerThatSlowsDown)
{
    SaturatedServer server;
    server.kneeFactor = 1.7;
    SaturationDetector finder(slots);
    auto learned = servedLearning(server, 10s, finder);
    EXPECT_EQ(finder.usableSlots(), safe);
    EXPECT_GE(learned, targetPart * served(server, 10s, safe));
}

TEST(SaturationDetector, IgnoresTimeSpentInNestedCalls)
{
    SaturatedServer server;
    SaturationDetector finder(slots);
    servedLearning(server, 2s, finder);
    server.callsOwnWait = 200ms;
    servedLearning(server, 5s, finder);
    EXPECT_EQ(finder.usableSlots(), slots);
}

TEST(SaturationDetector, NoticesAServerThatBeginsToSlowDownAndTriesAgainLater)
{
    SaturatedServer server;
    SaturationDetector finder(slots);
    servedLearning(server, 3s, finder);
    EXPECT_EQ(finder.usableSlots(), slots);
    server.kneeFactor = 1.7;
    servedLearning(server, 5s, finder);
    EXPECT_EQ(finder.usableSlots(), safe);
    server.kneeFactor = 1;
    servedLearning(server, 60s, finder);
    EXPECT_EQ(finder.usableSlots(), slots);
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
    server.kneeFactor = 1.7;
    servedLearning(server, 10s, first);
    ASSERT_EQ(first.verdict(), SlotVerdict::NotWorthUsing);
    SaturationDetector third(slots);
    third.restore(Instant(1s), first.verdict());
    servedLearning(server, 10s, third);
    EXPECT_EQ(third.usableSlots(), safe) << "a crest after a restart is no time for a trial";
}

TEST(SaturationDetector, UsesOneSlotAtLeast)
{
    EXPECT_EQ(SaturationDetector(1).usableSlots(), 1U);
    EXPECT_EQ(SaturationDetector(0).usableSlots(), 1U);
}

} // namespace balsamreel::Admission
