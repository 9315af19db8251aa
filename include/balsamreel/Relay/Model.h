// Data types of the event-driven node: routes, requests, responses, servers. Independent of all wire formats.
#pragma once

#include "balsamreel/Relay/Body.h"
#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/NameTable.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace balsamreel::Relay {

using Support::Duration;
using Support::Instant;

/// A service that a route sends requests to, and its relative weight.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService&) const = default;
};

/// One routing rule of the configuration.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< of the path; begins and ends with a slash
    std::vector<WeightedService> targets; ///< never empty
    bool isIdempotent = false;
    Duration timeout{}; ///< the longest time that a caller waits for its response
    Duration targetLatency{}; ///< latency target: a response within it has its full value
    std::uint32_t maximumServers = 1; ///< number of servers that may receive a caller's request, retries included
    std::uint32_t priority = 0; ///< 0 is the most urgent
    bool isPublic = false; ///< requests need no key of a client account
};

/// Configuration of one service.
struct ServiceConfig {
    std::string name;
    std::string healthPath;
    std::uint32_t maximumConnections = 0; ///< per server, for all callers together
    Duration coldTime{}; ///< for how long a server is cold after its start
    double coldRequestsPerSecond = 0; ///< that a cold server takes from all nodes together; 0: no limit
};

/// A client account: who sends requests, and the limit on them.
struct ClientAccount {
    std::string name;
    std::vector<std::string> keys; ///< a request with one of these belongs to the account
    std::optional<std::uint32_t> priority; ///< goes before that of the route; 0 is the most urgent
    double requestsPerSecond = 0; ///< through all nodes together; 0: no limit
    double burst = 0; ///< requests that may be sent in excess of the rate
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
    std::uint64_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 67'108'864;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// A complete, accepted configuration. A higher version replaces a lower one.
struct RoutingConfig {
    std::uint64_t version = 0;
    CallerLimits limits;
    std::vector<Route> routes;
    std::vector<ServiceConfig> services;
    std::vector<ClientAccount> accounts; ///< empty: requests need no key
};

struct Header {
    std::string name;
    std::string value;

    auto operator<=>(const Header&) const = default;
};

/// A caller's request as it is forwarded.
struct Request {
    std::string callerAttemptId; ///< set by the caller, which uses a new one for each of its own attempts
    std::string method;
    std::string target; ///< path and query, unchanged
    std::string host;
    std::vector<Header> headers; ///< end-to-end headers, except those that the node sets itself
    Body body;
    std::shared_ptr<const MemoryReservation> headerMemory; ///< counts what all copies of the headers take; null: not counted
};

/// A complete response of a server, or of the node itself.
struct ServerResponse {
    std::uint32_t status = 0;
    std::vector<Header> headers; ///< end-to-end headers
    Body body;
};

/// Why a call or an attempt did not end with a server's response.
enum class Reason : std::uint8_t { None,
    NoConfiguration,
    NoServer,
    Overloaded,
    DeadlineTooNear,
    ServerSlowed, ///< by other VMs on the same host
    ServerLeaving,
    WrongServer,
    ServerShed,
    ServerUnreachable,
    ServerConnectionLost,
    BadResponse,
    PeerLost,
    TimedOut,
    CallerLeft,
    NoRoute,
    BadRequest,
    ShuttingDown,
    RateLimited, ///< by the rate that the server has named
    OutcomeDropped, ///< the guard no longer keeps the outcome
    UnknownKey, ///< the request has no key of a client account
    QuotaExceeded, ///< the client account has used up its limit
    ServerCold, ///< the server takes only a limited rate of requests while it is cold
    DomainEvacuated, ///< the operator has taken the failure domain of the server out of service
    MemoryExhausted }; ///< a node has no memory for the request or the response

constexpr Support::NameTable<Reason, 25> reasonNames{{{Reason::None, "none"}, {Reason::NoConfiguration, "no-configuration"}, {Reason::NoServer, "no-server"}, {Reason::Overloaded, "overloaded"}, {Reason::DeadlineTooNear, "deadline-too-near"}, {Reason::ServerSlowed, "server-slowed"}, {Reason::ServerLeaving, "server-leaving"}, {Reason::WrongServer, "wrong-server"}, {Reason::ServerShed, "server-shed"}, {Reason::ServerUnreachable, "server-unreachable"}, {Reason::ServerConnectionLost, "server-broke"}, {Reason::BadResponse, "bad-answer"}, {Reason::PeerLost, "peer-lost"}, {Reason::TimedOut, "timed-out"}, {Reason::CallerLeft, "caller-left"}, {Reason::NoRoute, "no-route"}, {Reason::BadRequest, "bad-request"}, {Reason::ShuttingDown, "shutting-down"}, {Reason::RateLimited, "rate-limited"}, {Reason::OutcomeDropped, "outcome-dropped"}, {Reason::UnknownKey, "unknown-key"}, {Reason::QuotaExceeded, "quota-exceeded"}, {Reason::ServerCold, "server-cold"}, {Reason::DomainEvacuated, "domain-evacuated"}, {Reason::MemoryExhausted, "memory-exhausted"}}};

/// The attempt did not run and never will.
struct NotRun {
    Reason reason = Reason::None;
    Duration expectedWait{}; ///< time until capacity is expected to be free
    bool hasReachedServer = false; ///< the server itself refused it
};

/// The attempt may have run, and its result is not known.
struct Unknown {
    Reason reason = Reason::None;
};

/// How an attempt at one server ended.
using Outcome = std::variant<ServerResponse, NotRun, Unknown>;

/// The load that a server reports with a response.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t slowdownPercent = 100; ///< ratio of the current to the usual service time; 100 = usual
};

