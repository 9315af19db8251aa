// What load is made of: kinds of calls, their shares, and phases of the arrival rate.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Load {

/// One kind of call.
struct CallKind {
    std::string name;
    std::string method = "GET";
    std::string path;
    double share = 1; ///< of all calls, relative to the other kinds
    Support::Duration work{}; ///< mean work time at the server
    bool isLong = false;
    bool isAtMostOnce = false;
    bool isKeyed = false; ///< brings an Idempotency-Key and is repeated through other entries until its outcome is known
    std::uint64_t responseBytes = 64;
    std::uint64_t requestBytes = 0;
    std::string chain; ///< paths that the servers call below this one, separated by commas
};

/// A stretch of time with one mean arrival rate.
struct Phase {
    double callsPerSecond = 0;
    double seconds = 0;
};

struct Profile {
    std::string name;
    std::vector<CallKind> kinds;
};

/// The profiles that come with the tool: "orders" of at-most-once calls to one service, "tengri", "association", "hol", "crest", "steady", "idle" whose calls need no work, and "chain" nine deep.
std::optional<Profile> findProfile(std::string_view name);

/// Reads "RATE:SECONDS,RATE:SECONDS,..."; nothing if malformed.
std::optional<std::vector<Phase>> parsePhases(std::string_view text);

} // namespace balsamreel::Load
