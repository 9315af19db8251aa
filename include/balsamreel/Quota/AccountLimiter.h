// Decides whether a request of a client account is within the account's limit, over all nodes. No I/O and no clock.
#pragma once

#include "balsamreel/Quota/ShardPlan.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace balsamreel::Quota {

/// Asks the node that holds a shard for tokens.
struct TokenRequest {
    std::uint64_t serial = 0; ///< unique per incarnation of the sender
    std::string account;
    std::uint32_t count = 0;
};

struct TokenReply {
    std::uint64_t serial = 0;
    std::string account;
    std::uint32_t count = 0; ///< tokens that the sender now holds on lease
    std::uint32_t waitMicros = 0; ///< time until the shard has its next token; 0: it has one
};

/// The request may run.
struct Permit {
    Instant expiresAt; ///< until then the permit can be given back
};

/// The request exceeds the limit of its account.
struct Refusal {
    Duration retryAfter{};
};

/// Other nodes are asked for tokens. The decision follows through takeDecisions().
struct Pending { };

using Decision = std::variant<Permit, Refusal>;
using Acquisition = std::variant<Permit, Refusal, Pending>;

/// A decision on a request that was pending.
struct TicketDecision {
    std::uint64_t ticket = 0;
    Decision decision;
};

struct OutgoingRequest {
    std::string node;
    TokenRequest request;
};

/// The limits of all client accounts on one node. The limit of an account is divided among the nodes that rank highest for it;
/// each has a token bucket with an equal share. A node spends the tokens of its own shard first and leases tokens of
/// other shards when it has none.
class AccountLimiter {
public:
    /// The seed varies the order in which the node asks others.
    AccountLimiter(std::string self, std::uint64_t seed);

    void setTolerance(Instant now, const Tolerance&);
    void setLimits(Instant now, const std::vector<AccountLimit>&);

    /// Sets the other nodes, reachable or not, in ascending order.
    void setNodes(Instant now, std::vector<std::string> others);

    /// Reports that the list of nodes is complete. Before that, and until it has settled, this node hands out no tokens of
    /// its own: with a part of the nodes it would take its share to be larger.
    void confirmNodes(Instant now);

    bool hasLimit(const std::string& account) const { return accounts_.contains(account); }

    /// Decides on a request. The ticket identifies it if the decision is pending.
    Acquisition acquire(Instant now, const std::string& account, std::uint64_t ticket);

    /// Returns the permit of a request that will never run.
    void giveBack(Instant now, const std::string& account, const Permit&);

    /// Answers another node from the shard of this one.
    TokenReply onRequest(Instant now, const TokenRequest&);
    void onReply(Instant now, const std::string& node, const TokenReply&);

    /// Reports that a message to the node could not be sent.
    void onUnreachable(Instant now, const std::string& node, const TokenRequest&);

    /// Handles requests to other nodes that got no reply in time.
    void tick(Instant now);
    bool hasPending() const;

    std::vector<OutgoingRequest> takeRequests() { return std::exchange(requests_, {}); }
    std::vector<TicketDecision> takeDecisions() { return std::exchange(decisions_, {}); }

    /// Accounts of whose limit this node holds a shard.
    std::size_t shardCount() const;

private:
    struct Lease {
        unsigned count = 0;
        Instant expiresAt;
    };
    struct Ask {
        std::uint64_t serial = 0;
        std::string node;
        Instant sentAt;
    };
    struct Ticket {
        std::uint64_t id = 0;
        Instant deadline;
    };
    struct Account {
        AccountLimit limit;
        ShardPlan plan;
        bool isPlanned = false; ///< the plan and the holders follow the current limits and nodes
        bool isHolder = false;
        std::vector<std::string> holders; ///< other nodes that hold a shard
        TokenBucket shard;
        std::deque<Lease> leases; ///< tokens of other shards and permits that were given back
        std::deque<Ticket> pending;
        std::optional<Ask> ask;
        std::map<std::string, Instant> emptyUntil; ///< holders that have no token before then
        std::size_t nextHolder = 0;
        unsigned emptyReplies = 0; ///< consecutive
        Instant askAgainAt; ///< no holder is asked before then
        Instant nextRoom; ///< when the requests that were refused so far have had their turn
        Instant countedSince;
        unsigned leasedCount = 0; ///< leased tokens that were spent since then
    };

    void invalidatePlans(Instant now);
    void plan(Instant now, Account&);
    std::optional<Permit> takeLocal(Instant now, Account&);
    bool askNext(Instant now, Account&);
    const std::string* nextCandidate(Instant now, Account&);
    static unsigned wantedTokens(Instant now, const Account&);
    void settle(Instant now, Account&);
    void refusePending(Instant now, Account&);
    void refuseOverdue(Instant now, Account&);
    static void onEmpty(Instant now, Account&);
    static Refusal refuse(Instant now, Account&);

    std::string self_;
    std::uint64_t seed_;
    Tolerance tolerance_;
    std::vector<std::string> others_;
    bool mayHoldShards_ = false; ///< the list of nodes has been complete and settled
    Instant nodesChangedAt_;
    std::uint64_t nextSerial_ = 1;
    std::map<std::string, Account> accounts_; ///< those with a limit
    std::vector<OutgoingRequest> requests_;
    std::vector<TicketDecision> decisions_;
};

} // namespace balsamreel::Quota
