// Admission request of a call, and the possible decisions.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/NameTable.h"

#include <cstdint>
#include <string>
#include <variant>

namespace balsamreel::Admission {

enum class Lane : std::uint8_t { Short,
    Long };

constexpr Support::NameTable<Lane, 2> laneNames{{{Lane::Short, "short"}, {Lane::Long, "long"}}};

/// Configured lane of a route; Learn derives it from service times.
enum class LaneHint : std::uint8_t { Learn,
    Short,
    Long };

enum class RefusalReason : std::uint8_t { Overloaded,
    DeadlineTooNear,
    Draining,
    WaitedTooLong };

constexpr Support::NameTable<RefusalReason, 4> refusalReasonNames{{{RefusalReason::Overloaded, "overloaded"}, {RefusalReason::DeadlineTooNear, "deadline-too-near"}, {RefusalReason::Draining, "draining"}, {RefusalReason::WaitedTooLong, "waited-too-long"}}};

/// A call that requests admission.
struct Ticket {
    std::uint64_t id = 0;
    std::string route;
    std::string caller;
    LaneHint hint = LaneHint::Learn;
    unsigned depth = 0; ///< number of calls above this one in the call tree
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

/// Final decision on a queued ticket.
struct Resolution {
    std::uint64_t ticket = 0;
    Decision decision;
};

} // namespace balsamreel::Admission
