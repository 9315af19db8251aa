// What the parts of one node share.
#pragma once

#include "balsamreel/Balance/Balancer.h"
#include "balsamreel/Config/Files.h"
#include "balsamreel/Config/RouteIndex.h"
#include "balsamreel/Node/AttemptPolicy.h"
#include "balsamreel/Node/Exchange.h"
#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/Metrics.h"
#include "balsamreel/Support/Timeline.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Node {

struct NodeSettings {
    std::string node;
    std::string domain;
    std::string region;
    std::string deployment; ///< prefix of this deployment's objects in the store
    Support::Endpoint listen; ///< callers
    Support::Endpoint peer; ///< other nodes, TCP and UDP
    std::optional<Support::Endpoint> peerBind; ///< where TCP of peer is bound if a relay stands in front of it
    Support::Endpoint admin;
    std::optional<Support::Endpoint> store;
    std::vector<Support::Endpoint> seeds;
    bool isNaive = false; ///< the baseline policy for all services
    Support::Duration grace = std::chrono::seconds(30); ///< longest wait for calls in flight at shutdown
    unsigned maximumCallers = 600;
};

/// A configuration in force.
struct ActiveConfig {
    ActiveConfig(Config::Head acceptedHead, Config::Configuration checked)
        : head(std::move(acceptedHead))
        , configuration(std::move(checked))
        , routes(configuration)
    {
    }
    ActiveConfig(const ActiveConfig&) = delete;
    ActiveConfig& operator=(const ActiveConfig&) = delete;

    Config::Head head;
    Config::Configuration configuration;
    Config::RouteIndex routes; ///< of the configuration above
};

/// The configuration in force; only higher generations replace it. Thread-safe.
class ConfigHolder {
public:
    std::shared_ptr<const ActiveConfig> get() const;

    /// Takes the head if its generation is higher; false if not.
    bool apply(const Config::Head&);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const ActiveConfig> active_;
};

/// Counts calls in flight, for a graceful end.
class InFlight {
public:
    class Scope {
    public:
        explicit Scope(InFlight& counter)
            : counter_(counter)
        {
            ++counter_.count_;
        }
        ~Scope() { --counter_.count_; }
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

    private:
        InFlight& counter_;
    };

    int count() const { return count_; }

private:
    std::atomic<int> count_{0};
};

/// Shared by the services of a node.
struct Context {
    explicit Context(NodeSettings nodeSettings, std::uint64_t startedMicros, std::uint64_t seed)
        : settings(std::move(nodeSettings))
        , incarnation(startedMicros)
        , attemptIncarnation(seed)
        , timeline(settings.node)
        , balancer(settings.domain, seed)
    {
    }

    NodeSettings settings;
    std::atomic<std::uint64_t> incarnation; ///< wall micros at the start; raised if an earlier start had a later one
    std::uint64_t attemptIncarnation; ///< random, so that no two starts share attempt ids
    std::atomic<std::uint64_t> nextAttempt{1};
    Support::Timeline timeline;
    Support::Metrics metrics;
    ConfigHolder config;
    ConnectionPool pool;
    InFlight inFlight;
    std::atomic<bool> isLeaving{false}; ///< answers close their connections
    std::atomic<bool> refusesCalls{false}; ///< late in a drain: callers are sent away as not run

    AttemptPolicy attemptPolicy;
    std::mutex balancerMutex;
    Balance::Balancer balancer; ///< guarded by balancerMutex
};

} // namespace balsamreel::Node
