// Compares the admission controller with an unlimited first-in-first-out baseline on a virtual clock.
#include "Admission/VirtualServer.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace balsamreel::Admission {
namespace {

using namespace std::chrono_literals;
using Support::Duration;
using Support::Instant;

constexpr unsigned realSlots = 8;

Duration shortQuantile(const std::vector<Arrival>& arrivals, std::map<std::uint64_t, Finished>& finished, double quantile)
{
    std::vector<Duration> latencies;
    for (const auto& arrival : arrivals) {
        const auto& end = finished[arrival.ticket.id];
        if (arrival.ticket.route == "short" && end.hasRun)
            latencies.push_back(end.endedAt - arrival.at);
    }
    std::ranges::sort(latencies);
    return latencies.at(static_cast<std::size_t>(quantile * static_cast<double>(latencies.size() - 1)));
}

std::size_t goodWithin(const std::vector<Arrival>& arrivals, std::map<std::uint64_t, Finished>& finished, Instant from, Instant to)
{
    std::size_t good = 0;
    for (const auto& arrival : arrivals) {
        const auto& end = finished[arrival.ticket.id];
        good += end.hasRun && end.endedAt >= from && end.endedAt < to && end.endedAt <= arrival.ticket.deadline ? 1 : 0;
    }
    return good;
}

TEST(AdmissionControllerDifferential, LongCallsOfAnUnhintedRouteDelayShortCallsLess)
{
    // 3% of the calls run 50 times longer and make up 60% of the work.
    auto arrivals = drawArrivals({.callsPerSecond = 190, .seconds = 60, .longShare = 0.03});
    VirtualServer product({.slots = realSlots}, realSlots);
    VirtualServer naive({.slots = realSlots, .isUnlimited = true}, realSlots);
    auto ours = product.run(arrivals);
    auto theirs = naive.run(arrivals);
    auto ratio = static_cast<double>(shortQuantile(arrivals, ours, 0.99).count()) / static_cast<double>(shortQuantile(arrivals, theirs, 0.99).count());
    RecordProperty("short_p99_ratio", std::to_string(ratio));
    EXPECT_LE(ratio, 0.3);
}

TEST(AdmissionControllerDifferential, GoodputStaysAtCapacityPastSaturation)
{
    // The capacity is 800 calls per second (8 slots, 10 ms per call); 2000 per second arrive.
    auto arrivals = drawArrivals({.callsPerSecond = 2000, .seconds = 10, .deadline = 300ms});
    VirtualServer product({.slots = realSlots}, realSlots);
    VirtualServer naive({.slots = realSlots, .isUnlimited = true}, realSlots);
    auto ours = product.run(arrivals);
    auto theirs = naive.run(arrivals);
    auto from = Instant(1s);
    auto to = Instant(10s);
    double capacity = 800.0 * 9;
    auto ofCapacity = static_cast<double>(goodWithin(arrivals, ours, from, to)) / capacity;
    RecordProperty("goodput_of_capacity", std::to_string(ofCapacity));
    EXPECT_GE(ofCapacity, 0.95);
    EXPECT_LE(static_cast<double>(goodWithin(arrivals, theirs, from, to)) / capacity, 0.1);
}

TEST(AdmissionControllerDifferential, TheLimitFallsToWhatTheServerReallyServes)
{
    auto arrivals = drawArrivals({.callsPerSecond = 1000, .seconds = 60, .deadline = 1s});
    VirtualServer server({.slots = 2 * realSlots}, realSlots);
    server.run(arrivals);
    auto limit = server.controller().load(arrivals.back().at).limit;
    RecordProperty("limit", std::to_string(limit));
    EXPECT_LE(limit, realSlots + 4);
    EXPECT_GE(limit, realSlots - 1);
}

TEST(AdmissionControllerDifferential, TheLimitRisesAboveTheAnnouncedSlotsIfTheServerServesMore)
{
    auto arrivals = drawArrivals({.callsPerSecond = 2000, .seconds = 60, .deadline = 1s});
    VirtualServer server({.slots = realSlots / 2, .maximumLimitFactor = 2}, realSlots);
    server.run(arrivals);
    EXPECT_GE(server.controller().load(arrivals.back().at).limit, realSlots - 2);
}

TEST(AdmissionControllerDifferential, AServerThatIsSlowAtAnyConcurrencyKeepsItsLimit)
{
    auto arrivals = drawArrivals({.callsPerSecond = 1000, .seconds = 60, .deadline = 1s});
    Support::Random random(3);
    // Noisy neighbours slow all calls down by a factor of four during a quarter of the time.
    for (auto& arrival : arrivals) {
        if ((arrival.at.time_since_epoch() / 400ms) % 4 == 0)
            arrival.work *= 4;
    }
    VirtualServer server({.slots = realSlots}, realSlots);
    server.run(arrivals);
    EXPECT_GE(server.controller().load(arrivals.back().at).limit, realSlots - 2);
}

TEST(AdmissionControllerDifferential, ExpectedWaitIsRight)
{
    auto arrivals = drawArrivals({.callsPerSecond = 900, .seconds = 20, .deadline = 1s});
    VirtualServer server({.slots = realSlots}, realSlots);
    auto finished = server.run(arrivals);
    double predicted = 0;
    double waited = 0;
    for (const auto& arrival : arrivals) {
        const auto& end = finished[arrival.ticket.id];
        if (!end.hasRun || arrival.at < Instant(1s))
            continue;
        predicted += static_cast<double>(end.predictedWait.count());
        waited += static_cast<double>((end.startedAt - arrival.at).count());
    }
    RecordProperty("predicted_to_waited", std::to_string(predicted / waited));
    EXPECT_GE(predicted / waited, 0.7);
    EXPECT_LE(predicted / waited, 1.4);
}

} // namespace
} // namespace balsamreel::Admission
