#include "balsamreel/Admission/SaturationDetector.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace balsamreel::Admission {

using Support::Duration;
using Support::Instant;

namespace {

// Servers that slow down do so above this share of their slots.
constexpr double safeShare = 0.8;
// Samples of one route on each side before they are compared, and the latest that are kept.
constexpr std::size_t minimumSamples = 24;
constexpr std::size_t keptSamples = 64;
constexpr std::size_t maximumRoutes = 64;
// Slots beyond the safe share add a quarter; work that takes longer by more than that eats them up.
constexpr double worthwhileSlowdown = 1.25;
constexpr Duration firstRest = std::chrono::seconds(20);
constexpr unsigned maximumRestDoublings = 4;

std::uint32_t safeSlots(std::uint32_t announced)
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::floor(announced * safeShare)));
}

// Work that waits for calls of its own takes longer under load on any server. The quicker part of a route's work
// mostly has none.
Duration lowerQuartile(std::deque<Duration> samples)
{
    auto quartile = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 4);
    std::nth_element(samples.begin(), quartile, samples.end());
    return *quartile;
}

} // namespace

SaturationDetector::SaturationDetector(std::uint32_t announcedSlots)
    : announcedSlots_(std::max<std::uint32_t>(1, announcedSlots))
{
}

std::uint32_t SaturationDetector::usableSlots() const
{
    return stage_ == Stage::Full ? announcedSlots_ : safeSlots(announcedSlots_);
}

void SaturationDetector::restore(Instant now, SlotVerdict verdict)
{
    verdict_ = verdict;
    if (verdict == SlotVerdict::WorthUsing)
        stage_ = Stage::Full;
    else if (verdict == SlotVerdict::NotWorthUsing)
        enter(Stage::Calm, now);
}

void SaturationDetector::finished(Instant now, const std::string& route, Duration service, std::uint32_t runningAtStart)
{
    if (!routes_.contains(route) && routes_.size() >= maximumRoutes)
        return;
    auto& known = routes_[route];
    auto& samples = runningAtStart > safeSlots(announcedSlots_) ? known.nearlyFull : known.calm;
    samples.push_back(service);
    if (samples.size() > keptSamples)
        samples.pop_front();
    if (stage_ == Stage::Full)
        judge(now);
    else if (now >= restUntil_ && hasBaseline())
        enter(Stage::Full, now);
}

bool SaturationDetector::hasBaseline() const
{
    return std::ranges::any_of(routes_, [](const auto& route) { return route.second.calm.size() >= minimumSamples; });
}

void SaturationDetector::enter(Stage stage, Instant now)
{
    stage_ = stage;
    if (stage == Stage::Full) {
        for (auto& [route, samples] : routes_)
            samples.nearlyFull.clear();
        return;
    }
    restUntil_ = now + firstRest * (1U << std::min(failures_, maximumRestDoublings));
    ++failures_;
}

// A server that slows down does so for all routes; a route that alone takes longer waits for something else.
void SaturationDetector::judge(Instant now)
{
    std::optional<double> least;
    for (const auto& [route, samples] : routes_) {
        if (samples.calm.size() < minimumSamples || samples.nearlyFull.size() < minimumSamples)
            continue;
        auto calm = std::max<double>(1, static_cast<double>(lowerQuartile(samples.calm).count()));
        auto slowdown = static_cast<double>(lowerQuartile(samples.nearlyFull).count()) / calm;
        least = std::min(least.value_or(slowdown), slowdown);
    }
    if (!least)
        return;
    verdict_ = *least <= worthwhileSlowdown ? SlotVerdict::WorthUsing : SlotVerdict::NotWorthUsing;
    if (verdict_ == SlotVerdict::WorthUsing)
        failures_ = 0;
    else
        enter(Stage::Calm, now);
}

} // namespace balsamreel::Admission
