#include "balsamreel/Quota/AccountLimiter.h"
#include "balsamreel/Support/Random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <set>

namespace balsamreel::Quota {

namespace {

using namespace std::chrono_literals;

const AccountLimit large{"large", 240, 240};
const AccountLimit medium{"medium", 32, 32};
const AccountLimit small{"small", 1.6, 1.6};
constexpr double usual = 1 / 1.6; ///< demand as a share of the limit
const Tolerance tolerance{5s, 0.1, 20};

std::string nameOf(std::size_t index)
{
    return "node-" + std::to_string(index);
}

/// What was asked and spent of one account, and what one token bucket that sees all requests would have let pass.
struct Account {
    AccountLimit limit;
    double demand = usual; ///< as a share of the limit
    double oracleTokens = 0;
    double oracle = 0;
    std::size_t asked = 0;
    std::vector<Instant> spent;
};

/// Nodes on a virtual clock, with messages that take 0.1 to 1 ms.
class Fleet {
public:
    explicit Fleet(std::size_t size)
        : pickNode([size](Support::Random& random) { return random.below(size); })
    {
        for (const auto& limit : limits_)
            accounts.push_back({limit, usual, limit.burst, 0, 0, {}});
        nodes.resize(size);
        for (std::size_t index = 0; index < size; ++index)
            names_.push_back(nameOf(index));
        std::ranges::sort(names_);
        for (std::size_t index = 0; index < size; ++index)
            start(index);
    }

    void start(std::size_t index)
    {
        auto others = names_;
        std::erase(others, nameOf(index));
        auto& node = nodes[index];
        node.limiter = std::make_unique<AccountLimiter>(nameOf(index), random.engine()());
        node.limiter->setTolerance(now, tolerance);
        node.limiter->setNodes(now, others);
        node.limiter->setLimits(now, limits_);
        messages_.emplace(now + settleTime, [this, index] { nodes[index].limiter->confirmNodes(now); });
    }

    void setLimits(const std::vector<AccountLimit>& limits)
    {
        limits_ = limits;
        for (std::size_t index = 0; index < limits.size(); ++index)
            accounts[index].limit = limits[index];
        for (auto& node : nodes)
            node.limiter->setLimits(now, limits);
    }

    void run(Duration time, bool hasDemand = true)
    {
        for (auto end = now + time; now < end; now += step) {
            if (hasDemand)
                arrive();
            while (!messages_.empty() && messages_.begin()->first <= now)
                messages_.extract(messages_.begin()).mapped()();
            if (now.time_since_epoch() % tickInterval == Duration::zero()) {
                for (auto index : std::exchange(waiting_, {}))
                    tick(index);
            }
        }
    }

    /// Prints and returns the smallest share of the oracle's requests that were served; fails if any window is over the bound.
    double check(const char* name)
    {
        double worst = 1e9;
        for (auto& account : accounts) {
            auto share = static_cast<double>(account.spent.size()) / account.oracle;
            std::printf("%s: %zu nodes, %zu messages, %s: asked %zu, served %zu, oracle %.0f, share %.3f, fullest window %zu of %.1f\n", name, nodes.size(), messageCount, account.limit.account.c_str(), account.asked, account.spent.size(), account.oracle, share, fullestWindow(account, {}), windowBound(account.limit, tolerance));
            EXPECT_LE(static_cast<double>(fullestWindow(account, {})), windowBound(account.limit, tolerance)) << account.limit.account;
            worst = std::min(worst, share);
        }
        return worst;
    }

    static std::size_t fullestWindow(const Account& account, Instant since)
    {
        std::size_t fullest = 0;
        auto first = std::ranges::lower_bound(account.spent, since);
        for (auto last = first; last != account.spent.end(); ++last) {
            while (*last - *first >= tolerance.window)
                ++first;
            fullest = std::max(fullest, static_cast<std::size_t>(last - first) + 1);
        }
        return fullest;
    }

    struct Node {
        std::unique_ptr<AccountLimiter> limiter;
        bool isLost = false; ///< gets no requests and no messages
        Instant frozenUntil;
        unsigned group = 0; ///< nodes of different groups can't reach each other
    };

    static constexpr Duration step = 1ms;
    static constexpr Duration tickInterval = 20ms;
    static constexpr Duration settleTime = 500ms;
    Instant now{1h};
    Support::Random random{7};
    std::vector<Node> nodes;
    std::vector<Account> accounts;
    std::function<std::size_t(Support::Random&)> pickNode;
    std::size_t messageCount = 0;

private:
    // A lost node's callers send to the next one.
    void arrive()
    {
        for (std::size_t index = 0; index < accounts.size(); ++index) {
            auto& account = accounts[index];
            auto perStep = account.limit.requestsPerSecond * std::chrono::duration<double>(step).count();
            account.oracleTokens = std::min(account.limit.burst, account.oracleTokens + perStep);
            auto due = account.demand * perStep;
            while (random.fraction() < due) {
                request(index);
                due -= 1;
            }
        }
    }

