#include "balsamreel/Relay/PaceHold.h"

namespace balsamreel::Relay {

namespace {

constexpr std::uint32_t slowedPercent = 150;
// Neighbours come and go within tenths of a second; what lasts longer is a slow server, and waiting does not help.
constexpr Duration longestSlowdown = std::chrono::milliseconds(600);
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
    observedAt_.reset();
    slowedSince_.reset();
}

void PaceHold::observed(Instant now, std::uint32_t pacePercent)
{
    observedAt_ = now;
    if (pacePercent < slowedPercent)
        slowedSince_.reset();
    else if (!slowedSince_)
        slowedSince_ = now;
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
    if (!observedAt_ || now - *observedAt_ > interval_)
        return Pace::Unknown;
    return slowedSince_ ? Pace::Slowed : Pace::Usual;
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
    bool isLasting = now - *slowedSince_ > longestSlowdown;
    if (!isLasting && now < holdUntil(work))
        return StartDecision::Hold;
    return work.canGoElsewhere ? StartDecision::SendElsewhere : StartDecision::Start;
}

} // namespace balsamreel::Relay
