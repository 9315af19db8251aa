#include "balsamreel/Relay/SharedRetryBudget.h"

namespace balsamreel::Relay {

namespace {

// Fraction of the budget that is used. The rest covers calls made by retried executions, which are retries for the services
// they go to but can't be recognized as such there, and restarted nodes, which have lost their counts.
constexpr double usedFraction = 0.4;
// Fraction of the used budget that retries which are not urgent may take.
constexpr double spareFraction = 0.5 * usedFraction;

} // namespace

SharedRetryBudget::SharedRetryBudget(SharedRetryBudgetOptions options)
    : options_(options)
{
}

void SharedRetryBudget::setOptions(const SharedRetryBudgetOptions& options)
{
    options_ = options;
}

void SharedRetryBudget::removeExpired(Instant now, History& history) const
{
    auto start = now - options_.window;
    while (!history.requests.empty() && history.requests.front() < start)
        history.requests.pop_front();
    while (!history.retries.empty() && history.retries.front() < start)
        history.retries.pop_front();
}

void SharedRetryBudget::recordRequest(Instant now, const std::string& service)
{
    auto& history = histories_[service];
    removeExpired(now, history);
    history.requests.push_back(now);
}

bool SharedRetryBudget::tryConsume(Instant now, const std::string& service)
{
    return tryConsumeWithin(now, service, usedFraction);
}

bool SharedRetryBudget::tryConsumeSpare(Instant now, const std::string& service)
{
    return tryConsumeWithin(now, service, spareFraction);
}

bool SharedRetryBudget::tryConsumeWithin(Instant now, const std::string& service, double fraction)
{
    auto& history = histories_[service];
    removeExpired(now, history);
    double slackPart = nodeCount_ > 0 ? options_.slack / static_cast<double>(nodeCount_) : 0;
    double allowed = fraction * (options_.ratio * static_cast<double>(history.requests.size()) + slackPart);
    if (static_cast<double>(history.retries.size()) + 1 > allowed)
        return false;
    history.retries.push_back(now);
    return true;
}

} // namespace balsamreel::Relay