    void request(std::size_t accountIndex)
    {
        auto& account = accounts[accountIndex];
        ++account.asked;
        if (account.oracleTokens >= 1) {
            account.oracleTokens -= 1;
            account.oracle += 1;
        }
        auto target = pickNode(random);
        while (nodes[target].isLost || nodes[target].frozenUntil > now)
            target = (target + 1) % nodes.size();
        auto ticket = nextTicket_++;
        auto acquired = nodes[target].limiter->acquire(now, account.limit.account, ticket);
        if (std::holds_alternative<Permit>(acquired))
            account.spent.push_back(now);
        if (std::holds_alternative<Pending>(acquired))
            tickets_[ticket] = accountIndex;
        deliver(target);
    }

    void tick(std::size_t index)
    {
        if (!nodes[index].isLost && nodes[index].frozenUntil <= now)
            nodes[index].limiter->tick(now);
        deliver(index);
    }

    void deliver(std::size_t sender)
    {
        auto& limiter = *nodes[sender].limiter;
        for (const auto& decided : limiter.takeDecisions()) {
            auto ticket = tickets_.extract(decided.ticket);
            if (!ticket.empty() && std::holds_alternative<Permit>(decided.decision))
                accounts[ticket.mapped()].spent.push_back(now);
        }
        if (limiter.hasPending())
            waiting_.insert(sender);
        for (const auto& outgoing : limiter.takeRequests()) {
            auto receiver = static_cast<std::size_t>(std::stoul(outgoing.node.substr(std::string("node-").size())));
            post(sender, receiver, [this, sender, receiver, request = outgoing.request] {
                auto reply = nodes[receiver].limiter->onRequest(now, request);
                post(receiver, sender, [this, sender, receiver, reply] {
                    nodes[sender].limiter->onReply(now, nameOf(receiver), reply);
                    deliver(sender);
                });
            });
        }
    }

    void post(std::size_t from, std::size_t to, const std::function<void()>& handler)
    {
        ++messageCount;
        if (nodes[from].group != nodes[to].group)
            return;
        auto delay = Duration(100 + static_cast<Duration::rep>(random.below(900)));
        messages_.emplace(now + delay, [this, to, handler] {
            if (nodes[to].isLost)
                return;
            if (nodes[to].frozenUntil > now)
                messages_.emplace(nodes[to].frozenUntil, handler);
            else
                handler();
        });
    }

    std::vector<AccountLimit> limits_{large, medium, small};
    std::vector<std::string> names_; ///< in ascending order
    std::multimap<Instant, std::function<void()>> messages_;
    std::map<std::uint64_t, std::size_t> tickets_;
    std::set<std::size_t> waiting_; ///< nodes that wait for tokens of others
    std::uint64_t nextTicket_ = 1;
};

// Makes the only node of a fleet hold one token of the account "one".
void giveOneToken(AccountLimiter& limiter, Instant now)
{
    limiter.setTolerance(now - 2s, {5s, 0, 0});
    limiter.setLimits(now - 2s, {{"one", 1, 1}});
    limiter.confirmNodes(now - 2s);
}

class AccountLimiterTest : public testing::TestWithParam<std::size_t> {
protected:
    AccountLimiterTest() { fleet_.run(10s, false); }

    // The first node that holds a shard of the account.
    std::size_t holderOf(const std::string& account)
    {
        for (std::size_t index = 0; index < fleet_.nodes.size(); ++index) {
            if (fleet_.nodes[index].limiter->onRequest(fleet_.now, {0, account, 0}).waitMicros == 0)
                return index;
        }
        return 0;
    }

    void setDemand(double demand)
    {
        for (auto& account : fleet_.accounts)
            account.demand = demand;
    }

