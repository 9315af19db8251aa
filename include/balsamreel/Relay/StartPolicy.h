// Whether work starts now or waits while its server's VM is slowed down by neighbours. Pure decisions.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace balsamreel::Relay {

/// What is known of the server's pace.
enum class SlowdownState : std::uint8_t { Unknown, ///< not observed, or not lately
    Normal,
    Slowed }; ///< against its own pace

/// What to do with work that has a slot.
enum class StartDecision : std::uint8_t { Start,
    Observe, ///< the pace has to be observed first
    Hold, ///< until the pace changes or holdUntil()
    SendElsewhere };

/// Answers the load of servers that share their VMs: for a tenth of a second at a time all work that
/// starts takes several times as long, and a short wait, or another server, answers the caller sooner.
class StartPolicy {
public:
    explicit StartPolicy(Duration observationInterval);

    /// The server told its pace, in percent of the usual time of work.
    void recordSlowdown(Instant now, std::uint32_t slowdownPercent);

    /// The server does not tell its pace; work starts at once from now on.
    void setUnobservable() { isObservable_ = false; }

    /// Another server process: nothing is known of it.
    void reset();

    /// Work that started at the usual pace has ended.
    void finished(const std::string& route, Duration service);

    SlowdownState slowdownState(Instant now) const;

    struct Work {
        std::string route;
        Instant targetTime; ///< after which the answer is late
        bool canGoElsewhere = false;
    };
    StartDecision decide(Instant now, const Work&) const;

    /// Until when the work can wait and still be answered by its goal at the usual pace.
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

    std::deque<Observation> recent_; ///< paces rise from front to back: the front is the least of the last moments
    std::optional<Observation> last_;
    Instant observedSince_; ///< observed without long gaps from then on
    std::uint32_t baselinePercent_ = 100; ///< the server's own pace, without neighbours
    std::unordered_map<std::string, Duration> typicalServiceTimes_; ///< per route, at the usual pace
};

} // namespace balsamreel::Relay
