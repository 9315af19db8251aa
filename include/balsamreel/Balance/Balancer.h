// Which server a call goes to. Pure decisions: time and randomness are passed in or seeded.
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

/// Names a server: its guard's node and the server's own address.
struct ServerId {
    std::string node;
    Support::Endpoint address;

    auto operator<=>(const ServerId&) const = default;
    std::string text() const { return node + "/" + address.text(); }
};

/// What membership says of a server.
struct ServerFacts {
    ServerId id;
    std::string service;
    std::string domain;
    std::string region;
    Support::Endpoint guard;
    std::uint32_t slots = 0;
    Wire::ServerState state = Wire::ServerState::Ready;
    std::uint64_t incarnation = 0; ///< of the guard; a new one starts the entity afresh
};

/// How one attempt ended, as the entry saw it.
enum class AttemptResult : std::uint8_t { Answered, ///< the server's answer, no server error
    ServerError, ///< the server's answer was an error of its own (5xx)
    Refused, ///< the guard refused it as not run
    Unreachable, ///< no connection; never sent
    Broken, ///< sent, no whole answer
    Abandoned ///< the caller left
};

struct Feedback {
    AttemptResult result = AttemptResult::Answered;
    Support::Duration latency{};
    std::optional<Wire::LoadStamp> stamp;
    std::optional<Support::Instant> startedAt; ///< as given to started(); without it the latency tells
    std::string route; ///< latencies are compared within a route
};

/// An attempt that has not ended yet.
struct OpenAttempt {
    Support::Instant startedAt;
    std::string route;
};

/// One server as this entry knows it.
struct ServerEntity {
    ServerFacts facts;
    unsigned inFlight = 0; ///< own attempts
    std::vector<OpenAttempt> open; ///< those that count as inFlight
    Wire::LoadStamp stamp;
    std::optional<Support::Instant> stampedAt;
    unsigned inFlightAtStamp = 0; ///< own attempts that the stamp counts too
    Health health;
    std::optional<Support::Instant> ejectedUntil;
    std::optional<Support::Instant> refusedUntil; ///< its guard refused work and named a wait
    std::optional<Support::Instant> warmingSince; ///< gets a rising share from then on
    std::optional<Support::Instant> slowedAt; ///< its VM was said to be slowed down by neighbours
    std::optional<Support::Instant> lastResponseAt; ///< last answer or probe reply
};

/// What an entry knows of one service.
struct ServiceEntity {
    std::vector<ServerEntity*> all; ///< that may be chosen
    std::vector<ServerEntity*> near; ///< in the entry's own failure domain
    std::vector<ServerEntity*> far;
    TypicalLatency typical; ///< over all routes
    std::map<std::string, TypicalLatency> routes;
    std::optional<Support::Instant> usedAt; ///< last choice
    ServerEntity* lastFar = nullptr; ///< the last far server chosen, of which most is known
};

struct NaivePolicy {
    std::map<std::string, std::size_t> nextIndex; ///< per service
};

/// Two random choices among the near servers and two among the others; the lowest score wins.
struct BalancedPolicy { };

using Policy = std::variant<BalancedPolicy, NaivePolicy>;

/// Where the attempt goes.
struct Choice {
    ServerId server;
    Support::Endpoint guard;
    std::uint64_t guardIncarnation = 0;
    Support::Instant chosenAt;
    bool hasAlternative = false; ///< another server of the service is fit and not suspected
};

/// The table of servers and the systems that run over it. Not thread-safe.
class Balancer {
public:
    /// The other-domain cost is what a trip to a server in another failure domain of the region counts for.
    Balancer(std::string domain, std::uint64_t seed, Support::Duration otherDomainCost = defaultOtherDomainCost);
    static constexpr Support::Duration defaultOtherDomainCost = std::chrono::milliseconds(1);
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;

    /// Takes over what membership knows; keeps what was learned of servers that stay.
    void update(Support::Instant now, const std::vector<ServerFacts>&);

    /// Picks a server of the service that is not excluded; nothing if there is none.
    std::optional<Choice> choose(Support::Instant now, const std::string& service, bool isNaive, const std::vector<ServerId>& excluded);

    /// An attempt is sent; its route tells how long it may take before it counts as slow.
    void started(Support::Instant now, const ServerId&, const std::string& route = {});
    void finished(Support::Instant now, const ServerId&, const Feedback&);

    /// A guard answered a probe; slowness is its server's latency relative to the usual one, if it knows.
    void probed(Support::Instant now, const ServerId&, const Wire::LoadStamp&, std::optional<double> slowdown);

    /// A server's VM is slowed down by neighbours, or no longer; work that starts there waits for its end.
    void slowdownChanged(Support::Instant now, const ServerId&, bool isSlowed);

    const std::map<ServerId, ServerEntity>& servers() const { return servers_; }
    const std::map<std::string, ServiceEntity>& services() const { return services_; }
    bool knowsService(const std::string& service) const { return services_.contains(service); }

    /// Expected microseconds until one more call on the server is answered; lower is better.
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
    std::string region_; ///< of the servers in this failure domain
    Support::Random random_;
    std::map<ServerId, ServerEntity> servers_;
    std::map<std::string, ServiceEntity> services_;
    std::optional<Support::Instant> firstServersAt_;
    NaivePolicy naive_;
};

} // namespace balsamreel::Balance
