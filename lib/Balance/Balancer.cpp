#include "balsamreel/Balance/Balancer.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Balance {

using Support::Duration;
using Support::Instant;

namespace {

constexpr double latencyWeight = 0.2;
constexpr double errorWeight = 0.2;
constexpr double ejectionErrorShare = 0.6;
constexpr Duration firstEjection = std::chrono::milliseconds(500);
constexpr unsigned maximumEjectionDoublings = 5;
// A stamp tells less with each of these.
constexpr double stampHalfLifeMicros = 50'000;
// A trip to another failure domain, in the same unit as the wait.
constexpr double otherDomainMicros = 1000;
constexpr double fallbackLatencyMicros = 1000;
constexpr double errorPenaltyMicros = 100'000;

bool isOffered(const ServerFacts& facts)
{
    return facts.state == Wire::ServerState::Ready || facts.state == Wire::ServerState::Cold;
}

bool isFailure(AttemptResult result)
{
    return result == AttemptResult::ServerError || result == AttemptResult::Unreachable || result == AttemptResult::Broken;
}

} // namespace

Balancer::Balancer(std::string domain, std::uint64_t seed)
    : domain_(std::move(domain))
    , random_(seed)
{
}

void Balancer::update(Instant now, const std::vector<ServerFacts>& facts)
{
    std::map<ServerId, ServerEntity> next;
    services_.clear();
    for (const auto& fact : facts) {
        auto known = servers_.find(fact.id);
        bool isSame = known != servers_.end() && known->second.facts.incarnation == fact.incarnation;
        auto& entity = next[fact.id];
        if (isSame)
            entity = std::move(known->second);
        else
            entity.firstSeen = now;
        entity.facts = fact;
        if (isOffered(fact))
            services_[fact.service].push_back(fact.id);
    }
    servers_ = std::move(next);
}

double Balancer::score(Instant now, const ServerEntity& server) const
{
    double limit = std::max<double>(1, server.stamp.limit > 0 ? server.stamp.limit : server.facts.slots);
    double stamped = 0;
    if (server.stampedAt) {
        double age = static_cast<double>((now - *server.stampedAt).count());
        stamped = (server.stamp.running + server.stamp.queued) * std::exp2(-age / stampHalfLifeMicros);
    }
    double latency = server.latencyMicros > 0 ? server.latencyMicros : fallbackLatencyMicros;
    double load = std::max<double>(stamped, server.inFlight) + 1;
    double distance = server.facts.domain == domain_ ? 0 : otherDomainMicros;
    return latency * load / limit + distance + server.errorShare * errorPenaltyMicros;
}

/// Visits the policy with the candidates of one choice.
struct Balancer::Chooser {
    Balancer& balancer;
    Instant now;
    const std::string& service;
    const std::vector<const ServerEntity*>& candidates;

    const ServerEntity* operator()(NaivePolicy& policy) const
    {
        auto& next = policy.nextIndex[service];
        return candidates[next++ % candidates.size()];
    }

    const ServerEntity* operator()(BalancedPolicy&) const
    {
        const auto* first = candidates[balancer.random_.below(candidates.size())];
        const auto* second = candidates[balancer.random_.below(candidates.size())];
        return balancer.score(now, *first) <= balancer.score(now, *second) ? first : second;
    }
};

std::optional<Choice> Balancer::choose(Instant now, const std::string& service, bool isNaive, const std::vector<ServerId>& excluded)
{
    auto ids = services_.find(service);
    if (ids == services_.end())
        return std::nullopt;
    std::vector<const ServerEntity*> candidates;
    std::vector<const ServerEntity*> ejected;
    for (const auto& id : ids->second) {
        if (std::ranges::find(excluded, id) != excluded.end())
            continue;
        const auto& server = servers_.at(id);
        bool isEjected = !isNaive && server.ejectedUntil && *server.ejectedUntil > now;
        (isEjected ? ejected : candidates).push_back(&server);
    }
    // With all ejected, any is better than none.
    if (candidates.empty())
        candidates = std::move(ejected);
    if (candidates.empty())
        return std::nullopt;
    const ServerEntity* chosen = nullptr;
    if (isNaive) {
        chosen = Chooser{*this, now, service, candidates}(naive_);
    } else {
        BalancedPolicy policy;
        chosen = Chooser{*this, now, service, candidates}(policy);
    }
    return Choice{chosen->facts.id, chosen->facts.guard, chosen->facts.incarnation};
}

void Balancer::started(Instant, const ServerId& id)
{
    if (auto found = servers_.find(id); found != servers_.end())
        ++found->second.inFlight;
}

void Balancer::finished(Instant now, const ServerId& id, const Feedback& feedback)
{
    auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    auto& server = found->second;
    if (server.inFlight > 0)
        --server.inFlight;
    if (feedback.stamp) {
        server.stamp = *feedback.stamp;
        server.stampedAt = now;
    }
    if (feedback.result == AttemptResult::Abandoned || feedback.result == AttemptResult::Refused)
        return;
    bool hasFailed = isFailure(feedback.result);
    server.errorShare += errorWeight * ((hasFailed ? 1.0 : 0.0) - server.errorShare);
    if (!hasFailed) {
        double latency = static_cast<double>(feedback.latency.count());
        server.latencyMicros += (server.latencyMicros > 0 ? latencyWeight : 1.0) * (latency - server.latencyMicros);
        server.ejections = 0;
        return;
    }
    bool isUnreachable = feedback.result == AttemptResult::Unreachable;
    if (!isUnreachable && server.errorShare < ejectionErrorShare)
        return;
    server.ejectedUntil = now + firstEjection * (1U << std::min(server.ejections, maximumEjectionDoublings));
    ++server.ejections;
}

} // namespace balsamreel::Balance
