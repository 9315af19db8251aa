// The way of a caller's request: classified, placed, offered to guards, answered once.
#pragma once

#include "balsamreel/Balance/Balancer.h"
#include "balsamreel/Relay/CallerConnection.h"
#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/Guard.h"
#include "balsamreel/Relay/Peers.h"
#include "balsamreel/Relay/RouteTable.h"
#include "balsamreel/Relay/SharedRetryBudget.h"
#include "balsamreel/Support/Metrics.h"
#include "balsamreel/Support/Random.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Relay {

class Entry {
public:
    Entry(Loop&, const NodeSettings&, HeaderNames, std::uint64_t incarnation, Guard&, Peers&, EventLog&, Support::Metrics&);

    void setRoutes(std::shared_ptr<RouteTable> routes) { routes_ = std::move(routes); }

    /// The servers that may get work have changed.
    void serversChanged() { areServersCurrent_ = false; }

    /// A server in this failure domain is slowed down by neighbours, or no longer.
    void slowdownChanged(const Balance::ServerId& server, bool isSlowed);

    /// A node that is about to end refuses what could outlast it.
    void handle(const CallerRequest&, IncomingRequest&&, bool isEnding);
    void callerLeft(const std::shared_ptr<CallerConnection>&);

    /// Whether the request may be worked on beside others of its caller.
    bool canRunConcurrently(const IncomingRequest&) const;

    /// Ends calls whose time is up though their timers did not count it: the VM was suspended.
    void timeOutOverdueCalls(Instant now);

    /// The node's settings have changed.
    void applySettings();

    std::size_t openCount() const { return calls_.size(); }

private:
    struct Attempt {
        std::uint64_t serial = 0;
        Balance::ServerId server;
        Instant startedAt;
    };
    struct Call {
        CallerRequest caller; ///< without a connection once it is answered or has left
        std::shared_ptr<RouteTable> routes; ///< keeps the route alive
        const Route* route = nullptr;
        std::string service;
        Request request;
        Instant arrivedAt;
        Instant deadline;
        Instant targetTime;
        std::vector<Balance::ServerId> tried;
        unsigned placements = 0; ///< offers to guards
        unsigned sent = 0; ///< offers that may have reached a server
        bool mayHaveRun = false;
        bool mustRun = false; ///< all servers were found slowed down; the next one is not to refuse for that
        std::optional<ServerResponse> failedAnswer; ///< a server error that is delivered if no repeat does better
        std::optional<Attempt> attempt;
        boost::asio::steady_timer timer;

        explicit Call(Loop& loop)
            : timer(loop)
        {
        }
    };
    using CallPointer = std::shared_ptr<Call>;

    void updateServers();
    void refuseUnrouted(const CallerRequest&, const Request&, Reason, std::uint32_t status);
    void place(const CallPointer&, NotRun ifNone);
    void sendAttempt(const CallPointer&, const Balance::Choice&, const std::string& instance);
    void onOutcome(const CallPointer&, std::uint64_t serial, const Outcome&, const Wire::LoadStamp&);
    void reportOutcome(const CallPointer&, const Attempt&, const Outcome&, const Wire::LoadStamp&);
    void onNotRun(const CallPointer&, const NotRun&);
    void onUnknown(const CallPointer&, const Unknown&);
    void onAnswer(const CallPointer&, ServerResponse);
    bool mayRepeat(const Call&);
    void onDeadline(const CallPointer&);
    void cancelAttempt(const CallPointer&);
    void finish(const CallPointer&, const ServerResponse&, Reason);
    void refuse(const CallPointer&, const NotRun&);
    void fail(const CallPointer&, Reason, std::uint32_t status);
    AttemptRequest makeAttemptRequest(const Call&, std::uint64_t serial, const std::string& instance, Instant now) const;
    std::optional<std::string> instanceOf(const Balance::ServerId&) const;

    Loop& loop_;
    const NodeSettings& settings_;
    HeaderNames names_;
    std::uint64_t incarnation_;
    Guard& guard_;
    Peers& peers_;
    EventLog& log_;
    Support::Metrics& metrics_;
    std::shared_ptr<RouteTable> routes_;
    Balance::Balancer balancer_;
    SharedRetryBudget retryBudget_;
    Support::Random random_;
    std::uint64_t nextSerial_ = 1;
    std::map<CallerRequest, CallPointer> calls_;
    std::map<Balance::ServerId, std::string> instances_;
    bool areServersCurrent_ = true; ///< the balancer knows the last change
};

} // namespace balsamreel::Relay
