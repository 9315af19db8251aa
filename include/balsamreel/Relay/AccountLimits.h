// Connects the decisions on the limits of client accounts to the configuration, the other nodes and the clock.
#pragma once

#include "balsamreel/Quota/AccountLimiter.h"
#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/Model.h"
#include "balsamreel/Relay/Peers.h"
#include "balsamreel/Support/Metrics.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace balsamreel::Relay {

class AccountLimits {
public:
    using Done = std::function<void(const Quota::Decision&)>;

    AccountLimits(Loop&, const NodeSettings&, std::uint64_t incarnation, Peers&, EventLog&, Support::Metrics&);

    /// Applies the limits of a configuration.
    void setAccounts(const std::vector<ClientAccount>&);

    /// Applies changed node settings.
    void applySettings();

    bool hasLimit(const std::string& account) const { return limiter_.hasLimit(account); }

    /// Decides whether a request is within the limit of its account. The callback is called once, mostly before this returns.
    void acquire(const std::string& account, const Done&);

    /// Returns the permit of a request that will never run.
    void giveBack(const std::string& account, const Quota::Permit&);

    Quota::TokenReply onRequest(const Quota::TokenRequest&);
    void onReply(const std::string& node, const Quota::TokenReply&);

    /// Follows the list of nodes. Called at intervals.
    void tick(Instant now, bool isNodeListComplete);

private:
    struct Excess {
        Instant lastRefusalAt;
        std::uint64_t refusals = 0;
    };

    void report(const std::string& account, const Quota::Decision&);
    void deliver();
    void armTimer();
    void logShards();
    void logRecovered(Instant now);

    const NodeSettings& settings_;
    Peers& peers_;
    EventLog& log_;
    Support::Metrics& metrics_;
    Quota::AccountLimiter limiter_;
    boost::asio::steady_timer timer_;
    bool isTimerArmed_ = false;
    bool hasLimits_ = false;
    std::uint64_t knownRevision_ = 0; ///< of the list of nodes that the limiter has; 0: none
    std::size_t loggedShards_ = 0;
    std::uint64_t nextTicket_ = 1;
    std::map<std::uint64_t, std::pair<std::string, Done>> pending_; ///< account and callback by ticket
    std::map<std::string, Excess> exceeded_; ///< accounts with recent refusals
};

} // namespace balsamreel::Relay
