#include "balsamreel/Admission/SaturationDetector.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace balsamreel::Admission {

using Support::Duration;
using Support::Instant;

namespace {

// Servers that slow down under load do so above this share of their slots.
constexpr double safeSlotShare = 0.8;
// Samples of a route that each side needs before they are compared, and the number of latest samples that are kept.
constexpr std::size_t minimumSamples = 24;
constexpr std::size_t maximumSamples = 64;
constexpr std::size_t maximumRoutes = 64;
// The slots beyond the safe share add a quarter to it; a slowdown of more than that cancels the gain.
constexpr double maximumWorthwhileSlowdown = 1.25;
constexpr Duration initialTrialBackoff = std::chrono::seconds(20);
constexpr unsigned maximumBackoffDoublings = 4;

std::uint32_t safeSlots(std::uint32_t announced)
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::floor(announced * safeSlotShare)));
}

// Calls that wait for nested calls take longer under load on any server. The faster calls of a route mostly have no
// nested calls.
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
    return stage_ == Stage::AllSlots ? announcedSlots_ : safeSlots(announcedSlots_);
}

void SaturationDetector::restore(Instant now, SlotVerdict verdict)
{
    verdict_ = verdict;
    if (verdict == SlotVerdict::WorthUsing)
        stage_ = Stage::AllSlots;
    else if (verdict == SlotVerdict::NotWorthUsing)
        enterStage(Stage::SafeSlots, now);
}

void SaturationDetector::finished(Instant now, const std::string& route, Duration service, std::uint32_t runningAtStart)
{
    if (!routes_.contains(route) && routes_.size() >= maximumRoutes)
        return;
    auto& known = routes_[route];
    auto& samples = runningAtStart > safeSlots(announcedSlots_) ? known.aboveSafeShare : known.belowSafeShare;
    samples.push_back(service);
    if (samples.size() > maximumSamples)
        samples.pop_front();
    if (stage_ == Stage::AllSlots)
        updateVerdict(now);
    else if (now >= nextTrialAt_ && hasBaseline())
        enterStage(Stage::AllSlots, now);
}

bool SaturationDetector::hasBaseline() const
{
    return std::ranges::any_of(routes_, [](const auto& route) { return route.second.belowSafeShare.size() >= minimumSamples; });
}

void SaturationDetector::enterStage(Stage stage, Instant now)
{
    stage_ = stage;
    if (stage == Stage::AllSlots) {
        for (auto& [route, samples] : routes_)
            samples.aboveSafeShare.clear();
        return;
    }
    nextTrialAt_ = now + initialTrialBackoff * (1U << std::min(failures_, maximumBackoffDoublings));
    ++failures_;
}

// A saturated server is slower for all routes, so the lowest slowdown of any route decides. A single slower route waits
// for something else.
void SaturationDetector::updateVerdict(Instant now)
{
    std::optional<double> lowestSlowdown;
    for (const auto& [route, samples] : routes_) {
        if (samples.belowSafeShare.size() < minimumSamples || samples.aboveSafeShare.size() < minimumSamples)
            continue;
        auto belowSafeShare = std::max<double>(1, static_cast<double>(lowerQuartile(samples.belowSafeShare).count()));
        auto slowdown = static_cast<double>(lowerQuartile(samples.aboveSafeShare).count()) / belowSafeShare;
        lowestSlowdown = std::min(lowestSlowdown.value_or(slowdown), slowdown);
    }
    if (!lowestSlowdown)
        return;
    verdict_ = *lowestSlowdown <= maximumWorthwhileSlowdown ? SlotVerdict::WorthUsing : SlotVerdict::NotWorthUsing;
    if (verdict_ == SlotVerdict::WorthUsing)
        failures_ = 0;
    else
        enterStage(Stage::SafeSlots, now);
}

} // namespace balsamreel::Admission
