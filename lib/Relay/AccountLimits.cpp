#include "balsamreel/Relay/AccountLimits.h"

#include <utility>

namespace balsamreel::Relay {

namespace {

constexpr auto pendingCheckInterval = std::chrono::milliseconds(20);
// An account without refusals for this long is within its limit again.
constexpr Duration recoveryTime = std::chrono::seconds(5);

Quota::Tolerance toleranceOf(const NodeSettings& settings)
{
    return {settings.quotaWindow, settings.quotaOverage, settings.quotaSlack};
}

} // namespace

AccountLimits::AccountLimits(Loop& loop, const NodeSettings& settings, std::uint64_t incarnation, Peers& peers, EventLog& log, Support::Metrics& metrics)
    : settings_(settings)
    , peers_(peers)
    , log_(log)
    , metrics_(metrics)
    , limiter_(settings.name, incarnation)
    , timer_(loop)
{
    limiter_.setTolerance(Support::monotonicNow(), toleranceOf(settings));
}

void AccountLimits::setAccounts(const std::vector<ClientAccount>& accounts)
{
    std::vector<Quota::AccountLimit> limits;
    for (const auto& account : accounts) {
        if (account.requestsPerSecond > 0)
            limits.push_back({account.name, account.requestsPerSecond, account.burst});
    }
    hasLimits_ = !limits.empty();
    limiter_.setLimits(Support::monotonicNow(), limits);
    logShards();
    deliver();
}

void AccountLimits::applySettings()
{
    limiter_.setTolerance(Support::monotonicNow(), toleranceOf(settings_));
}

void AccountLimits::acquire(const std::string& account, const Done& done)
{
    struct Visitor {
        AccountLimits& limits;
        const std::string& account;
        const Done& done;
        std::uint64_t ticket;

        void operator()(const Quota::Permit& permit) const { decide(permit); }
        void operator()(const Quota::Refusal& refusal) const { decide(refusal); }
        void operator()(const Quota::Pending&) const
        {
            limits.metrics_.add("balsamreel_quota_pending_total");
            limits.pending_[ticket] = {account, done};
            limits.deliver();
        }
        void decide(const Quota::Decision& decision) const
        {
            limits.report(account, decision);
            done(decision);
        }
    };
    auto ticket = nextTicket_++;
    std::visit(Visitor{*this, account, done, ticket}, limiter_.acquire(Support::monotonicNow(), account, ticket));
}

void AccountLimits::giveBack(const std::string& account, const Quota::Permit& permit)
{
    metrics_.add("balsamreel_quota_returned_total");
    limiter_.giveBack(Support::monotonicNow(), account, permit);
    deliver();
}

Quota::TokenReply AccountLimits::onRequest(const Quota::TokenRequest& request)
{
    auto reply = limiter_.onRequest(Support::monotonicNow(), request);
    metrics_.add("balsamreel_quota_tokens_lent_total", reply.count);
    return reply;
}

void AccountLimits::onReply(const std::string& node, const Quota::TokenReply& reply)
{
    limiter_.onReply(Support::monotonicNow(), node, reply);
    deliver();
}

// Callbacks may start or end other calls, which leads here again; each round takes its messages and decisions out first.
void AccountLimits::deliver()
{
    for (auto requests = limiter_.takeRequests(); !requests.empty(); requests = limiter_.takeRequests()) {
        metrics_.add("balsamreel_quota_token_requests_total", static_cast<std::int64_t>(requests.size()));
        for (const auto& outgoing : requests) {
            if (!peers_.send(outgoing.node, outgoing.request))
                limiter_.onUnreachable(Support::monotonicNow(), outgoing.node, outgoing.request);
        }
    }
    for (const auto& decided : limiter_.takeDecisions()) {
        auto entry = pending_.extract(decided.ticket);
        if (entry.empty())
            continue;
        auto [account, done] = std::move(entry.mapped());
        report(account, decided.decision);
        done(decided.decision);
    }
    armTimer();
}

void AccountLimits::armTimer()
{
    if (isTimerArmed_ || !limiter_.hasPending())
        return;
    isTimerArmed_ = true;
    timer_.expires_after(pendingCheckInterval);
    timer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled)
            return;
        isTimerArmed_ = false;
        limiter_.tick(Support::monotonicNow());
        deliver();
    });
}

void AccountLimits::report(const std::string& account, const Quota::Decision& decision)
{
    if (std::holds_alternative<Quota::Permit>(decision))
        return metrics_.add("balsamreel_quota_granted_total");
    metrics_.add("balsamreel_quota_refused_total");
    auto [entry, isNew] = exceeded_.try_emplace(account);
    entry->second.lastRefusalAt = Support::monotonicNow();
    ++entry->second.refusals;
    if (isNew)
        log_.line(LogClass::Notable, "quota-exceeded", "account={}", account);
}

void AccountLimits::tick(Instant now, bool isNodeListComplete)
{
    if (!hasLimits_)
        return;
    if (peers_.knownRevision() != knownRevision_) {
        knownRevision_ = peers_.knownRevision();
        limiter_.setNodes(now, peers_.knownNames());
    }
    if (isNodeListComplete)
        limiter_.confirmNodes(now);
    logShards();
    logRecovered(now);
}

void AccountLimits::logShards()
{
    auto shards = limiter_.shardCount();
    metrics_.set("balsamreel_quota_shards", static_cast<double>(shards));
    if (std::exchange(loggedShards_, shards) != shards)
        log_.line(LogClass::Notable, "quota-shards", "shards={} nodes={}", shards, peers_.knownCount() + 1);
}

void AccountLimits::logRecovered(Instant now)
{
    std::erase_if(exceeded_, [&](const auto& entry) {
        const auto& [account, excess] = entry;
        if (now - excess.lastRefusalAt < recoveryTime)
            return false;
        log_.line(LogClass::Notable, "quota-recovered", "account={} refused={}", account, excess.refusals);
        return true;
    });
}

} // namespace balsamreel::Relay
