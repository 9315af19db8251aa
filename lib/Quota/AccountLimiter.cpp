#include "balsamreel/Quota/AccountLimiter.h"

#include "balsamreel/Support/Hash.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace balsamreel::Quota {

namespace {

constexpr Duration nodesSettleTime = std::chrono::milliseconds(500);
// Longer than a node with a small share of a core may be stopped by its scheduler.
constexpr Duration replyTimeout = std::chrono::milliseconds(100);
// For which a request waits for tokens of other nodes at most.
constexpr Duration maximumPendingTime = std::chrono::milliseconds(250);
// A holder that did not reply is not asked again before this time.
constexpr Duration lostHolderPause = std::chrono::seconds(1);
// A node that holds no shard by its own list of nodes.
constexpr Duration notHolderPause = std::chrono::seconds(1);
// After this number of holders without tokens, the limit is taken to be used up.
constexpr unsigned maximumEmptyReplies = 6;
constexpr Duration firstAskPause = std::chrono::milliseconds(50);
constexpr unsigned maximumDoublings = 3;
constexpr unsigned maximumTokensPerRequest = 64;
constexpr Duration shortestRetryAfter = std::chrono::milliseconds(30);
constexpr Duration maximumRetryAfter = std::chrono::milliseconds(2500);

std::uint32_t toMicros(Duration duration)
{
    return static_cast<std::uint32_t>(std::clamp<Duration::rep>(duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

// Mixes the bits of both hashes, so that each account ranks the nodes in an order of its own.
std::uint64_t rankOf(std::uint32_t accountHash, const std::string& node)
{
    constexpr unsigned halfBits = 32;
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    auto mixed = ((static_cast<std::uint64_t>(accountHash) << halfBits) | Support::stableHash(node)) * multiplier;
    mixed ^= mixed >> halfBits;
    return mixed * multiplier;
}

// Returns the other nodes that hold a shard of the account, in ascending order. All nodes rank the nodes of an account alike.
std::vector<std::string> holdersOf(const std::string& account, const std::vector<std::string>& others, const std::string& self, std::size_t count)
{
    if (count > others.size())
        return others;
    using Rank = std::pair<std::uint64_t, const std::string*>;
    std::vector<Rank> ranks;
    auto accountHash = Support::stableHash(account);
    ranks.reserve(others.size() + 1);
    ranks.emplace_back(rankOf(accountHash, self), &self);
    for (const auto& node : others)
        ranks.emplace_back(rankOf(accountHash, node), &node);
    auto goesFirst = [](const Rank& left, const Rank& right) { return std::tie(left.first, *left.second) < std::tie(right.first, *right.second); };
    std::ranges::nth_element(ranks, ranks.begin() + static_cast<std::ptrdiff_t>(count), goesFirst);
    ranks.resize(count);
    std::vector<std::string> holders;
    for (const auto& rank : ranks) {
        if (rank.second != &self)
            holders.push_back(*rank.second);
    }
    std::ranges::sort(holders);
    return holders;
}

} // namespace

AccountLimiter::AccountLimiter(std::string self, std::uint64_t seed)
    : self_(std::move(self))
    , seed_(seed)
{
}

void AccountLimiter::setTolerance(Instant now, const Tolerance& tolerance)
{
    if (tolerance == tolerance_)
        return;
    tolerance_ = tolerance;
    invalidatePlans(now);
}

// Keeps the tokens of an account whose limit has changed, so that a change gives no new burst.
void AccountLimiter::setLimits(Instant now, const std::vector<AccountLimit>& limits)
{
    std::map<std::string, Account> accounts;
    for (const auto& limit : limits) {
        auto known = accounts_.extract(limit.account);
        auto& account = accounts[limit.account];
        if (!known.empty())
            account = std::move(known.mapped());
        account.isPlanned = account.isPlanned && account.limit == limit;
        account.limit = limit;
        plan(now, account);
    }
    std::swap(accounts, accounts_);
    for (const auto& [name, removed] : accounts) {
        for (const auto& ticket : removed.pending)
            decisions_.push_back({ticket.id, Permit{now}});
    }
}

void AccountLimiter::setNodes(Instant now, std::vector<std::string> others)
{
    if (others == others_)
        return;
    others_ = std::move(others);
    nodesChangedAt_ = now;
    invalidatePlans(now);
}

void AccountLimiter::confirmNodes(Instant now)
{
    if (mayHoldShards_ || now - nodesChangedAt_ < nodesSettleTime)
        return;
    mayHoldShards_ = true;
    for (auto& [name, account] : accounts_) {
        account.isHolder = account.holders.size() < account.plan.count;
        if (account.isHolder)
            account.shard.setPlan(now, account.plan);
    }
}

// Buckets that already hold tokens are refilled at the old rate up to now.
void AccountLimiter::invalidatePlans(Instant now)
{
    for (auto& [name, account] : accounts_) {
        account.isPlanned = false;
        plan(now, account);
    }
}

void AccountLimiter::plan(Instant now, Account& account)
{
    if (account.isPlanned)
        return;
    account.isPlanned = true;
    account.plan = planShards(account.limit, tolerance_, others_.size() + 1);
    account.holders = holdersOf(account.limit.account, others_, self_, account.plan.count);
    account.isHolder = mayHoldShards_ && account.holders.size() < account.plan.count;
    if (!account.isHolder)
        account.shard = TokenBucket();
    else
        account.shard.setPlan(now, account.plan);
    account.nextHolder = account.holders.empty() ? 0 : seed_ % account.holders.size();
    std::erase_if(account.emptyUntil, [&](const auto& entry) { return !std::ranges::binary_search(account.holders, entry.first); });
}

Acquisition AccountLimiter::acquire(Instant now, const std::string& name, std::uint64_t ticket)
{
    auto found = accounts_.find(name);
    if (found == accounts_.end())
        return Permit{now};
    auto& account = found->second;
    if (account.pending.empty()) {
        if (auto permit = takeLocal(now, account))
            return *permit;
    }
    if (!account.ask && !askNext(now, account))
        return refuse(now, account);
    account.pending.push_back({ticket, now + maximumPendingTime});
    return Pending{};
}

std::optional<Permit> AccountLimiter::takeLocal(Instant now, Account& account)
{
    std::erase_if(account.leases, [now](const Lease& lease) { return lease.expiresAt <= now; });
    if (!account.leases.empty()) {
        auto& lease = account.leases.front();
        Permit permit{lease.expiresAt};
        if (--lease.count == 0)
            account.leases.pop_front();
        if (now - account.countedSince >= account.plan.lease) {
            account.countedSince = now;
            account.leasedCount = 0;
        }
        ++account.leasedCount;
        return permit;
    }
    if (account.shard.take(now, 1) == 0)
        return std::nullopt;
    return Permit{now + account.plan.lease};
}

// A permit that is given back stays valid for as long as it was: a token must not be spent much later than it left its shard.
void AccountLimiter::giveBack(Instant now, const std::string& name, const Permit& permit)
{
    auto found = accounts_.find(name);
    if (found == accounts_.end() || permit.expiresAt <= now)
        return;
    found->second.leases.push_front({1, permit.expiresAt});
    settle(now, found->second);
}

// Asks the holders in turn, so that each has had the time to gather tokens.
const std::string* AccountLimiter::nextCandidate(Instant now, Account& account)
{
    for (std::size_t tried = 0; tried < account.holders.size(); ++tried) {
        const auto& holder = account.holders[account.nextHolder];
        account.nextHolder = (account.nextHolder + 1) % account.holders.size();
        auto empty = account.emptyUntil.find(holder);
        if (empty == account.emptyUntil.end())
            return &holder;
        if (empty->second > now)
            continue;
        account.emptyUntil.erase(empty);
        return &holder;
    }
    return nullptr;
}

// Tokens for the requests that wait, and for some of those to come if the node has used leased tokens lately.
unsigned AccountLimiter::wantedTokens(Instant now, const Account& account)
{
    bool isRecent = now - account.countedSince < 2 * account.plan.lease;
    auto expected = isRecent ? account.leasedCount / 2 : 0;
    auto waiting = static_cast<unsigned>(std::min<std::size_t>(account.pending.size(), maximumTokensPerRequest));
    return std::clamp(waiting + expected, 1U, maximumTokensPerRequest);
}

bool AccountLimiter::askNext(Instant now, Account& account)
{
    if (now < account.askAgainAt)
        return false;
    const auto* holder = nextCandidate(now, account);
    if (!holder)
        return false;
    account.ask = Ask{nextSerial_++, *holder, now};
    requests_.push_back({*holder, {account.ask->serial, account.limit.account, wantedTokens(now, account)}});
    return true;
}

TokenReply AccountLimiter::onRequest(Instant now, const TokenRequest& request)
{
    TokenReply reply{request.serial, request.account, 0, toMicros(notHolderPause)};
    auto found = accounts_.find(request.account);
    if (found == accounts_.end() || !found->second.isHolder)
        return reply;
    auto& shard = found->second.shard;
    reply.count = shard.take(now, std::min(request.count, maximumTokensPerRequest));
    reply.waitMicros = toMicros(shard.timeUntilToken(now));
    return reply;
}

// The lease counts from when the request was sent, which was before the tokens left their shard. A reply that comes after the
// timeout is dropped with its tokens.
void AccountLimiter::onReply(Instant now, const std::string& node, const TokenReply& reply)
{
    auto found = accounts_.find(reply.account);
    if (found == accounts_.end())
        return;
    auto& account = found->second;
    if (!account.ask || account.ask->serial != reply.serial || account.ask->node != node)
        return;
    auto expiresAt = account.ask->sentAt + account.plan.lease;
    account.ask.reset();
    if (reply.waitMicros > 0)
        account.emptyUntil[node] = now + Duration(reply.waitMicros);
    if (reply.count > 0) {
        account.emptyReplies /= 2;
        account.leases.push_back({reply.count, expiresAt});
    } else
        onEmpty(now, account);
    settle(now, account);
}

void AccountLimiter::onEmpty(Instant now, Account& account)
{
    if (++account.emptyReplies < maximumEmptyReplies)
        return;
    auto doublings = std::min(account.emptyReplies - maximumEmptyReplies, maximumDoublings);
    account.askAgainAt = now + firstAskPause * (1U << doublings);
}

void AccountLimiter::onUnreachable(Instant now, const std::string& node, const TokenRequest& request)
{
    auto found = accounts_.find(request.account);
    if (found == accounts_.end())
        return;
    auto& account = found->second;
    account.emptyUntil[node] = now + lostHolderPause;
    if (!account.ask || account.ask->serial != request.serial)
        return;
    account.ask.reset();
    settle(now, account);
}

// Decides on the pending requests, as far as there are tokens. For the others, the next holder is asked.
void AccountLimiter::settle(Instant now, Account& account)
{
    while (!account.pending.empty()) {
        auto permit = takeLocal(now, account);
        if (!permit)
            break;
        decisions_.push_back({account.pending.front().id, *permit});
        account.pending.pop_front();
    }
    if (account.pending.empty() || account.ask || askNext(now, account))
        return;
    refusePending(now, account);
}

void AccountLimiter::refusePending(Instant now, Account& account)
{
    for (const auto& ticket : std::exchange(account.pending, {}))
        decisions_.push_back({ticket.id, refuse(now, account)});
}

void AccountLimiter::refuseOverdue(Instant now, Account& account)
{
    while (!account.pending.empty() && account.pending.front().deadline <= now) {
        decisions_.push_back({account.pending.front().id, refuse(now, account)});
        account.pending.pop_front();
    }
}

// Refused requests are given successive turns at the rate of a shard, so that they do not all return for the next token.
Refusal AccountLimiter::refuse(Instant now, Account& account)
{
    auto wait = account.isHolder ? account.shard.timeUntilToken(now) : lostHolderPause;
    for (const auto& [holder, until] : account.emptyUntil)
        wait = std::min(wait, std::chrono::duration_cast<Duration>(until - now));
    wait = std::max({wait, std::chrono::duration_cast<Duration>(account.askAgainAt - now), shortestRetryAfter});
    auto turn = std::max(now + wait, account.nextRoom);
    constexpr double microsPerSecond = 1e6;
    auto rate = std::max(account.plan.rate, 1.0 / static_cast<double>(maximumRetryAfter.count()) * microsPerSecond);
    account.nextRoom = std::min(turn, now + maximumRetryAfter) + Duration(static_cast<Duration::rep>(microsPerSecond / rate));
    return {std::min(std::chrono::duration_cast<Duration>(turn - now), maximumRetryAfter)};
}

void AccountLimiter::tick(Instant now)
{
    for (auto& [name, account] : accounts_) {
        if (account.ask && now - account.ask->sentAt >= replyTimeout) {
            account.emptyUntil[account.ask->node] = now + lostHolderPause;
            account.ask.reset();
        }
        if (account.pending.empty())
            continue;
        refuseOverdue(now, account);
        settle(now, account);
    }
}

bool AccountLimiter::hasPending() const
{
    return std::ranges::any_of(accounts_, [](const auto& entry) { return !entry.second.pending.empty() || entry.second.ask; });
}

std::size_t AccountLimiter::shardCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(accounts_, [](const auto& entry) { return entry.second.isHolder; }));
}

} // namespace balsamreel::Quota
