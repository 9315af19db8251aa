#include "balsamreel/Balance/Balancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace balsamreel::Balance {

using Support::Duration;
using Support::Instant;

namespace {

// Half-life of the weight of a load stamp: the calls that it counted have ended by then.
constexpr double stampHalfLifeMicros = 50'000;
constexpr double otherRegionCostMicros = 20'000;
constexpr double defaultTypicalMicros = 1000;
constexpr double failurePenaltyMicros = 100'000;
constexpr Duration warmUpDuration = std::chrono::seconds(10);
constexpr double initialWarmUpShare = 0.1;
// Servers that appear within this time after the entry has started are not treated as cold.
constexpr Duration startupPeriod = std::chrono::seconds(5);
// Noisy neighbours slow down a VM for 100 to 200 ms at a time.
constexpr Duration slowdownReportLifetime = std::chrono::milliseconds(300);
constexpr double slowdownPenaltyMicros = 80'000;
constexpr Duration minimumRefusalWait = std::chrono::milliseconds(5);
constexpr Duration maximumRefusalWait = std::chrono::seconds(1);
constexpr double slowAbandonedRatio = 3;

bool isRoutable(const ServerFacts& facts)
{
    return facts.state == Wire::ServerState::Ready || facts.state == Wire::ServerState::Cold;
}

bool isFailure(AttemptResult result)
{
    return result == AttemptResult::ServerError || result == AttemptResult::Unreachable || result == AttemptResult::Broken;
}

double limitOf(const ServerEntity& server)
{
    return std::max<double>(1, server.stamp.limit > 0 ? server.stamp.limit : server.facts.slots);
}

double stampWeight(Instant now, const ServerEntity& server)
{
    if (!server.stampedAt)
        return 0;
    double age = static_cast<double>(std::max(Duration::zero(), now - *server.stampedAt).count());
    return std::exp2(-age / stampHalfLifeMicros);
}

void recordStamp(Instant now, const Wire::LoadStamp& stamp, ServerEntity& server)
{
    server.stamp = stamp;
    server.stampedAt = now;
    server.inFlightAtStamp = server.inFlight;
}

// Share of its calls that a server receives while it warms up.
double warmUpShare(Instant now, const ServerEntity& server)
{
    if (!server.warmingSince)
        return 1;
    double elapsed = static_cast<double>((now - *server.warmingSince).count()) / static_cast<double>(warmUpDuration.count());
    return std::clamp(elapsed, initialWarmUpShare, 1.0);
}

// Returns false if the attempt belongs to an earlier incarnation of the guard, whose results do not apply to this one.
bool removeOpenAttempt(Instant now, const Feedback& feedback, ServerEntity& server)
{
    if (server.open.empty())
        return false;
    auto startedAt = feedback.startedAt.value_or(now - feedback.latency);
    auto distance = [&](const OpenAttempt& attempt) { return std::abs((attempt.startedAt - startedAt).count()); };
    auto nearest = std::ranges::min_element(server.open, {}, distance);
    if (feedback.startedAt && nearest->startedAt != startedAt)
        return false;
    server.open.erase(nearest);
    --server.inFlight;
    return true;
}

const TypicalLatency* typicalOf(const ServiceEntity& service, const std::string& route)
{
    auto found = service.routes.find(route);
    return found == service.routes.end() ? nullptr : &found->second;
}

} // namespace

/// Parameters of one choice.
struct Balancer::Query {
    Instant now;
    ServiceEntity& service;
    std::vector<ServerId> excluded;
    bool includesUnfit = false; ///< also considers ejected, refusing and suspected servers
};

Balancer::Balancer(std::string domain, std::uint64_t seed, Duration otherDomainCost)
    : domain_(std::move(domain))
    , otherDomainCost_(otherDomainCost)
    , random_(seed)
{
}

void Balancer::update(Instant now, const std::vector<ServerFacts>& facts)
{
    std::map<ServerId, ServerEntity> next;
    for (const auto& fact : facts) {
        if (fact.domain == domain_)
            region_ = fact.region;
        auto known = servers_.find(fact.id);
        bool isSame = known != servers_.end() && known->second.facts.incarnation == fact.incarnation;
        auto& entity = next[fact.id];
        if (isSame)
            entity = std::move(known->second);
        entity.facts = fact;
    }
    std::map<std::string, ServiceEntity> services;
    services.swap(services_);
    for (auto& [id, entity] : next) {
        auto& service = services_[entity.facts.service];
        if (auto old = services.find(entity.facts.service); old != services.end() && service.all.empty()) {
            service.typical = old->second.typical;
            service.routes = old->second.routes;
            service.usedAt = old->second.usedAt;
        }
        auto before = servers_.find(id);
        bool isNew = before == servers_.end() || before->second.facts.incarnation != entity.facts.incarnation;
        addToService(now, entity, isNew);
    }
    servers_ = std::move(next);
    if (!firstServersAt_ && !servers_.empty())
        firstServersAt_ = now;
}

