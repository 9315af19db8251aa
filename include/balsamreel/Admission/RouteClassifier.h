// Learns how long each route's work runs and which routes are long. Pure decisions.
#pragma once

#include "balsamreel/Admission/Ticket.h"

#include <string>
#include <unordered_map>

namespace balsamreel::Admission {

/// Service times per route, and the lane that follows from them. Not thread-safe.
class RouteClassifier {
public:
    /// The lane of a ticket; a hint wins over what was learned.
    Lane laneOf(const Ticket&) const;

    /// Work of the route has ended after this time; isUnloaded: the server was at most half busy when it began.
    void learn(const std::string& route, Support::Duration service, bool isUnloaded);

    /// A service time relative to the route's without load; 1 if that is unknown.
    double slowdown(const std::string& route, Support::Duration service) const;

    /// Work of the route has run for at least this time; raises the estimate only.
    void learnAtLeast(const std::string& route, Support::Duration elapsed);

    /// Smoothed service time of the route in microseconds; the typical one if the route is unknown.
    double expectedMicros(const std::string& route) const;

    /// Geometric mean of all calls' service times in microseconds; 0 before the first.
    double typicalMicros() const;

    static constexpr std::size_t maximumRoutes = 1024; ///< further ones are never learned

private:
    struct RouteTime {
        double micros = 0;
        double unloadedMicros = 0;
        bool isLong = false;
    };

    void reclassify(RouteTime&) const;
    RouteTime* routeTime(const std::string& route);

    std::unordered_map<std::string, RouteTime> routes_;
    double logTypicalMicros_ = 0;
    bool hasTypical_ = false;
};

} // namespace balsamreel::Admission
