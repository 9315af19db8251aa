// Decides when admitted work starts while noisy neighbours slow down the server's VM. No I/O and no clock.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace balsamreel::Relay {

/// What is known of the server's slowdown.
enum class SlowdownState : std::uint8_t { Unknown, ///< not observed, or not lately
    Normal,
    Slowed }; ///< relative to the server's own baseline

/// What to do with work that holds a slot.
enum class StartDecision : std::uint8_t { Start,
    Observe, ///< the slowdown has to be observed first
    Hold, ///< until the slowdown state changes or holdUntil() is reached
    SendElsewhere };

/// Handles servers whose VMs have noisy neighbours: for a tenth of a second at a time, all work that starts takes
/// several times its usual service time. A short wait, or another server, then gives the caller an earlier response.
class StartPolicy {
public:
    explicit StartPolicy(Duration observationInterval);

    /// Records the slowdown that the server reported, in percent; 100 is the usual service time.
    void recordSlowdown(Instant now, std::uint32_t slowdownPercent);

    /// The server does not report its slowdown: work starts at once until reset().
    void setUnobservable() { isObservable_ = false; }

    /// Discards the observations, which belong to an earlier server process.
    void reset();

    /// Records the service time of completed work that started while the server was not slowed down.
    void finished(const std::string& route, Duration serviceTime);

    SlowdownState slowdownState(Instant now) const;

    struct Work {
        std::string route;
        Instant targetTime; ///< a later response misses the latency target
        bool canGoElsewhere = false;
    };
    StartDecision decide(Instant now, const Work&) const;

    /// Returns until when the work can be held and still complete by its target time at its typical service time; the
    /// epoch of the clock if the service time of the route is unknown.
    Instant holdUntil(const Work&) const;

    Duration observationInterval() const { return interval_; }
    void setObservationInterval(Duration interval) { interval_ = interval; }

private:
    Duration interval_;
    bool isObservable_ = true;
    struct Observation {
        Instant at;
        std::uint32_t slowdownPercent = 0;
    };

    std::deque<Observation> recent_; ///< ascending slowdowns; the front is the minimum of the baseline window
    std::optional<Observation> last_;
    Instant observedSince_; ///< start of the observations without too long a gap
    std::uint32_t baselinePercent_ = 100; ///< the server's own slowdown, without noisy neighbours
    std::unordered_map<std::string, Duration> typicalServiceTimes_; ///< by route, while not slowed down
};

} // namespace balsamreel::Relay
