// Divides the limit of a client account into shards, each with a token bucket of its own. No I/O and no clock.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <cstddef>
#include <string>

namespace balsamreel::Quota {

using Duration = Support::Duration;
using Instant = Support::Instant;

/// The limit on the requests of a client account through all nodes together.
struct AccountLimit {
    std::string account;
    double requestsPerSecond = 0;
    double burst = 0; ///< requests that may be sent in excess of the rate

    bool operator==(const AccountLimit&) const = default;
};

/// By how much the requests of an account in any window may exceed (rate x window + burst).
struct Tolerance {
    Duration window = std::chrono::seconds(5);
    double overage = 0; ///< as a share of the limit
    double slack = 0; ///< requests, besides

    bool operator==(const Tolerance&) const = default;
};

/// The most requests of an account that may run in any window.
double windowBound(const AccountLimit&, const Tolerance&);

/// How the limit of an account is divided: each shard is the token bucket of one node.
struct ShardPlan {
    std::size_t count = 0;
    double rate = 0; ///< tokens a second and shard
    double capacity = 0; ///< tokens that a shard can hold
    Duration lease{}; ///< for which a token that has left its shard is valid

    bool operator==(const ShardPlan&) const = default;
};

ShardPlan planShards(const AccountLimit&, const Tolerance&, std::size_t nodeCount);

/// A token bucket that starts empty, so that a restarted process hands out nothing that it may have handed out before.
class TokenBucket {
public:
    /// Replaces the rate and capacity and keeps the tokens, as far as they fit.
    void setPlan(Instant now, const ShardPlan&);

    /// Removes up to this number of tokens and returns how many there were.
    unsigned take(Instant now, unsigned wanted);

    /// Time until the bucket holds one token.
    Duration timeUntilToken(Instant now);

private:
    void refill(Instant now);

    double rate_ = 0;
    double capacity_ = 0;
    double tokens_ = 0;
    Instant refilledAt_;
};

} // namespace balsamreel::Quota
