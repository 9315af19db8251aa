#include "balsamreel/Balance/ServerSlowdown.h"

#include <algorithm>

namespace balsamreel::Balance {

using Support::Duration;
using Support::Instant;

namespace {

// On a healthy server, calls rarely stay open for this multiple of their usual latency.
constexpr double lateRatio = 3.5;
constexpr Duration responseFreshness = std::chrono::milliseconds(200);
constexpr std::size_t maximumRoutes = 256;

} // namespace

void ServerSlowdown::started(Instant now, const std::string& route)
{
    open_.push_back({now, route});
}

void ServerSlowdown::finished(Instant now, Instant startedAt, const std::string& route, AttemptResult result)
{
    auto isSame = [&](const OpenCall& call) { return call.startedAt == startedAt && call.route == route; };
    if (auto found = std::ranges::find_if(open_, isSame); found != open_.end())
        open_.erase(found);
    auto known = routes_.find(route);
    bool isLate = known != routes_.end() && known->second.ratioOf(now - startedAt) >= lateRatio;
    // An early disconnect of the caller carries no information on the server.
    if (result == AttemptResult::Abandoned && !isLate)
        return;
    lastResponseAt_ = now;
    if (result != AttemptResult::Answered && result != AttemptResult::Abandoned) {
        health_.onFailure(now, false);
        return;
    }
    // Route names come from other nodes, so their number must be bounded.
    if (known == routes_.end() && routes_.size() >= maximumRoutes)
        return;
    auto& typical = routes_[route];
    double ratio = typical.ratioOf(now - startedAt);
    typical.observe(now - startedAt);
    health_.onAnswer(now, ratio);
}

bool ServerSlowdown::hasLateCall(Instant now) const
{
    return std::ranges::any_of(open_, [&](const OpenCall& call) {
        auto typical = routes_.find(call.route);
        return typical != routes_.end() && typical->second.ratioOf(now - call.startedAt) >= lateRatio;
    });
}

// The guard sees the calls of all entries; on its own, each entry would lose a call or two to detect that the server is
// slow. While the server is suspected, one trial call at a time is let through; each good response then doubles the
// number of concurrent calls.
bool ServerSlowdown::isDiverting(Instant now) const
{
    if (!health_.isSuspected())
        return hasLateCall(now);
    if (health_.isDueForTrial(now))
        return !open_.empty();
    return health_.allowance() == 1 || open_.size() >= health_.allowance();
}

std::optional<double> ServerSlowdown::slowdown(Instant now) const
{
    if (!lastResponseAt_ || now - *lastResponseAt_ > responseFreshness)
        return std::nullopt;
    return health_.slowdown(now);
}

} // namespace balsamreel::Balance
