#include "balsamreel/Node/Prober.h"

#include "balsamreel/Support/Log.h"

#include <fmt/format.h>

namespace balsamreel::Node {

using Support::Duration;
using Support::Endpoint;
using Support::Instant;

namespace {

// A report that arrives later describes an outdated load.
constexpr Duration reportTimeout = std::chrono::milliseconds(500);
constexpr double permille = 1000;

} // namespace

Prober::Prober(Context& context, Guard& guard)
    : context_(context)
    , guard_(guard)
    , planner_(context.settings.domain)
{
}

std::map<std::string, double> Prober::budgets() const
{
    std::map<std::string, double> budgets;
    auto active = context_.config.get();
    if (!active || context_.settings.isNaive)
        return budgets;
    for (const auto& [name, service] : active->configuration.services) {
        if (service.policy != Config::PolicyKind::Naive)
            budgets[name] = service.probesPerSecond;
    }
    return budgets;
}

Wire::Message Prober::makeMessage(Wire::Payload payload) const
{
    auto active = context_.config.get();
    Wire::Envelope envelope{context_.settings.node, context_.timeline.clock().tick(Support::wallMicros()), active ? active->head.generation : 0};
    return {envelope, std::move(payload), {}};
}

std::vector<Membership::Outgoing> Prober::tick(Instant now)
{
    std::erase_if(pending_, [&](const auto& entry) { return now - entry.second.sentAt >= reportTimeout; });
    auto rates = budgets();
    {
        std::lock_guard lock(context_.balancerMutex);
        plannedProbes_ = planner_.plan(now, context_.balancer, rates);
    }
    std::vector<Membership::Outgoing> outgoing;
    for (const auto& target : plannedProbes_) {
        auto sequence = nextSequence_++;
        pending_[sequence] = {target.server, now};
        outgoing.push_back({target.guard, makeMessage(Wire::LoadProbe{sequence, target.server.address})});
    }
    return outgoing;
}

void Prober::sent(Instant now)
{
    for (const auto& target : plannedProbes_) {
        planner_.sent(now, target);
        context_.metrics.add(fmt::format("balsam_probes_sent_total{{service=\"{}\"}}", target.service));
        Support::log(Support::LogLevel::Debug, "probe", "service={} at_us={} budget_per_s={}", target.service, now.time_since_epoch().count(), target.budgetPerSecond);
    }
    plannedProbes_.clear();
}

bool Prober::isForProber(const Wire::Message& message)
{
    return std::holds_alternative<Wire::LoadProbe>(message.payload) || std::holds_alternative<Wire::LoadReport>(message.payload);
}

std::vector<Membership::Outgoing> Prober::receive(Instant now, const Endpoint& from, const Wire::Message& message)
{
    if (const auto* report = std::get_if<Wire::LoadReport>(&message.payload))
        onReport(now, *report);
    const auto* probe = std::get_if<Wire::LoadProbe>(&message.payload);
    auto loadReport = probe ? guard_.report(*probe) : std::nullopt;
    if (!loadReport)
        return {};
    return {{from, makeMessage(*loadReport)}};
}

void Prober::onReport(Instant now, const Wire::LoadReport& report)
{
    auto found = pending_.find(report.sequence);
    if (found == pending_.end())
        return;
    context_.metrics.add("balsam_probes_answered_total");
    auto slowdown = report.slowdownPermille > 0 ? std::optional(report.slowdownPermille / permille) : std::nullopt;
    {
        std::lock_guard lock(context_.balancerMutex);
        context_.balancer.probed(now, found->second.server, report.stamp, slowdown);
    }
    pending_.erase(found);
}

} // namespace balsamreel::Node
