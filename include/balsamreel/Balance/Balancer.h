// Selects the server for a call. Performs no I/O; callers pass in the time and the random seed.
#pragma once

#include "balsamreel/Balance/Health.h"
#include "balsamreel/Balance/TypicalLatency.h"
#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/Random.h"
#include "balsamreel/Wire/Headers.h"
#include "balsamreel/Wire/Messages.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamreel::Balance {

/// Identifies a server by the node of its guard and by its own address.
struct ServerId {
    std::string node;
    Support::Endpoint address;

    auto operator<=>(const ServerId&) const = default;
    std::string text() const { return node + "/" + address.text(); }
};

/// Properties of a server as membership reports them.
struct ServerFacts {
    ServerId id;
    std::string service;
    std::string domain;
    std::string region;
    Support::Endpoint guard;
    std::uint32_t slots = 0;
    Wire::ServerState state = Wire::ServerState::Ready;
    std::uint64_t incarnation = 0; ///< of the guard; a new incarnation resets the entity
};

/// Result of one attempt as seen by the entry.
enum class AttemptResult : std::uint8_t { Answered, ///< the server responded without a server error
    ServerError, ///< the server responded with a server error (5xx)
    Refused, ///< the guard refused the attempt; it has not run
    Unreachable, ///< no connection; the attempt was never sent
    Broken, ///< sent, but no complete response arrived
    Abandoned ///< the caller disconnected
};

struct Feedback {
    AttemptResult result = AttemptResult::Answered;
    Support::Duration latency{};
    std::optional<Wire::LoadStamp> stamp;
    std::optional<Support::Instant> startedAt; ///< as passed to started(); if missing, derived from the latency
    std::string route; ///< latencies are compared within a route
};

/// An attempt that has not ended yet.
struct OpenAttempt {
    Support::Instant startedAt;
    std::string route;
};

/// State of one server at this entry.
struct ServerEntity {
    ServerFacts facts;
    unsigned inFlight = 0; ///< attempts of this entry
    std::vector<OpenAttempt> open; ///< the attempts counted by inFlight
    Wire::LoadStamp stamp;
    std::optional<Support::Instant> stampedAt;
    unsigned inFlightAtStamp = 0; ///< attempts of this entry that the stamp includes
    Health health;
    std::optional<Support::Instant> ejectedUntil;
    std::optional<Support::Instant> refusedUntil; ///< end of the wait that its guard sent with a refusal
    std::optional<Support::Instant> warmingSince; ///< start of the warm-up, during which its share rises
    std::optional<Support::Instant> slowedAt; ///< last report that noisy neighbours slow down its VM
    std::optional<Support::Instant> lastResponseAt; ///< last response or probe reply
};

/// State of one service at this entry.
struct ServiceEntity {
    std::vector<ServerEntity*> all; ///< routable servers
    std::vector<ServerEntity*> near; ///< routable servers in the failure domain of the entry
    std::vector<ServerEntity*> far; ///< routable servers in other failure domains
    TypicalLatency typical; ///< over all routes
    std::map<std::string, TypicalLatency> routes;
    std::optional<Support::Instant> usedAt; ///< time of the last choice
    ServerEntity* lastFar = nullptr; ///< the far server that was chosen last; its state is the most recent
};

struct NaivePolicy {
    std::map<std::string, std::size_t> nextIndex; ///< per service
};

/// Compares two random near servers and two random far servers; the lowest score wins.
struct BalancedPolicy { };

using Policy = std::variant<BalancedPolicy, NaivePolicy>;

/// The server that an attempt is sent to.
struct Choice {
    ServerId server;
    Support::Endpoint guard;
    std::uint64_t guardIncarnation = 0;
    Support::Instant chosenAt;
    bool hasAlternative = false; ///< another server of the service is eligible and not suspected
};

/// Keeps the state of all servers and selects among them. Not thread-safe.
class Balancer {
public:
    /// otherDomainCost is added to the score of servers in other failure domains of the same region.
    Balancer(std::string domain, std::uint64_t seed, Support::Duration otherDomainCost = defaultOtherDomainCost);
    static constexpr Support::Duration defaultOtherDomainCost = std::chrono::milliseconds(1);
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;

    /// Applies the current membership; keeps the state of servers that remain.
    void update(Support::Instant now, const std::vector<ServerFacts>&);

    /// Selects a server of the service that is not excluded; nullopt if there is none.
    std::optional<Choice> choose(Support::Instant now, const std::string& service, bool isNaive, const std::vector<ServerId>& excluded);

    /// Records that an attempt is sent. Its route determines from which latency on it counts as slow.
    void started(Support::Instant now, const ServerId&, const std::string& route = {});
    void finished(Support::Instant now, const ServerId&, const Feedback&);

    /// Records a probe reply of a guard. slowdown is the recent latency of its server relative to the usual one, if known.
    void probed(Support::Instant now, const ServerId&, const Wire::LoadStamp&, std::optional<double> slowdown);

    /// Records that noisy neighbours slow down the VM of a server, or no longer do. Calls that start there wait
    /// until the slowdown ends.
    void slowdownChanged(Support::Instant now, const ServerId&, bool isSlowed);

    const std::map<ServerId, ServerEntity>& servers() const { return servers_; }
    const std::map<std::string, ServiceEntity>& services() const { return services_; }
    bool knowsService(const std::string& service) const { return services_.contains(service); }

    /// Expected time in microseconds until the server responds to one more call; lower is better.
    double score(Support::Instant now, const ServerEntity&) const;

private:
    struct Chooser;
    struct Query;

    bool isFit(const Query&, const ServerEntity&) const;
    ServerEntity* pick(const Query&, const std::vector<ServerEntity*>&);
    ServerEntity* pickNearOrFar(const Query&);
    ServerEntity* chooseBalanced(Query&);
    bool hasAlternative(const Query&, const ServerEntity& chosen) const;
    void addToService(Support::Instant now, ServerEntity&, bool isNew);
    double distanceCostMicros(const ServerFacts&) const;
    double slowdown(Support::Instant now, const ServiceEntity&, const ServerEntity&) const;
    void learn(Support::Instant now, ServiceEntity&, ServerEntity&, const Feedback&);

    std::string domain_;
    Support::Duration otherDomainCost_;
    std::string region_; ///< region of the servers in this failure domain
    Support::Random random_;
    std::map<ServerId, ServerEntity> servers_;
    std::map<std::string, ServiceEntity> services_;
    std::optional<Support::Instant> firstServersAt_;
    NaivePolicy naive_;
};

} // namespace balsamreel::Balance
