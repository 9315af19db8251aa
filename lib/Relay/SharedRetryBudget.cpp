#include "balsamreel/Relay/SharedRetryBudget.h"

namespace balsamreel::Relay {

namespace {

// Part of the allowance that is spent here. The rest covers calls made by repeated runs, which count
// as repeats at the services they go to and cannot be told apart there, and restarted nodes, which
// have forgotten what they spent.
constexpr double usedPart = 0.4;

} // namespace

SharedRetryBudget::SharedRetryBudget(SharedRetryBudgetOptions options)
    : options_(options)
{
}

void SharedRetryBudget::setOptions(const SharedRetryBudgetOptions& options)
{
    options_ = options;
}

void SharedRetryBudget::forget(Instant now, Counts& counts) const
{
    auto start = now - options_.window;
    while (!counts.requests.empty() && counts.requests.front() < start)
        counts.requests.pop_front();
    while (!counts.repeats.empty() && counts.repeats.front() < start)
        counts.repeats.pop_front();
}

void SharedRetryBudget::request(Instant now, const std::string& service)
{
    auto& counts = counts_[service];
    forget(now, counts);
    counts.requests.push_back(now);
}

bool SharedRetryBudget::tryConsume(Instant now, const std::string& service)
{
    auto& counts = counts_[service];
    forget(now, counts);
    double share = nodes_ > 0 ? options_.slack / static_cast<double>(nodes_) : 0;
    double allowed = usedPart * (options_.ratio * static_cast<double>(counts.requests.size()) + share);
    if (static_cast<double>(counts.repeats.size()) + 1 > allowed)
        return false;
    counts.repeats.push_back(now);
    return true;
}

} // namespace balsamreel::Relay
