// What a call says of itself when it asks to run, and the answers it can get.
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

} // namespace balsamreel::Admission
