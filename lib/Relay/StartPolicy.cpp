#include "balsamreel/Relay/StartPolicy.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

// A server counts as slowed from this percentage of its baseline on. A cold server, which takes twice its usual service
// time, stays below it.
constexpr std::uint32_t slowedPercent = 220;
constexpr std::uint32_t normalPercent = 100;
// Noisy neighbours come and go within tenths of a second. A slowdown that lasts longer, as on a failing VM, becomes the
// server's baseline, because waiting does not help.
constexpr Duration baselineWindow = std::chrono::milliseconds(700);
// In a longer gap between observations the slowdown may have differed, so the baseline window starts anew.
constexpr Duration maximumObservationGap = std::chrono::milliseconds(120);
constexpr Duration::rep smoothingDivisor = 8;
// A hold ends when this percentage of the typical service time is left until the target time, because service times
// vary.
constexpr Duration::rep reservePercent = 140;
constexpr Duration::rep percent = 100;

} // namespace

StartPolicy::StartPolicy(Duration observationInterval)
    : interval_(observationInterval)
{
}

void StartPolicy::reset()
{
    isObservable_ = true;
    recent_.clear();
    last_.reset();
    baselinePercent_ = normalPercent;
}

void StartPolicy::recordSlowdown(Instant now, std::uint32_t slowdownPercent)
{
    if (!last_ || now - last_->at > maximumObservationGap) {
        observedSince_ = now;
        recent_.clear();
    }
    while (!recent_.empty() && now - recent_.front().at > baselineWindow)
        recent_.pop_front();
    while (!recent_.empty() && recent_.back().slowdownPercent >= slowdownPercent)
        recent_.pop_back();
    last_ = Observation{now, slowdownPercent};
    recent_.push_back(*last_);
    if (now - observedSince_ >= baselineWindow)
        baselinePercent_ = recent_.front().slowdownPercent;
    baselinePercent_ = std::min(baselinePercent_, slowdownPercent);
}

void StartPolicy::finished(const std::string& route, Duration serviceTime)
{
    auto& typical = typicalServiceTimes_.try_emplace(route, serviceTime).first->second;
    typical += (serviceTime - typical) / smoothingDivisor;
}

SlowdownState StartPolicy::slowdownState(Instant now) const
{
    if (!isObservable_)
        return SlowdownState::Normal;
    if (!last_ || now - last_->at > interval_)
        return SlowdownState::Unknown;
    bool isSlowed = last_->slowdownPercent * normalPercent >= baselinePercent_ * slowedPercent;
    return isSlowed ? SlowdownState::Slowed : SlowdownState::Normal;
}

Instant StartPolicy::holdUntil(const Work& work) const
{
    auto found = typicalServiceTimes_.find(work.route);
    if (found == typicalServiceTimes_.end())
        return Instant();
    return work.targetTime - found->second * reservePercent / percent;
}

StartDecision StartPolicy::decide(Instant now, const Work& work) const
{
    switch (slowdownState(now)) {
    case SlowdownState::Unknown:
        return StartDecision::Observe;
    case SlowdownState::Normal:
        return StartDecision::Start;
    case SlowdownState::Slowed:
        break;
    }
    if (now < holdUntil(work))
        return StartDecision::Hold;
    return work.canGoElsewhere ? StartDecision::SendElsewhere : StartDecision::Start;
}

} // namespace balsamreel::Relay
