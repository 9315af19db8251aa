// The configuration after all checks: services and the routes to them.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/NameTable.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamreel::Config {

/// Policy that selects a server for a call.
enum class PolicyKind : std::uint8_t { Balanced,
    Naive };

constexpr Support::NameTable<PolicyKind, 2> policyNames{{{PolicyKind::Balanced, "balanced"}, {PolicyKind::Naive, "naive"}}};

/// Expected service time class of a route's calls; Auto derives it from measured service times.
enum class WorkClass : std::uint8_t { Auto,
    Short,
    Long };

constexpr Support::NameTable<WorkClass, 3> workClassNames{{{WorkClass::Auto, "auto"}, {WorkClass::Short, "short"}, {WorkClass::Long, "long"}}};

struct Service {
    std::string name;
    PolicyKind policy = PolicyKind::Balanced;
    Support::Duration deadline = std::chrono::seconds(10); ///< default time limit of a call that does not state one
    double retryRatio = 0.1; ///< maximum number of retries per first attempt
    double longShare = 0.5; ///< maximum share of a server's slots for long calls
    double probesPerSecond = 5; ///< maximum rate of probes that one node sends for this service
    Support::Duration maximumQueueWait = std::chrono::milliseconds(500);
    double limitFactor = 1.5; ///< maximum of the adaptive concurrency limit, as a multiple of a server's announced slots

    bool operator==(const Service&) const = default;
};

struct Route {
    std::string name;
    std::string service;
    std::string path; ///< prefix that the request's path must have
    std::vector<std::string> methods; ///< HTTP methods; empty for all
    bool isAtMostOnce = false;
    WorkClass workClass = WorkClass::Auto;
    unsigned priority = defaultPriority; ///< 0 is the most urgent
    Support::Duration deadline = Support::Duration::zero(); ///< time limit of a call; zero for the service's default

    bool operator==(const Route&) const = default;

    static constexpr unsigned defaultPriority = 5;
    static constexpr unsigned lowestPriority = 9;
};

struct Configuration {
    std::map<std::string, Service> services;
    std::map<std::string, Route> routes;

    bool operator==(const Configuration&) const = default;
};

/// Returns the route that matches the method and has the longest path that is a prefix of the request's path, or null.
/// If paths are equal, a route that names the method takes precedence over a route for all methods. Searches all
/// routes linearly; RouteIndex returns the same result faster.
const Route* findRoute(const Configuration&, const std::string& method, const std::string& path);

} // namespace balsamreel::Config