void Balancer::addToService(Instant now, ServerEntity& entity, bool isNew)
{
    bool isPastStartup = firstServersAt_ && now - *firstServersAt_ >= startupPeriod;
    if (entity.facts.state == Wire::ServerState::Cold || (isNew && isPastStartup))
        entity.warmingSince = entity.warmingSince.value_or(now);
    if (!isRoutable(entity.facts))
        return;
    auto& service = services_[entity.facts.service];
    service.all.push_back(&entity);
    (entity.facts.domain == domain_ ? service.near : service.far).push_back(&entity);
}

double Balancer::distanceCostMicros(const ServerFacts& facts) const
{
    if (facts.domain == domain_)
        return 0;
    bool isOtherRegion = !region_.empty() && facts.region != region_;
    return isOtherRegion ? otherRegionCostMicros : static_cast<double>(otherDomainCost_.count());
}

// An attempt that has been open for longer than usual indicates a slow server before its response arrives.
double Balancer::slowdown(Instant now, const ServiceEntity& service, const ServerEntity& server) const
{
    double slowdown = server.health.isDueForTrial(now) ? 1 : server.health.slowdown(now);
    for (const auto& attempt : server.open) {
        const auto* typical = typicalOf(service, attempt.route);
        if (!typical)
            continue;
        double ratio = typical->ratioOf(now - attempt.startedAt);
        if (ratio > slowdown)
            slowdown = std::max(slowdown, server.health.slowdownAfter(now, ratio));
    }
    return slowdown;
}

double Balancer::score(Instant now, const ServerEntity& server) const
{
    auto found = services_.find(server.facts.service);
    static const ServiceEntity none;
    const auto& service = found == services_.end() ? none : found->second;
    double typical = service.typical.isKnown() ? service.typical.micros() : defaultTypicalMicros;
    double work = typical * slowdown(now, service, server);

    double limit = limitOf(server);
    double weight = stampWeight(now, server);
    double others = std::max(0.0, static_cast<double>(server.stamp.running) + server.stamp.queued - server.inFlightAtStamp) * weight;
    double load = others + server.inFlight;
    double utilization = std::min(1.0, load / limit);
    double queued = std::max(0.0, load + 1 - limit) / limit * work;
    double wait = std::max(queued, server.stamp.waitMicros * weight);
    if (server.slowedAt && now - *server.slowedAt < slowdownReportLifetime)
        wait += slowdownPenaltyMicros;
    return work * (1 + utilization * utilization) + wait + distanceCostMicros(server.facts) + server.health.failureShare(now) * failurePenaltyMicros;
}

bool Balancer::isFit(const Query& query, const ServerEntity& server) const
{
    if (std::ranges::find(query.excluded, server.facts.id) != query.excluded.end())
        return false;
    if (query.includesUnfit)
        return true;
    bool isEjected = server.ejectedUntil && *server.ejectedUntil > query.now;
    bool isRefusing = server.refusedUntil && *server.refusedUntil > query.now;
    return !isEjected && !isRefusing && server.inFlight < server.health.allowance();
}

// Compares two distinct random servers, so that entries with the same stale stamps do not all select the same server.
ServerEntity* Balancer::pick(const Query& query, const std::vector<ServerEntity*>& pool)
{
    constexpr unsigned wanted = 2;
    ServerEntity* best = nullptr;
    double bestScore = 0;
    unsigned seen = 0;
    std::size_t offset = pool.empty() ? 0 : random_.below(pool.size());
    // A step that is coprime to the pool size visits every server once.
    std::size_t step = pool.size() > 1 ? 1 + random_.below(pool.size() - 1) : 1;
    while (std::gcd(step, std::max<std::size_t>(1, pool.size())) != 1)
        --step;
    for (std::size_t index = 0; index < pool.size() && seen < wanted; ++index) {
        auto* server = pool[(offset + index * step) % pool.size()];
        if (!isFit(query, *server))
            continue;
        ++seen;
        double serverScore = score(query.now, *server);
        if (best && serverScore >= bestScore)
            continue;
        best = server;
        bestScore = serverScore;
    }
    return best;
}

