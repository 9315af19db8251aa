// Which server a call goes to. Pure decisions: time and randomness are passed in or seeded.
#pragma once

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
};

/// One server as this entry knows it.
struct ServerEntity {
    ServerFacts facts;
    unsigned inFlight = 0; ///< own attempts
    Wire::LoadStamp stamp;
    std::optional<Support::Instant> stampedAt;
    double latencyMicros = 0; ///< smoothed, of answered attempts
    double errorShare = 0; ///< smoothed share of failed attempts
    std::optional<Support::Instant> ejectedUntil;
    unsigned ejections = 0; ///< in a row
    Support::Instant firstSeen;
};

struct NaivePolicy {
    std::map<std::string, std::size_t> nextIndex; ///< per service
};

/// Two random choices, the lower score wins.
struct BalancedPolicy { };

using Policy = std::variant<BalancedPolicy, NaivePolicy>;

/// Where the attempt goes.
struct Choice {
    ServerId server;
    Support::Endpoint guard;
    std::uint64_t guardIncarnation = 0;
};

/// The table of servers and the systems that run over it. Not thread-safe.
class Balancer {
public:
    Balancer(std::string domain, std::uint64_t seed);

    /// Takes over what membership knows; keeps what was learned of servers that stay.
    void update(Support::Instant now, const std::vector<ServerFacts>&);

    /// Picks a server of the service that is not excluded; nothing if there is none.
    std::optional<Choice> choose(Support::Instant now, const std::string& service, bool isNaive, const std::vector<ServerId>& excluded);

    void started(Support::Instant now, const ServerId&);
    void finished(Support::Instant now, const ServerId&, const Feedback&);

    const std::map<ServerId, ServerEntity>& servers() const { return servers_; }
    bool knowsService(const std::string& service) const { return services_.contains(service); }

    /// Expected wait and cost of one more call on the server; lower is better.
    double score(Support::Instant now, const ServerEntity&) const;

private:
    struct Chooser;

    std::string domain_;
    Support::Random random_;
    std::map<ServerId, ServerEntity> servers_;
    std::map<std::string, std::vector<ServerId>> services_; ///< servers that may be chosen
    NaivePolicy naive_;
};

} // namespace balsamreel::Balance
