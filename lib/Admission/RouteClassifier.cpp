#include "balsamreel/Admission/RouteClassifier.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Admission {

using Support::Duration;

namespace {

constexpr double routeSmoothing = 0.1;
constexpr double typicalSmoothing = 0.01;
// A route becomes long above the first multiple of the typical service time and short again below the second; the gap
// (hysteresis) keeps it from alternating.
constexpr double longThresholdFactor = 8;
constexpr double shortThresholdFactor = 4;

double microsOf(Duration duration)
{
    return std::max(1.0, static_cast<double>(duration.count()));
}

} // namespace

Lane RouteClassifier::laneOf(const Ticket& ticket) const
{
    if (ticket.hint != LaneHint::Learn)
        return ticket.hint == LaneHint::Long ? Lane::Long : Lane::Short;
    auto found = routes_.find(ticket.route);
    return found != routes_.end() && found->second.isLong ? Lane::Long : Lane::Short;
}

RouteClassifier::RouteTime* RouteClassifier::routeTime(const std::string& route)
{
    auto found = routes_.find(route);
    if (found != routes_.end())
        return &found->second;
    return routes_.size() < maximumRoutes ? &routes_[route] : nullptr;
}

// The geometric mean weights calls by their number, so that neither a few very long calls nor one trivial route shifts
// the threshold for the others.
double RouteClassifier::typicalMicros() const
{
    return hasTypical_ ? std::exp(logTypicalMicros_) : 0;
}

void RouteClassifier::reclassify(RouteTime& route) const
{
    double ratio = route.micros / std::max(1.0, typicalMicros());
    if (ratio > longThresholdFactor)
        route.isLong = true;
    else if (ratio < shortThresholdFactor)
        route.isLong = false;
}

void RouteClassifier::learn(const std::string& route, Duration service, bool isUnloaded)
{
    double micros = microsOf(service);
    logTypicalMicros_ += (hasTypical_ ? typicalSmoothing : 1.0) * (std::log(micros) - logTypicalMicros_);
    hasTypical_ = true;
    auto* time = routeTime(route);
    if (!time)
        return;
    time->micros += (time->micros > 0 ? routeSmoothing : 1.0) * (micros - time->micros);
    if (isUnloaded)
        time->unloadedMicros += (time->unloadedMicros > 0 ? routeSmoothing : 1.0) * (micros - time->unloadedMicros);
    reclassify(*time);
}

double RouteClassifier::slowdown(const std::string& route, Duration service) const
{
    auto found = routes_.find(route);
    bool isKnown = found != routes_.end() && found->second.unloadedMicros > 0;
    return isKnown ? microsOf(service) / found->second.unloadedMicros : 1;
}

void RouteClassifier::learnAtLeast(const std::string& route, Duration elapsed)
{
    auto* time = hasTypical_ ? routeTime(route) : nullptr;
    if (!time || time->micros >= microsOf(elapsed))
        return;
    // Raise the estimate at once only for a route without finished calls or one that is already long; a single slow call
    // is weak evidence for a known short route.
    if (time->micros == 0 || time->isLong)
        time->micros = microsOf(elapsed);
    reclassify(*time);
}

double RouteClassifier::expectedMicros(const std::string& route) const
{
    auto found = routes_.find(route);
    return found != routes_.end() && found->second.micros > 0 ? found->second.micros : typicalMicros();
}

} // namespace balsamreel::Admission