    Fleet fleet_{GetParam()};
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Nodes, AccountLimiterTest, testing::Values(60, 1400));

TEST_P(AccountLimiterTest, ServesTheDemandInCalm)
{
    fleet_.run(30s);
    EXPECT_GE(fleet_.check("calm"), 0.95);
}

TEST_P(AccountLimiterTest, ServesTheWholeLimitInCalm)
{
    setDemand(1);
    fleet_.run(30s);
    EXPECT_GE(fleet_.check("at the limit"), 0.95);
}

TEST_P(AccountLimiterTest, OneAccountFarBeyondItsLimitCostsNoOther)
{
    fleet_.run(10s);
    fleet_.accounts[0].demand = 7.5 * usual;
    fleet_.run(6s);
    fleet_.accounts[0].demand = usual;
    fleet_.run(10s);
    EXPECT_GE(fleet_.check("hot account"), 0.95);
}

TEST_P(AccountLimiterTest, AllAccountsFarBeyondTheirLimitsStayWithinTheBound)
{
    setDemand(7.5);
    fleet_.run(12s);
    EXPECT_GE(fleet_.check("all hot"), 0.95);
}

TEST_P(AccountLimiterTest, TheLossOfAHolderCostsLittle)
{
    setDemand(1);
    fleet_.run(5s);
    fleet_.nodes[holderOf("small")].isLost = true;
    fleet_.run(20s);
    EXPECT_GE(fleet_.check("lost holder"), 0.85);
}

TEST_P(AccountLimiterTest, AFrozenHolderCostsLittle)
{
    setDemand(1);
    fleet_.run(5s);
    fleet_.nodes[holderOf("small")].frozenUntil = fleet_.now + 3s;
    fleet_.run(15s);
    EXPECT_GE(fleet_.check("frozen holder"), 0.85);
}

TEST_P(AccountLimiterTest, RestartsGiveNoNewBurst)
{
    setDemand(7.5);
    fleet_.run(5s);
    for (int round = 0; round < 4; ++round) {
        for (std::size_t index = 0; index < GetParam(); ++index)
            fleet_.start(index);
        fleet_.run(2s);
    }
    fleet_.check("all restarted four times");
}

TEST_P(AccountLimiterTest, FollowsDemandThatMovesBetweenNodes)
{
    for (std::size_t round = 0; round < 15; ++round) {
        fleet_.pickNode = [round](Support::Random& random) { return 3 * round + random.below(3); };
        fleet_.run(1s);
    }
    EXPECT_GE(fleet_.check("moved demand"), 0.85);
}

TEST_P(AccountLimiterTest, NodesThatCanNotReachEachOtherShareTheBound)
{
    setDemand(2);
    fleet_.run(5s);
    for (std::size_t index = 0; index < GetParam(); ++index)
        fleet_.nodes[index].group = static_cast<unsigned>(index % 3);
    fleet_.run(10s);
    for (auto& node : fleet_.nodes)
        node.group = 0;
    fleet_.run(5s);
    fleet_.check("partition");
}

TEST_P(AccountLimiterTest, ALowerLimitBindsAtOnce)
{
    setDemand(1);
    fleet_.run(10s);
    auto changedAt = fleet_.now;
    fleet_.setLimits({{"large", 24, 24}, {"medium", 3.2, 3.2}, {"small", 0.8, 0.8}});
    setDemand(10);
    fleet_.run(15s);
    for (const auto& account : fleet_.accounts)
        EXPECT_LE(static_cast<double>(Fleet::fullestWindow(account, changedAt)), windowBound(account.limit, tolerance)) << account.limit.account;
}

TEST(AccountLimiter, HandsOutNothingBeforeItKnowsTheOtherNodes)
{
    AccountLimiter limiter("a", 1);
    Instant now{1h};
    limiter.setTolerance(now, tolerance);
    limiter.setLimits(now, {large});
    EXPECT_TRUE(std::holds_alternative<Refusal>(limiter.acquire(now + 10s, "large", 1)));
    limiter.setNodes(now + 10s, {"b"});
    limiter.confirmNodes(now + 10s);
    EXPECT_EQ(limiter.onRequest(now + 10s, {1, "large", 1}).count, 0U) << "the list may still grow";
    limiter.confirmNodes(now + 11s);
    EXPECT_EQ(limiter.onRequest(now + 11s, {2, "large", 1}).count, 0U) << "a new process starts without tokens";
    EXPECT_EQ(limiter.onRequest(now + 12s, {3, "large", 1}).count, 1U);
}

TEST(AccountLimiter, ReturnedPermitsAreSpentAgainUntilTheyExpire)
{
    AccountLimiter limiter("a", 1);
    Instant now{1h};
    giveOneToken(limiter, now);
    auto first = limiter.acquire(now, "one", 1);
    ASSERT_TRUE(std::holds_alternative<Permit>(first));
    EXPECT_TRUE(std::holds_alternative<Refusal>(limiter.acquire(now, "one", 2)));
    limiter.giveBack(now, "one", std::get<Permit>(first));
    EXPECT_TRUE(std::holds_alternative<Permit>(limiter.acquire(now, "one", 3)));
    limiter.giveBack(now + 500ms, "one", std::get<Permit>(first));
    EXPECT_TRUE(std::holds_alternative<Refusal>(limiter.acquire(now + 500ms, "one", 4)));
}

TEST(AccountLimiter, RefusesWithTheTimeOfTheNextRoom)
{
    AccountLimiter limiter("a", 1);
    Instant now{1h};
    giveOneToken(limiter, now);
    limiter.acquire(now, "one", 1);
    auto refused = limiter.acquire(now, "one", 2);
    ASSERT_TRUE(std::holds_alternative<Refusal>(refused));
    auto retryAt = now + std::get<Refusal>(refused).retryAfter;
    EXPECT_TRUE(std::holds_alternative<Refusal>(limiter.acquire(retryAt - 100ms, "one", 3)));
    EXPECT_TRUE(std::holds_alternative<Permit>(limiter.acquire(retryAt, "one", 4)));
}

} // namespace balsamreel::Quota
