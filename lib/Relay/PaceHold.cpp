#include "balsamreel/Relay/PaceHold.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

// A server is slowed down while its pace is this many percent of its own; a cold one, at twice the usual, is not.
constexpr std::uint32_t slowedPercent = 220;
constexpr std::uint32_t usualPercent = 100;
// Neighbours come and go within tenths of a second. What lasts longer, as on a failing VM, is the server's own
// pace, and waiting does not help.
constexpr Duration memory = std::chrono::milliseconds(700);
// A longer time without an observation may have held another pace.
constexpr Duration longestGap = std::chrono::milliseconds(120);
constexpr Duration::rep smoothing = 8;
// Work varies around its typical time; this much of it is left when the wait ends, in percent.
constexpr Duration::rep reservePercent = 140;
constexpr Duration::rep percent = 100;

} // namespace

PaceHold::PaceHold(Duration observationInterval)
    : interval_(observationInterval)
{
}

void PaceHold::reset()
{
    isObservable_ = true;
    recent_.clear();
    last_.reset();
    ownPercent_ = usualPercent;
}

void PaceHold::observed(Instant now, std::uint32_t slowdownPercent)
{
    if (!last_ || now - last_->at > longestGap) {
        coveredSince_ = now;
        recent_.clear();
    }
    while (!recent_.empty() && now - recent_.front().at > memory)
        recent_.pop_front();
    while (!recent_.empty() && recent_.back().slowdownPercent >= slowdownPercent)
        recent_.pop_back();
    last_ = Observation{now, slowdownPercent};
    recent_.push_back(*last_);
    if (now - coveredSince_ >= memory)
        ownPercent_ = recent_.front().slowdownPercent;
    ownPercent_ = std::min(ownPercent_, slowdownPercent);
}

void PaceHold::finished(const std::string& route, Duration service)
{
    auto& typical = typical_.try_emplace(route, service).first->second;
    typical += (service - typical) / smoothing;
}

Pace PaceHold::pace(Instant now) const
{
    if (!isObservable_)
        return Pace::Usual;
    if (!last_ || now - last_->at > interval_)
        return Pace::Unknown;
    bool isSlowed = last_->slowdownPercent * usualPercent >= ownPercent_ * slowedPercent;
    return isSlowed ? Pace::Slowed : Pace::Usual;
}

Instant PaceHold::holdUntil(const Work& work) const
{
    auto found = typical_.find(work.route);
    if (found == typical_.end())
        return Instant();
    return work.goal - found->second * reservePercent / percent;
}

StartDecision PaceHold::decide(Instant now, const Work& work) const
{
    switch (pace(now)) {
    case Pace::Unknown:
        return StartDecision::Observe;
    case Pace::Usual:
        return StartDecision::Start;
    case Pace::Slowed:
        break;
    }
    if (now < holdUntil(work))
        return StartDecision::Hold;
    return work.canGoElsewhere ? StartDecision::SendElsewhere : StartDecision::Start;
}

} // namespace balsamreel::Relay
