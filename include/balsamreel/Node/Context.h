// State shared by the components of one node.
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
    std::string deployment; ///< prefix of the deployment's objects in the store
    Support::Endpoint listen; ///< address for callers
    Support::Endpoint peer; ///< address for other nodes, TCP and UDP
    std::optional<Support::Endpoint> peerBind; ///< TCP bind address if a relay accepts the connections to peer and forwards them
    Support::Endpoint admin;
    std::optional<Support::Endpoint> store;
    std::vector<Support::Endpoint> seeds;
    bool isNaive = false; ///< use the baseline policy, round robin without limits, for all services
    Support::Duration grace = std::chrono::seconds(30); ///< maximum wait for calls in flight at shutdown
    unsigned maximumCallers = 600;
};

/// An accepted configuration that this node applies.
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
    Config::RouteIndex routes; ///< refers to configuration
};

/// Holds the active configuration, which only a higher generation replaces. Thread-safe.
class ConfigHolder {
public:
    std::shared_ptr<const ActiveConfig> get() const;

    /// Activates the configuration of the head. Returns false if its generation is not higher or its text is invalid.
    bool apply(const Config::Head&);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const ActiveConfig> active_;
};

/// Counts calls in flight, so that a graceful shutdown can wait for them.
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

/// State shared by the services of one node.
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
    std::atomic<std::uint64_t> incarnation; ///< wall-clock microseconds at process start; raised if an earlier run has used a later value
    std::uint64_t attemptIncarnation; ///< random, so that no two runs share attempt ids
    std::atomic<std::uint64_t> nextAttempt{1};
    Support::Timeline timeline;
    Support::Metrics metrics;
    ConfigHolder config;
    ConnectionPool pool;
    InFlight inFlight;
    std::atomic<bool> isLeaving{false}; ///< each response closes its connection
    std::atomic<bool> refusesCalls{false}; ///< late in a drain: calls are refused with the outcome not-run

    AttemptPolicy attemptPolicy;
    std::mutex balancerMutex;
    Balance::Balancer balancer; ///< guarded by balancerMutex
};

} // namespace balsamreel::Node
