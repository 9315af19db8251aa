// When a call runs on its server: limits, lanes, a short queue, refusal. Pure decisions.
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
    std::uint32_t slots = 8; ///< announced by the server
    double longShare = 0.5; ///< largest share of the limit for long work; at least one call
    Support::Duration maximumQueueWait = std::chrono::milliseconds(500);
    double maximumLimitFactor = 1.5; ///< largest limit as a multiple of the announced slots
    bool isUnlimited = false; ///< the naive baseline: everything runs at once
};

/// The load of the gate, for stamps.
struct AdmissionLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0;
    std::uint32_t runningLong = 0;
    std::uint32_t longLimit = 0;
    Support::Duration expectedWait{}; ///< of a new short call of the lowest rank
};

/// The gate of one server. Not thread-safe.
class AdmissionController {
public:
    explicit AdmissionController(AdmissionOptions);

    void setOptions(const AdmissionOptions&);

    /// A drained gate refuses all that is offered from now on; what waits still runs.
    void setDraining(bool isDraining) { isDraining_ = isDraining; }

    /// Waiting tickets may have to make room; takeEvicted() gives them.
    Decision submit(Support::Instant now, const Ticket&);

    /// Refusals of waiting tickets that made room for one offered since the last call.
    std::vector<Resolution> takeEvicted();

    /// The work of an admitted ticket has ended; gives the tickets that run next.
    std::vector<Resolution> finish(Support::Instant now, std::uint64_t ticket, bool hasSucceeded);

    /// An admitted ticket has waited with its slot and begins now; what comes before does not count as its work.
    void begin(Support::Instant now, std::uint64_t ticket);

    /// An admitted ticket gives its slot back without having begun; gives the tickets that run next.
    std::vector<Resolution> withdraw(Support::Instant now, std::uint64_t ticket);

    /// The caller of a ticket has left; for an admitted one call finish() instead.
    void cancel(std::uint64_t ticket);

    /// Refuses what has waited too long and admits what may run.
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
    std::array<Support::Instant, 2> lastEmpty_; ///< when the lane's queue was last seen empty
    std::vector<Resolution> evicted_;
};

} // namespace balsamreel::Admission
