// When a call runs on its server: limits, lanes, a short queue, refusal. Pure decisions.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/NameTable.h"
#include "balsamreel/Support/Random.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace balsamreel::Admission {

enum class Lane : std::uint8_t { Short,
    Long };

constexpr Support::NameTable<Lane, 2> laneNames{{{Lane::Short, "short"}, {Lane::Long, "long"}}};

/// What the configuration says of a route's work.
enum class LaneHint : std::uint8_t { Learn,
    Short,
    Long };

enum class RefusalReason : std::uint8_t { Overloaded,
    DeadlineTooNear,
    Draining,
    WaitedTooLong };

constexpr Support::NameTable<RefusalReason, 4> refusalReasonNames{{{RefusalReason::Overloaded, "overloaded"}, {RefusalReason::DeadlineTooNear, "deadline-too-near"}, {RefusalReason::Draining, "draining"}, {RefusalReason::WaitedTooLong, "waited-too-long"}}};

/// A call that asks to run.
struct Ticket {
    std::uint64_t id = 0;
    std::string route;
    std::string caller;
    LaneHint hint = LaneHint::Learn;
    unsigned depth = 0; ///< calls above this one
    unsigned priority = 0; ///< 0 is the most urgent
    Support::Instant deadline;
};

struct Admitted { };
struct Queued { };
struct Refused {
    RefusalReason reason = RefusalReason::Overloaded;
    Support::Duration expectedWait{};
};
using Decision = std::variant<Admitted, Queued, Refused>;

/// The end of a ticket's wait.
struct Resolution {
    std::uint64_t ticket = 0;
    Decision decision;
};

struct GateOptions {
    std::uint32_t slots = 8; ///< announced by the server
    double longShare = 0.5; ///< largest share of the slots for long work
    Support::Duration maximumQueueWait = std::chrono::milliseconds(500);
    bool isUnlimited = false; ///< the naive baseline: everything runs at once
};

/// The load of the gate, for stamps.
struct GateLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0;
    Support::Duration expectedWait{};
};

/// The gate of one server. Not thread-safe.
class Gate {
public:
    explicit Gate(GateOptions);

    void setOptions(const GateOptions& options) { options_ = options; }

    /// A drained gate refuses all that is offered from now on; what waits still runs.
    void setDraining(bool isDraining) { isDraining_ = isDraining; }

    Decision offer(Support::Instant now, const Ticket&);

    /// The work of an admitted ticket has ended; gives the tickets that run next.
    std::vector<Resolution> finish(Support::Instant now, std::uint64_t ticket, bool hasSucceeded);

    /// The caller of a ticket has left; for an admitted one call finish() instead.
    void cancel(std::uint64_t ticket);

    /// Refuses what has waited too long and admits what may run.
    std::vector<Resolution> tick(Support::Instant now);

    GateLoad load(Support::Instant now) const;

private:
    struct Running {
        Lane lane = Lane::Short;
        std::string route;
        Support::Instant since;
    };
    struct Waiting {
        Ticket ticket;
        Lane lane = Lane::Short;
        Support::Instant since;
    };

    Lane laneOf(const Ticket&) const;
    bool mayRun(Lane) const;
    void run(Support::Instant now, const Ticket&, Lane);
    std::uint32_t longLimit() const;
    std::vector<Resolution> admitWaiting(Support::Instant now);
    Support::Duration expectedWait() const;

    GateOptions options_;
    bool isDraining_ = false;
    std::map<std::uint64_t, Running> running_;
    std::uint32_t runningLong_ = 0;
    std::deque<Waiting> waiting_;
    std::map<std::string, double> serviceMicros_; ///< smoothed service time per route
};

} // namespace balsamreel::Admission
