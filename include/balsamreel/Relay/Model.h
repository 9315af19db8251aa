// What the event-driven node works on: routes, requests, answers, servers. Plain data, no names of any wire format.
#pragma once

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

/// One target of a route and its part of the requests.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService&) const = default;
};

/// One rule of the configuration.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    std::vector<WeightedService> targets; ///< never empty
    bool isIdempotent = false;
    Duration timeout{}; ///< longest time a caller is kept waiting
    Duration targetLatency{}; ///< an answer within it has its full value
    std::uint32_t maximumServers = 1; ///< servers that may get one attempt of a caller
    std::uint32_t priority = 0; ///< 0 is the most urgent
};

/// What the configuration says of one service.
struct ServiceConfig {
    std::string name;
    std::string healthPath;
    std::uint32_t maximumConnections = 0; ///< to one server, from all callers together
};

/// Bounds on what a caller may send.
struct CallerLimits {
    std::uint64_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 67'108'864;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// A whole accepted configuration; a higher version replaces a lower one.
struct RoutingConfig {
    std::uint64_t version = 0;
    CallerLimits limits;
    std::vector<Route> routes;
    std::vector<ServiceConfig> services;
};

struct Header {
    std::string name;
    std::string value;

    auto operator<=>(const Header&) const = default;
};

/// What a caller asks for, as it is handed on.
struct Request {
    std::string callerAttemptId; ///< given by the caller; one per attempt
    std::string method;
    std::string target; ///< path and query, unchanged
    std::string host;
    std::vector<Header> headers; ///< end-to-end ones, without those that the node sets itself
    std::string body;
};

/// A whole answer of a server.
struct ServerResponse {
    std::uint32_t status = 0;
    std::vector<Header> headers; ///< end-to-end ones
    std::string body;
};

/// Why a node gave an answer of its own.
enum class Reason : std::uint8_t { None,
    NoConfiguration,
    NoServer,
    Overloaded,
    DeadlineTooNear,
    ServerSlowed, ///< neighbours on its VM slow it down
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
    ShuttingDown };

constexpr Support::NameTable<Reason, 18> reasonNames{{{Reason::None, "none"}, {Reason::NoConfiguration, "no-configuration"}, {Reason::NoServer, "no-server"}, {Reason::Overloaded, "overloaded"}, {Reason::DeadlineTooNear, "deadline-too-near"}, {Reason::ServerSlowed, "server-slowed"}, {Reason::ServerLeaving, "server-leaving"}, {Reason::WrongServer, "wrong-server"}, {Reason::ServerShed, "server-shed"}, {Reason::ServerUnreachable, "server-unreachable"}, {Reason::ServerConnectionLost, "server-broke"}, {Reason::BadResponse, "bad-answer"}, {Reason::PeerLost, "peer-lost"}, {Reason::TimedOut, "timed-out"}, {Reason::CallerLeft, "caller-left"}, {Reason::NoRoute, "no-route"}, {Reason::BadRequest, "bad-request"}, {Reason::ShuttingDown, "shutting-down"}}};

/// The attempt did not run and will not.
struct NotRun {
    Reason reason = Reason::None;
    Duration expectedWait{}; ///< after which there should be room
    bool hasReachedServer = false; ///< the server itself refused it
};

/// The attempt may have run; nobody knows its result.
struct Unknown {
    Reason reason = Reason::None;
};

/// How an attempt at one server ended.
using Outcome = std::variant<ServerResponse, NotRun, Unknown>;

/// What a server tells of its load with an answer.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t slowdownPercent = 100; ///< how long work takes now; 100 is as usual
};

enum class ServerState : std::uint8_t { Ready,
    Draining };

/// What a server says of itself, regularly.
struct Announcement {
    std::string instance; ///< id of the running server process
    Support::Endpoint address;
    std::string service;
    std::string domain;
    std::string softwareVersion;
    std::uint32_t slots = 0;
    ServerState state = ServerState::Ready;
    std::uint64_t sequence = 0; ///< rises with each announcement of one process
    std::int64_t processStartMillis = 0; ///< wall time of the process's start; tells apart processes with one id
    Duration coldTime{}; ///< how much longer the server is slow after its start
};

/// Names of the headers that carry what the node reads or sets.
struct HeaderNames {
    std::string callerAttemptId;
    std::string timeoutMillis;
    std::string expectedInstance;
    std::string instance;
    std::string originService;
    std::string load;
    std::string notRun;
    std::string responseProof;
};

/// What the process knows at its start.
struct NodeSettings {
    std::string name;
    std::string domain;
    std::string service; ///< of the server beside this node
    Support::Endpoint server; ///< where that server listens
    Support::Endpoint callerAddress; ///< callers on this VM
    Support::Endpoint readinessAddress;
    Support::Endpoint announcementAddress;
    Support::Endpoint peerAddress; ///< by which other nodes reach this one
    Support::Endpoint peerBindAddress; ///< where this node listens for them; mostly the same
    Support::Endpoint metricsAddress;
    Support::Endpoint store;
    std::uint32_t maximumDescriptors = 1024; ///< files and sockets that the process may have open
    std::uint64_t maximumMemory = 256 * 1024 * 1024; ///< of the process, in bytes
    int logDescriptor = 1; ///< standard output
    Duration shutdownGrace = std::chrono::seconds(6);
    double retryRatio = 0.2; ///< fleet-wide repeats per request of a service
    double retrySlack = 62; ///< fleet-wide repeats of a service on top, per window
    Duration retryWindow = std::chrono::seconds(10);
    double probesPerSecond = 60; ///< of one server, at most
    Duration otherDomainCost = std::chrono::milliseconds(100); ///< waiting that is worth avoiding bytes between failure domains
};

} // namespace balsamreel::Relay
