// Keeps the requests to one server within the rate that it takes while it is cold. Performs no I/O; callers pass in the time.
#pragma once

#include "balsamreel/Admission/RequestRateLimiter.h"
#include "balsamreel/Support/Clock.h"

#include <cstdint>
#include <optional>

namespace balsamreel::Admission {

/// Limits on the requests to a cold server.
struct ColdServerOptions {
    double requestsPerSecond = 0; ///< 0: no limit
    double overage = 1; ///< factor by which the limit may be exceeded in a second
    double slack = 0; ///< requests by which it may be exceeded, besides
    Support::Duration coldTime{}; ///< for how long a server is cold after its start

    bool operator==(const ColdServerOptions&) const = default;
};

/// Tracks whether a server is cold, and limits the rate of the requests to it meanwhile. Not thread-safe.
class ColdServerLimiter {
public:
    void setOptions(Support::Instant now, const ColdServerOptions&);
    bool isEnabled() const { return options_.requestsPerSecond > 0; }

    /// The server has responded, and states for how much longer it is cold. Zero: it is not cold; null: it does not tell.
    void report(Support::Instant now, std::optional<Support::Duration> remaining);

    /// The server has started this long ago, or may have become cold then.
    void assumeCold(Support::Instant now, Support::Duration age);

    /// Starts or ends the limit. Returns whether isCold() has changed.
    bool update(Support::Instant now);

    /// As of the last update.
    bool isCold() const { return limiter_.limit().has_value(); }

    /// Reserves room for a request that is sent later. Only while the server is cold.
    bool tryReserve(Support::Instant now, unsigned priority) { return limiter_.tryReserve(now, priority); }
    void cancelReservation() { limiter_.cancelReservation(); }

    /// Takes room for a request that is sent now. Returns false if it has to be refused.
    bool trySend(Support::Instant now, unsigned priority, bool hasReservation);

    /// The server may have become cold since its last report, and was sent so much since that it has to be asked.
    bool needsReport() const;

    /// See RequestRateLimiter.
    Support::Duration timeUntilRoom(Support::Instant now, unsigned priority) const { return limiter_.timeUntilRoom(now, priority); }
    Support::Duration scheduleReturn(Support::Instant now, unsigned priority) { return limiter_.scheduleReturn(now, priority); }
    std::optional<std::uint32_t> concurrency(Support::Duration serviceTime) const { return limiter_.concurrency(serviceTime); }

private:
    double burst() const;

    ColdServerOptions options_;
    RequestRateLimiter limiter_; ///< without a limit while the server is not cold
    Support::Instant reportedUntil_; ///< the server has said that it is cold until then
    Support::Instant assumedUntil_;
    std::uint32_t sentSinceReport_ = 0;
};

} // namespace balsamreel::Admission
