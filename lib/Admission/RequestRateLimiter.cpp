#include "balsamreel/Admission/RequestRateLimiter.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Admission {

using Support::Duration;
using Support::Instant;

namespace {

// Only responses tell that a limit has ended, so a server that names a lower rate is sent this many requests per second.
constexpr double minimumRate = 0.5;
// The bucket holds what the server takes in this time, and a little more for slow rates.
constexpr double burstSeconds = 1;
constexpr double minimumBurst = 2;
// Share of the bucket that is out of reach for each step of lower urgency.
constexpr double reservedSharePerPriority = 0.1;
constexpr unsigned lowestDistinctPriority = 4;
// Callers that wait for longer rather give up.
constexpr Duration longestReturn = std::chrono::seconds(1);
constexpr double microsPerSecond = 1e6;

Duration seconds(double value)
{
    return Duration(static_cast<Duration::rep>(value * microsPerSecond));
}

} // namespace

RequestRateLimiter::RequestRateLimiter(std::optional<double> burst)
    : burst_(burst)
{
}

double RequestRateLimiter::rate() const
{
    return std::max(minimumRate, limit_.value_or(0));
}

double RequestRateLimiter::capacity() const
{
    return burst_ ? std::max(1.0, *burst_) : rate() * burstSeconds + minimumBurst;
}

double RequestRateLimiter::reservedForUrgent(unsigned priority) const
{
    return (capacity() - 1) * reservedSharePerPriority * std::min(priority, lowestDistinctPriority);
}

double RequestRateLimiter::requiredLevel(unsigned priority) const
{
    return 1 + reservations_ + reservedForUrgent(priority);
}

double RequestRateLimiter::levelAt(Instant now) const
{
    double elapsed = static_cast<double>(std::max(Duration::zero(), now - refilledAt_).count()) / microsPerSecond;
    return std::min(capacity(), level_ + elapsed * rate());
}

void RequestRateLimiter::refill(Instant now)
{
    level_ = levelAt(now);
    refilledAt_ = now;
}

void RequestRateLimiter::setLimit(Instant now, std::optional<double> requestsPerSecond)
{
    if (requestsPerSecond == limit_)
        return;
    if (limit_)
        refill(now);
    else
        level_ = 1;
    limit_ = requestsPerSecond;
    if (!limit_)
        reservations_ = 0;
    level_ = std::min(level_, capacity());
    refilledAt_ = now;
}

std::optional<std::uint32_t> RequestRateLimiter::concurrency(Duration serviceTime) const
{
    if (!limit_)
        return std::nullopt;
    double running = rate() * static_cast<double>(serviceTime.count()) / microsPerSecond;
    return static_cast<std::uint32_t>(std::max(1.0, std::ceil(running)));
}

bool RequestRateLimiter::tryTake(Instant now, unsigned priority)
{
    if (!limit_)
        return true;
    refill(now);
    if (level_ < requiredLevel(priority))
        return false;
    level_ -= 1;
    return true;
}

void RequestRateLimiter::giveBack()
{
    if (limit_)
        level_ = std::min(capacity(), level_ + 1);
}

bool RequestRateLimiter::tryReserve(Instant now, unsigned priority)
{
    refill(now);
    if (level_ < requiredLevel(priority))
        return false;
    ++reservations_;
    return true;
}

bool RequestRateLimiter::takeReserved(Instant now)
{
    refill(now);
    if (reservations_ == 0 || level_ < 1)
        return false;
    --reservations_;
    level_ -= 1;
    return true;
}

// A reservation ends with the limit under which it was made.
void RequestRateLimiter::cancelReservation()
{
    if (reservations_ > 0)
        --reservations_;
}

Duration RequestRateLimiter::timeUntilRoom(Instant now, unsigned priority) const
{
    if (!limit_)
        return Duration::zero();
    return seconds(std::max(0.0, requiredLevel(priority) - levelAt(now)) / rate());
}

Duration RequestRateLimiter::scheduleReturn(Instant now, unsigned priority)
{
    auto wait = std::max(timeUntilRoom(now, priority), std::min(nextReturn_ - now, longestReturn));
    nextReturn_ = now + wait + seconds(1 / rate());
    return wait;
}

} // namespace balsamreel::Admission
