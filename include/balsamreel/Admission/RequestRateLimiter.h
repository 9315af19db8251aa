// Keeps the requests that are sent to one server within the rate that the server takes. Performs no I/O; callers pass in
// the time.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <cstdint>
#include <optional>

namespace balsamreel::Admission {

/// A token bucket whose last tokens are reserved for urgent requests, so that the least urgent ones are refused first.
class RequestRateLimiter {
public:
    /// The burst is the number of requests that may be sent at once; null: in proportion to the limit.
    explicit RequestRateLimiter(std::optional<double> burst = std::nullopt);

    /// Sets the limit in requests per second; null ends it.
    void setLimit(Support::Instant now, std::optional<double> requestsPerSecond);
    std::optional<double> limit() const { return limit_; }

    /// Returns how many requests of this service time run at once at the limit, at least one; null without a limit.
    std::optional<std::uint32_t> concurrency(Support::Duration serviceTime) const;

    /// Takes room for one request. Priority 0 is the most urgent. Returns false if the limit leaves no room.
    bool tryTake(Support::Instant now, unsigned priority);

    /// Returns the room of a request that was not sent.
    void giveBack();

    /// Reserves room for a request that is sent later. It is taken only then, so that requests that have waited together do
    /// not exceed the limit together.
    bool tryReserve(Support::Instant now, unsigned priority);

    /// Takes room for a request that has a reservation. Returns false if the reservation no longer holds.
    bool takeReserved(Support::Instant now);
    void cancelReservation();

    /// Returns the time until there is room for one request of this priority.
    Support::Duration timeUntilRoom(Support::Instant now, unsigned priority) const;

    /// Returns after which time a request that was refused should return. Those refused one after the other return one
    /// after the other, at the rate of the limit.
    Support::Duration scheduleReturn(Support::Instant now, unsigned priority);

private:
    double rate() const;
    double capacity() const;
    double reservedForUrgent(unsigned priority) const;
    double requiredLevel(unsigned priority) const;
    double levelAt(Support::Instant now) const;
    void refill(Support::Instant now);

    std::optional<double> burst_;
    std::optional<double> limit_;
    std::uint32_t reservations_ = 0;
    double level_ = 0; ///< requests that may be sent at once, as of refilledAt_
    Support::Instant refilledAt_;
    Support::Instant nextReturn_; ///< when the request that is refused next should return
};

} // namespace balsamreel::Admission
