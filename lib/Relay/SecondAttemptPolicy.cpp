#include "balsamreel/Relay/SecondAttemptPolicy.h"

#include <algorithm>
#include <unordered_set>

namespace balsamreel::Relay {

namespace {

constexpr std::size_t latencyWindow = 100; // responses
constexpr std::size_t minimumResponses = 40;
constexpr std::size_t quantileInterval = 10; // responses between two computations
constexpr double typicalQuantile = 0.5;
constexpr double slowQuantile = 0.95;
// A route whose responses all take about the same time has none that a second attempt would beat.
constexpr int slowPerTypical = 2;
// Below this, the way to another failure domain costs more than can be gained.
constexpr Duration shortestDelay = std::chrono::milliseconds(10);
// Second attempts in excess of the share, since slow responses come in groups.
constexpr double maximumAllowance = 5;
// Free slots that are reported right after a refusal are taken by the refused calls' retries.
constexpr Duration refusalLifetime = std::chrono::seconds(2);

bool isLackOfRoom(Reason reason)
{
    switch (reason) {
    case Reason::Overloaded:
    case Reason::DeadlineTooNear:
    case Reason::RateLimited:
    case Reason::ServerShed:
    case Reason::ServerCold:
    case Reason::MemoryExhausted:
        return true;
    default:
        return false;
    }
}

} // namespace

SecondAttemptPolicy::SecondAttemptPolicy(double share)
    : share_(share)
{
}

void SecondAttemptPolicy::recordRequest()
{
    allowance_ = std::min(maximumAllowance, allowance_ + share_);
}

void SecondAttemptPolicy::recordLatency(const std::string& route, Duration latency)
{
    auto& latencies = routes_[route];
    if (latencies.recent.size() < latencyWindow)
        latencies.recent.push_back(latency);
    else
        latencies.recent[latencies.next] = latency;
    latencies.next = (latencies.next + 1) % latencyWindow;
    if (++latencies.unsorted >= quantileInterval)
        computeQuantiles(latencies);
}

void SecondAttemptPolicy::computeQuantiles(RouteLatencies& latencies)
{
    auto sorted = latencies.recent;
    std::ranges::sort(sorted);
    auto quantile = [&](double share) { return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))]; };
    latencies.typical = quantile(typicalQuantile);
    latencies.slow = quantile(slowQuantile);
    latencies.unsorted = 0;
}

// The response would have taken longer than the attempt was open. That is a known slow response if it was open for long, and
// tells nothing otherwise. Without these, the quantiles would fall with every second attempt that wins.
void SecondAttemptPolicy::recordCancellation(const std::string& route, Duration elapsed)
{
    auto slow = delay(route);
    if (slow && elapsed >= *slow)
        recordLatency(route, elapsed);
}

void SecondAttemptPolicy::recordRefusal(Instant now, const std::string& service, Reason reason)
{
    if (isLackOfRoom(reason))
        lackedRoomAt_[service] = now;
}

void SecondAttemptPolicy::retainRoutes(const std::vector<Route>& routes)
{
    std::unordered_set<std::string> names;
    for (const auto& route : routes)
        names.insert(route.name);
    std::erase_if(routes_, [&](const auto& entry) { return !names.contains(entry.first); });
}

const SecondAttemptPolicy::RouteLatencies* SecondAttemptPolicy::learned(const std::string& route) const
{
    auto found = routes_.find(route);
    bool isLearned = found != routes_.end() && found->second.recent.size() >= minimumResponses;
    return isLearned ? &found->second : nullptr;
}

std::optional<Duration> SecondAttemptPolicy::delay(const std::string& route) const
{
    const auto* latencies = learned(route);
    if (!latencies)
        return std::nullopt;
    return std::max({latencies->slow, slowPerTypical * latencies->typical, shortestDelay});
}

// A single slow server with a queue is what second attempts are for. If most servers lack free slots, a second attempt
// would only take the place of a first one.
bool SecondAttemptPolicy::hasRoom(Instant now, const SlowCall& call) const
{
    auto refused = lackedRoomAt_.find(call.service);
    if (refused != lackedRoomAt_.end() && now - refused->second < refusalLifetime)
        return false;
    return call.room.withFreeSlots * 2 > call.room.servers;
}

SecondAttemptVerdict SecondAttemptPolicy::decide(Instant now, const SlowCall& call) const
{
    const auto* latencies = learned(call.route);
    if (!latencies || call.deadline - now < latencies->typical)
        return SecondAttemptVerdict::DeadlineTooNear;
    if (!hasRoom(now, call))
        return SecondAttemptVerdict::NoRoom;
    if (allowance_ < 1)
        return SecondAttemptVerdict::ShareUsed;
    return SecondAttemptVerdict::Send;
}

} // namespace balsamreel::Relay
