// The checked configuration: services and the routes that lead to them.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/NameTable.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamreel::Config {

/// How a server is chosen.
enum class PolicyKind : std::uint8_t { Balanced,
    Naive };

constexpr Support::NameTable<PolicyKind, 2> policyNames{{{PolicyKind::Balanced, "balanced"}, {PolicyKind::Naive, "naive"}}};

/// How long the work of a route runs; Auto learns it from service times.
enum class WorkClass : std::uint8_t { Auto,
    Short,
    Long };

constexpr Support::NameTable<WorkClass, 3> workClassNames{{{WorkClass::Auto, "auto"}, {WorkClass::Short, "short"}, {WorkClass::Long, "long"}}};

struct Service {
    std::string name;
    PolicyKind policy = PolicyKind::Balanced;
    Support::Duration deadline = std::chrono::seconds(10); ///< for calls that bring none
    double retryRatio = 0.1; ///< retries per first attempt, at most
    double longShare = 0.5; ///< largest share of a server's slots for long work
    double probesPerSecond = 5; ///< most probes one node sends for this service
    Support::Duration maximumQueueWait = std::chrono::milliseconds(500);
    double limitFactor = 1.5; ///< largest learned limit as a multiple of a server's announced slots

    bool operator==(const Service&) const = default;
};

struct Route {
    std::string name;
    std::string service;
    std::string path; ///< prefix of the request's path
    std::vector<std::string> methods; ///< any if empty
    bool isAtMostOnce = false;
    WorkClass workClass = WorkClass::Auto;
    unsigned priority = defaultPriority; ///< 0 is the most urgent
    Support::Duration deadline = Support::Duration::zero(); ///< zero: the service's

    bool operator==(const Route&) const = default;

    static constexpr unsigned defaultPriority = 5;
    static constexpr unsigned lowestPriority = 9;
};

struct Configuration {
    std::map<std::string, Service> services;
    std::map<std::string, Route> routes;

    bool operator==(const Configuration&) const = default;
};

/// The route with the longest path that is a prefix of the request's path and that takes the method; null if none.
/// Of routes with the same path, one that names the method goes before one that takes any. Looks at every route;
/// RouteIndex gives the same answer faster.
const Route* findRoute(const Configuration&, const std::string& method, const std::string& path);

} // namespace balsamreel::Config
