#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/NameTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsamreel::Wire {

// Headers that nodes add to requests and responses.
constexpr const char* attemptHeader = "X-Balsam-Attempt";
constexpr const char* callHeader = "X-Balsam-Call"; ///< one id for a call and all its nested calls
constexpr const char* serverHeader = "X-Balsam-Server"; ///< address of the server that is addressed, or that responded
constexpr const char* remainingHeader = "X-Balsam-Remaining-Us"; ///< time left until the deadline
constexpr const char* depthHeader = "X-Balsam-Depth";
constexpr const char* priorityHeader = "X-Balsam-Priority";
constexpr const char* callerHeader = "X-Balsam-Caller";
constexpr const char* routeHeader = "X-Balsam-Route";
constexpr const char* traceHeader = "X-Balsam-Trace"; ///< if set, every step of the call is recorded in the timeline
constexpr const char* loadHeader = "X-Balsam-Load";
constexpr const char* outcomeHeader = "X-Balsam-Outcome";
constexpr const char* reasonHeader = "X-Balsam-Reason";
constexpr const char* retriesLeftHeader = "X-Balsam-Retries-Left";
constexpr const char* guardHeader = "X-Balsam-Guard"; ///< incarnation of the guard that is addressed; another one refuses the request
constexpr const char* holdBodyHeader = "X-Balsam-Hold-Body"; ///< the body is sent only after "100 Continue"
constexpr const char* atMostOnceHeader = "X-Balsam-At-Most-Once";
constexpr const char* queryHeader = "X-Balsam-Query"; ///< asks for the state of an attempt: "state" or "revoke"
constexpr const char* attemptStateHeader = "X-Balsam-Attempt-State"; ///< the response to a query
constexpr const char* retainedHeader = "X-Balsam-Retained"; ///< status of the retained response that the body holds
constexpr const char* replayedHeader = "X-Balsam-Replayed"; ///< the response is that of an earlier call with the same key
constexpr const char* workClassHeader = "X-Balsam-Class";
constexpr const char* mayDivertHeader = "X-Balsam-May-Divert"; ///< another server can take the call if this one is slow
constexpr const char* idempotencyKeyHeader = "Idempotency-Key";

/// What a response says about the execution of the call.
enum class Outcome : std::uint8_t { Ran, ///< the response is the server's own
    NotRun, ///< nothing ran; safe to retry
    Unknown, ///< may have run; not retried for at-most-once calls
    InProgress ///< an earlier call with the same key is still running
};

constexpr Support::NameTable<Outcome, 4> outcomeNames{{{Outcome::Ran, "ran"}, {Outcome::NotRun, "not-run"}, {Outcome::Unknown, "unknown"}, {Outcome::InProgress, "in-progress"}}};

/// Identifies one attempt of a call. Unique for as long as any node may keep it.
struct AttemptId {
    std::uint64_t incarnation = 0; ///< random per start of the entry's process
    std::uint64_t counter = 0;

    auto operator<=>(const AttemptId&) const = default;
    std::string text() const;
};

std::optional<AttemptId> parseAttemptId(std::string_view);

/// A guard's load at the moment it sent a response.
struct LoadStamp {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0; ///< calls that the guard runs concurrently
    std::uint32_t waitMicros = 0; ///< queueing time that a new short call would see

    bool operator==(const LoadStamp&) const = default;
    std::string text() const;
};

std::optional<LoadStamp> parseLoadStamp(std::string_view);

} // namespace balsamreel::Wire
