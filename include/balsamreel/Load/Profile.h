// Load profiles: kinds of calls with their shares, and phases of the arrival rate.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Load {

struct CallKind {
    std::string name;
    std::string method = "GET";
    std::string path;
    double share = 1; ///< of all calls, as a weight relative to the other kinds
    Support::Duration work{}; ///< mean work time at the server
    bool isLong = false;
    bool isAtMostOnce = false;
    bool isKeyed = false; ///< sends an Idempotency-Key and is retried through other entries until its outcome is known
    std::uint64_t responseBytes = 64;
    std::uint64_t requestBytes = 0;
    std::string chain; ///< comma-separated paths of the nested calls that the servers make for this one
};

/// A period with a constant mean arrival rate.
struct Phase {
    double callsPerSecond = 0;
    double seconds = 0;
};

struct Profile {
    std::string name;
    std::vector<CallKind> kinds;
};

/// Returns a built-in profile, or nullopt if there is none of that name:
/// - "tengri" and "association": the daily calls of the two deployments
/// - "orders": at-most-once calls, many of them keyed, and reads of one service
/// - "hol": long calls among short ones, for head-of-line blocking
/// - "crest": peak load
/// - "steady": short calls of one kind
/// - "idle": calls that need no work
/// - "chain": calls nested nine layers deep
std::optional<Profile> findProfile(std::string_view name);

/// Parses "RATE:SECONDS,RATE:SECONDS,..." with rates in calls per second. Returns nullopt if malformed.
std::optional<std::vector<Phase>> parsePhases(std::string_view text);

} // namespace balsamreel::Load
