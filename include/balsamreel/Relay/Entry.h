// Handles the requests of callers: selects the route and the service, sends attempts to guards, retries, and returns one
// response per request.
#pragma once

#include "balsamreel/Balance/Balancer.h"
#include "balsamreel/Relay/AccountLimits.h"
#include "balsamreel/Relay/CallerConnection.h"
#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/Guard.h"
#include "balsamreel/Relay/Peers.h"
#include "balsamreel/Relay/RouteTable.h"
#include "balsamreel/Relay/SecondAttemptPolicy.h"
#include "balsamreel/Relay/SharedRetryBudget.h"
#include "balsamreel/Support/Metrics.h"
#include "balsamreel/Support/Random.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamreel::Relay {

class Entry {
public:
    Entry(Loop&, const NodeSettings&, HeaderNames, std::uint64_t incarnation, Guard&, Peers&, AccountLimits&, EventLog&, Support::Metrics&);

    void setRoutes(std::shared_ptr<RouteTable>);

    /// Marks the list of servers as outdated. It is rebuilt before the next attempt.
    void serversChanged() { areServersCurrent_ = false; }

    /// Reports that a server in this failure domain is slowed down by other VMs on the same host, or has recovered.
    void slowdownChanged(const Balance::ServerId& server, bool isSlowed);

    /// Starts a call for the request. With isEnding, refuses it, since the process might end before the call does.
    void handle(const CallerRequest&, IncomingRequest&&, bool isEnding);
    void callerLeft(const std::shared_ptr<CallerConnection>&);

    /// Whether the request may run concurrently with other requests of its connection.
    bool canRunConcurrently(const IncomingRequest&) const;

    /// Times out calls whose deadline has passed although their timers have not expired: timers stop while the VM is suspended.
    void timeOutOverdueCalls(Instant now);

    /// Applies changed node settings.
    void applySettings();

    std::size_t openCount() const { return calls_.size(); }

private:
    struct Attempt {
        std::uint64_t serial = 0;
        Balance::ServerId server;
        Instant startedAt;
        bool isSecond = false; ///< sent while another attempt of the call was open
    };
    struct Call {
        CallerRequest caller; ///< has no connection once the call has its response or the caller has left
        std::shared_ptr<RouteTable> routes; ///< keeps `route` valid
        const Route* route = nullptr;
        std::string account; ///< client account; empty: none
        std::optional<Quota::Permit> permit; ///< counts against the limit of the account
        std::uint32_t priority = 0; ///< 0 is the most urgent
        std::string service;
        Request request;
        Instant arrivedAt;
        Instant deadline;
        Instant targetTime;
        std::vector<Balance::ServerId> triedServers;
        unsigned attemptCount = 0; ///< attempts sent to guards
        unsigned serverAttemptCount = 0; ///< attempts that may have reached a server
        std::optional<Duration> shortestWait; ///< that a guard expects before it has capacity
        bool mayHaveRun = false;
        bool ignoresSlowdown = false; ///< all servers were found slowed down; the next guard must not refuse for that reason
        std::optional<ServerResponse> errorResponse; ///< a server's error response, returned unless a retry gets a better one
        std::vector<Attempt> openAttempts; ///< two at most
        std::string lastServer; ///< node of the last attempt that was sent or ended
        bool hadSecondAttempt = false;
        boost::asio::steady_timer timer;
        std::optional<boost::asio::steady_timer> slowTimer; ///< expires when the open attempt is unusually slow

        explicit Call(Loop& loop)
            : timer(loop)
        {
        }
    };
    using CallPointer = std::shared_ptr<Call>;

    // A refusal by a guard costs its server nothing. The limit lets a call end soon when all servers are full.
    static constexpr unsigned maximumAttempts = 5;
    static constexpr std::uint32_t firstServerError = 500; ///< HTTP status

    void updateServers();
    void refuseUnrouted(const CallerRequest&, const Request&, Reason, std::uint32_t status);
    void onQuotaDecision(const CallPointer&, const Quota::Decision&);
    void refuseOverQuota(const CallPointer&, Duration retryAfter);
    void start(const CallPointer&);
    void startNextAttempt(const CallPointer&, NotRun fallback);
    void sendAttempt(const CallPointer&, const Balance::Choice&, const std::string& instance, bool isSecond = false);
    void onOutcome(const CallPointer&, std::uint64_t serial, const Outcome&, const Wire::LoadStamp&);
    void reportOutcome(const CallPointer&, const Attempt&, const Outcome&, const Wire::LoadStamp&);
    void onNotRun(const CallPointer&, const NotRun&);
    void onUnknown(const CallPointer&, const Unknown&);
    void onResponse(const CallPointer&, const Attempt&, ServerResponse);
    bool mayRetry(const Call&);
    void onDeadline(const CallPointer&);
    void cancelAttempts(const CallPointer&);
    void cancelAttempt(const Call&, const Attempt&);
    void finish(const CallPointer&, const ServerResponse&, Reason);
    void refuse(const CallPointer&, const NotRun&);
    std::string retryAfterText(Duration wait);
    void fail(const CallPointer&, Reason, std::uint32_t status);
    AttemptRequest makeAttemptRequest(const Call&, std::uint64_t serial, const std::string& instance, Instant now) const;
    std::optional<std::string> instanceOf(const Balance::ServerId&) const;

    // Second attempts of slow calls, in EntrySecondAttempts.cpp.
    bool mayHaveSecondAttempt(const Call&) const;
    void learnFromOutcome(const Call&, Duration latency, const Outcome&);
    void watchForSlowness(const CallPointer&, std::uint64_t serial);
    void trySecondAttempt(const CallPointer&);
    SecondAttemptVerdict decideSecondAttempt(const Call&, std::optional<Balance::Choice>&);
    void logRoomChange(const Call&, SecondAttemptVerdict);
    ServiceRoom roomOf(const std::string& service, Instant now) const;

    Loop& loop_;
    const NodeSettings& settings_;
    HeaderNames headerNames_;
    std::uint64_t incarnation_;
    Guard& guard_;
    Peers& peers_;
    AccountLimits& accountLimits_;
    EventLog& log_;
    Support::Metrics& metrics_;
    std::shared_ptr<RouteTable> routes_;
    Balance::Balancer balancer_;
    SharedRetryBudget retryBudget_;
    SecondAttemptPolicy secondAttempts_;
    std::set<std::string> servicesWithoutRoom_; ///< for second attempts
    Support::Random random_;
    std::uint64_t nextSerial_ = 1;
    std::map<CallerRequest, CallPointer> calls_;
    std::map<Balance::ServerId, std::string> instances_;
    bool areServersCurrent_ = true; ///< the balancer has the latest list of servers
};

} // namespace balsamreel::Relay
