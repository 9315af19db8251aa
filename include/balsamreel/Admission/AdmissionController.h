// Decides when a call runs on its server: concurrency limits, lanes, a short queue, refusals.
// Performs no I/O; callers pass in the time.
#pragma once

#include "balsamreel/Admission/ConcurrencyLimiter.h"
#include "balsamreel/Admission/Queue.h"
#include "balsamreel/Admission/RouteClassifier.h"
#include "balsamreel/Admission/Ticket.h"
#include "balsamreel/Support/Clock.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamreel::Admission {

struct AdmissionOptions {
    std::uint32_t slots = 8; ///< concurrent calls that the server announces
    double longShare = 0.5; ///< maximum share of the limit for the long lane; at least one call
    Support::Duration maximumQueueWait = std::chrono::milliseconds(500);
    double maximumLimitFactor = 1.5; ///< maximum limit as a multiple of the announced slots
    bool isUnlimited = false; ///< naive baseline: admits every call at once
};

/// The load of an admission controller, reported to other nodes in load stamps.
struct AdmissionLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0;
    std::uint32_t runningLong = 0;
    std::uint32_t longLimit = 0;
    Support::Duration typicalService{}; ///< service time of a call in the short lane
    Support::Duration expectedWait{}; ///< of a new call in the short lane with the lowest rank
};

/// Admits, queues or refuses the calls of one server. Not thread-safe.
class AdmissionController {
public:
    explicit AdmissionController(AdmissionOptions);

    void setOptions(const AdmissionOptions&);

    /// While draining, new tickets are refused; queued tickets still run.
    void setDraining(bool isDraining) { isDraining_ = isDraining; }

    /// Decides on a new ticket. May evict queued tickets; takeEvicted() returns them.
    Decision submit(Support::Instant now, const Ticket&);

    /// Returns the refusals of queued tickets that submit() has evicted since the last call.
    std::vector<Resolution> takeEvicted();

    /// Releases the slot of an admitted ticket whose work has ended; returns the tickets that this resolves.
    std::vector<Resolution> finish(Support::Instant now, std::uint64_t ticket, bool hasSucceeded);

    /// Restarts the service time of an admitted ticket that held its slot before its work began.
    void begin(Support::Instant now, std::uint64_t ticket);

    /// Releases the slot of an admitted ticket that has not started; returns the tickets that this resolves.
    std::vector<Resolution> withdraw(Support::Instant now, std::uint64_t ticket);

    /// Removes a queued ticket whose caller has disconnected. Call finish() for an admitted ticket.
    void cancel(std::uint64_t ticket);

    /// Refuses tickets that have waited too long and admits those that may run.
    std::vector<Resolution> tick(Support::Instant now);

    AdmissionLoad load(Support::Instant now) const;

private:
    struct Running {
        Lane lane = Lane::Short;
        LaneHint hint = LaneHint::Learn;
        bool isUnloaded = false;
        std::string route;
        Support::Instant since;
    };

    bool mayRun(Lane) const;
    void run(Support::Instant now, const Ticket&, Lane);
    std::uint32_t longLimit() const;
    double laneSlots(Lane) const;
    double laneServiceMicros(Lane, double cost) const;
    Support::Duration waitAfter(double workAhead, Lane, double cost) const;
    Support::Duration allowedWait(Support::Instant now, Lane, double cost) const;
    bool isOverfull(Support::Instant now, Lane) const;
    Decision enqueue(Support::Instant now, const Ticket&, Lane);
    void shedExcess(Support::Instant now, Lane, std::vector<Resolution>&);
    void refuseExpired(Support::Instant now, std::vector<Resolution>&);
    void admitWaiting(Support::Instant now, std::vector<Resolution>&);
    void recordEmptyLanes(Support::Instant now);
    void reclassifyLongRunning(Support::Instant now);

    AdmissionOptions options_;
    bool isDraining_ = false;
    ConcurrencyLimiter limiter_;
    RouteClassifier classifier_;
    Queue queue_;
    std::unordered_map<std::uint64_t, Running> running_;
    std::uint32_t runningLong_ = 0;
    std::array<Support::Instant, 2> lastEmpty_; ///< last time at which the queue of each lane was empty
    std::vector<Resolution> evicted_;
};

} // namespace balsamreel::Admission
