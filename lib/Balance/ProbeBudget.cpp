#include "balsamreel/Balance/ProbeBudget.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Balance {

using Support::Duration;
using Support::Instant;

namespace {

constexpr double microsPerSecond = 1e6;

// Rounds up, so that the spacing alone never allows more than the rate.
Duration spacingOf(double perSecond)
{
    return Duration(static_cast<Duration::rep>(std::ceil(microsPerSecond / perSecond)));
}

std::size_t probesPerWindow(double perSecond)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(perSecond)));
}

} // namespace

ProbeBudget::ProbeBudget(Instant now, double perSecond)
    : createdAt_(now)
    , rates_{{now, perSecond}}
{
}

void ProbeBudget::setRate(Instant now, double perSecond)
{
    if (rates_.back().perSecond != perSecond)
        rates_.push_back({now, perSecond});
}

void ProbeBudget::removeExpired(Instant now)
{
    while (!sentAt_.empty() && sentAt_.front() <= now - window)
        sentAt_.pop_front();
    // A rate no longer counts once its successor has been in force for a whole window.
    while (rates_.size() > 1 && rates_[1].since <= now - window)
        rates_.pop_front();
}

// After the budget is raised, probes sent under the lower budget are still in the window, so the lowest rate applies.
double ProbeBudget::lowestRate() const
{
    return std::ranges::min_element(rates_, {}, &Rate::perSecond)->perSecond;
}

bool ProbeBudget::tryTake(Instant now)
{
    removeExpired(now);
    double rate = lowestRate();
    if (rate <= 0)
        return false;
    auto spacing = spacingOf(rate);
    // The previous process may have exhausted its window just before it ended.
    if (now - createdAt_ < std::max(window, spacing))
        return false;
    if (lastSentAt_ && now - *lastSentAt_ < spacing)
        return false;
    if (sentAt_.size() >= probesPerWindow(rate))
        return false;
    sentAt_.push_back(now);
    lastSentAt_ = now;
    return true;
}

void ProbeBudget::sent(Instant now)
{
    if (!sentAt_.empty())
        sentAt_.back() = now;
    lastSentAt_ = now;
}

} // namespace balsamreel::Balance
