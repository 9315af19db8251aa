// Learns the service time of each route and which routes are long. Performs no I/O.
#pragma once

#include "balsamreel/Admission/Ticket.h"

#include <string>
#include <unordered_map>

namespace balsamreel::Admission {

/// Tracks service times per route and derives the lane of a ticket from them. Not thread-safe.
class RouteClassifier {
public:
    /// The lane of a ticket; a configured hint overrides the learned class.
    Lane laneOf(const Ticket&) const;

    /// Records the service time of a finished call; isUnloaded: less than half of the limit was in use when it started.
    void learn(const std::string& route, Support::Duration service, bool isUnloaded);

    /// Service time relative to that of the route without load; 1 if the latter is unknown.
    double slowdown(const std::string& route, Support::Duration service) const;

    /// Records a lower bound of a service time; can only raise the estimate.
    void learnAtLeast(const std::string& route, Support::Duration elapsed);

    /// Smoothed service time of the route in microseconds; typicalMicros() if the route is unknown.
    double expectedMicros(const std::string& route) const;

    /// Smoothed geometric mean of the service times of all calls in microseconds; 0 before the first call.
    double typicalMicros() const;

    static constexpr std::size_t maximumRoutes = 1024; ///< further routes are not tracked

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