/// Identifies one run of a server. Instance ids are used again.
struct ServerProcess {
    std::string instance;
    std::int64_t startMillis = 0; ///< wall-clock time of its start; 0: not known yet
};

/// What a server states with a response about the requests that it takes.
struct ServerNotice {
    std::optional<double> requestsPerSecond; ///< limit on the requests of all nodes together; null: no limit
    bool isLeaving = false; ///< it is about to end and takes no new requests

    bool operator==(const ServerNotice&) const = default;
};

enum class ServerState : std::uint8_t { Ready,
    Draining };

/// A server's periodic report about itself.
struct Announcement {
    std::string instance; ///< id of this run of the server's process
    Support::Endpoint address;
    std::string service;
    std::string domain;
    std::string softwareVersion;
    std::uint32_t slots = 0;
    ServerState state = ServerState::Ready;
    std::uint64_t sequence = 0; ///< rises with each announcement of one process
    std::int64_t processStartMillis = 0; ///< wall-clock time when the process started; distinguishes processes with the same id
    Duration coldTime{}; ///< for how much longer the server is slow after its start
};

/// Names of the headers that the node reads or sets.
struct HeaderNames {
    std::string callerAttemptId;
    std::string timeoutMillis;
    std::string expectedInstance;
    std::string instance;
    std::string originService;
    std::string load;
    std::string notRun;
    std::string responseProof;
    std::string account; ///< name of the client account, set for the server
    std::string coldMillis; ///< for how much longer the server is cold, in its health responses
};

/// Settings of the node's process.
struct NodeSettings {
    std::string name;
    std::string domain;
    std::string service; ///< of the server beside this node
    Support::Endpoint server; ///< address at which that server listens
    Support::Endpoint callerAddress; ///< address for callers on this VM
    Support::Endpoint readinessAddress;
    Support::Endpoint announcementAddress;
    Support::Endpoint peerAddress; ///< at which other nodes reach this one
    Support::Endpoint peerBindAddress; ///< at which this node listens for peers; usually the same
    Support::Endpoint metricsAddress;
    Support::Endpoint store;
    std::uint32_t maximumDescriptors = 1024; ///< limit on open files and sockets of the process
    std::uint64_t maximumMemory = 256 * 1024 * 1024; ///< of the process, in bytes
    int logDescriptor = 1; ///< standard output
    Duration shutdownGrace = std::chrono::seconds(6);
    double retryRatio = 0.2; ///< fleet-wide retries per request to a service
    double retrySlack = 62; ///< additional fleet-wide retries to a service per window
    Duration retryWindow = std::chrono::seconds(10);
    double probesPerSecond = 60; ///< upper limit per server
    Duration quotaWindow = std::chrono::seconds(5); ///< in which the requests of a client account are counted
    double quotaOverage = 0; ///< share by which an account may exceed its limit in a window
    double quotaSlack = 0; ///< requests by which an account may exceed its limit in a window, besides
    double coldOverage = 1; ///< factor by which the requests to a cold server may exceed its limit in a second
    double coldSlack = 0; ///< requests by which they may exceed it, besides
    bool followsEvacuations = false; ///< the operator may take failure domains out of service
    Duration storeRecoveryTime = std::chrono::seconds(15); ///< in which others write again what a store from an older copy lacks
    double secondAttemptShare = 0; ///< second attempts per idempotent request; 0: none
    Duration otherDomainCost = std::chrono::milliseconds(100); ///< waiting time that is accepted to avoid traffic between failure domains
};

} // namespace balsamreel::Relay
