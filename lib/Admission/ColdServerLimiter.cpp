#include "balsamreel/Admission/ColdServerLimiter.h"

#include <algorithm>

namespace balsamreel::Admission {

using Support::Duration;
using Support::Instant;

// Half of the tolerated excess is left for requests that are sent apart and arrive together.
double ColdServerLimiter::burst() const
{
    constexpr double usedShareOfExcess = 0.5;
    double excess = (options_.overage - 1) * options_.requestsPerSecond + options_.slack;
    return std::max(1.0, excess * usedShareOfExcess);
}

void ColdServerLimiter::setOptions(Instant now, const ColdServerOptions& options)
{
    if (options == options_)
        return;
    options_ = options;
    bool wasCold = isCold();
    limiter_ = RequestRateLimiter(burst());
    if (wasCold && isEnabled())
        limiter_.setLimit(now, options_.requestsPerSecond);
}

void ColdServerLimiter::report(Instant now, std::optional<Duration> remaining)
{
    if (remaining)
        reportedUntil_ = now + *remaining;
    sentSinceReport_ = 0;
}

void ColdServerLimiter::assumeCold(Instant now, Duration age)
{
    assumedUntil_ = std::max(assumedUntil_, now + options_.coldTime - age);
}

bool ColdServerLimiter::update(Instant now)
{
    bool shouldLimit = isEnabled() && now < std::max(reportedUntil_, assumedUntil_);
    if (shouldLimit == isCold())
        return false;
    limiter_.setLimit(now, shouldLimit ? std::optional(options_.requestsPerSecond) : std::nullopt);
    return true;
}

// A request without a reservation was admitted before the server became cold.
bool ColdServerLimiter::trySend(Instant now, unsigned priority, bool hasReservation)
{
    if (!isEnabled())
        return true;
    bool maySend = (hasReservation && limiter_.takeReserved(now)) || limiter_.tryTake(now, priority);
    if (maySend)
        ++sentSinceReport_;
    return maySend;
}

// Requests that a server receives before it is known to be cold exceed the limit like those of a burst.
bool ColdServerLimiter::needsReport() const
{
    return isEnabled() && !isCold() && sentSinceReport_ >= burst();
}

} // namespace balsamreel::Admission