ServerEntity* Balancer::pickNearOrFar(const Query& query)
{
    auto* near = pick(query, query.service.near);
    auto* far = pick(query, query.service.far);
    // Staying on one far server makes it visible at once when that server slows down.
    auto* last = query.service.lastFar;
    if (last && far && isFit(query, *last) && score(query.now, *last) <= score(query.now, *far))
        far = last;
    if (!near || !far)
        return near ? near : far;
    return score(query.now, *near) <= score(query.now, *far) ? near : far;
}

ServerEntity* Balancer::chooseBalanced(Query& query)
{
    auto* chosen = pickNearOrFar(query);
    if (!chosen) {
        // If no server is eligible, use an ineligible one rather than none.
        query.includesUnfit = true;
        return pickNearOrFar(query);
    }
    if (random_.fraction() < warmUpShare(query.now, *chosen))
        return chosen;
    query.excluded.push_back(chosen->facts.id);
    auto* warm = pickNearOrFar(query);
    return warm ? warm : chosen;
}

bool Balancer::hasAlternative(const Query& query, const ServerEntity& chosen) const
{
    return std::ranges::any_of(query.service.all, [&](const ServerEntity* server) { return server != &chosen && !server->health.isSuspected() && isFit(query, *server); });
}

/// Visitor that selects a server according to the policy.
struct Balancer::Chooser {
    Balancer& balancer;
    Query& query;
    const std::string& name;

    ServerEntity* operator()(NaivePolicy& policy) const
    {
        std::vector<ServerEntity*> candidates;
        for (auto* server : query.service.all) {
            if (std::ranges::find(query.excluded, server->facts.id) == query.excluded.end())
                candidates.push_back(server);
        }
        return candidates.empty() ? nullptr : candidates[policy.nextIndex[name]++ % candidates.size()];
    }

    ServerEntity* operator()(BalancedPolicy&) const { return balancer.chooseBalanced(query); }
};

std::optional<Choice> Balancer::choose(Instant now, const std::string& service, bool isNaive, const std::vector<ServerId>& excluded)
{
    auto found = services_.find(service);
    if (found == services_.end())
        return std::nullopt;
    found->second.usedAt = now;
    Query query{now, found->second, excluded};
    Chooser chooser{*this, query, service};
    BalancedPolicy balanced;
    auto* chosen = isNaive ? chooser(naive_) : chooser(balanced);
    if (!chosen)
        return std::nullopt;
    if (chosen->facts.domain != domain_)
        found->second.lastFar = chosen;
    return Choice{chosen->facts.id, chosen->facts.guard, chosen->facts.incarnation, now, !isNaive && hasAlternative(query, *chosen)};
}

void Balancer::started(Instant now, const ServerId& id, const std::string& route)
{
    auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    ++found->second.inFlight;
    found->second.open.push_back({now, route});
}

void Balancer::learn(Instant now, ServiceEntity& service, ServerEntity& server, const Feedback& feedback)
{
    if (isFailure(feedback.result)) {
        if (auto length = server.health.onFailure(now, feedback.result == AttemptResult::Unreachable))
            server.ejectedUntil = now + *length;
        return;
    }
    auto& typical = service.routes[feedback.route];
    double ratio = typical.ratioOf(feedback.latency);
    if (feedback.result == AttemptResult::Abandoned) {
        // An early disconnect carries no information on the server; one long after the usual latency counts as a slow
        // response.
        if (ratio >= slowAbandonedRatio)
            server.health.onAnswer(now, ratio);
        return;
    }
    typical.observe(feedback.latency);
    service.typical.observe(feedback.latency);
    server.health.onAnswer(now, ratio);
}

void Balancer::finished(Instant now, const ServerId& id, const Feedback& feedback)
{
    auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    auto& server = found->second;
    if (!removeOpenAttempt(now, feedback, server))
        return;
    if (feedback.stamp)
        recordStamp(now, *feedback.stamp, server);
    if (feedback.result != AttemptResult::Abandoned)
        server.lastResponseAt = now;
    if (feedback.result == AttemptResult::Refused) {
        auto wait = feedback.stamp ? Duration(feedback.stamp->waitMicros) : Duration::zero();
        server.refusedUntil = now + std::clamp(wait, minimumRefusalWait, maximumRefusalWait);
        return;
    }
    learn(now, services_[server.facts.service], server, feedback);
}

void Balancer::slowdownChanged(Instant now, const ServerId& id, bool isSlowed)
{
    auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    found->second.slowedAt = isSlowed ? std::optional(now) : std::nullopt;
}

void Balancer::probed(Instant now, const ServerId& id, const Wire::LoadStamp& stamp, std::optional<double> slowdown)
{
    auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    recordStamp(now, stamp, found->second);
    found->second.lastResponseAt = now;
    if (slowdown)
        found->second.health.onReport(now, *slowdown);
}

} // namespace balsamreel::Balance
