// Conditional updates that resolve a lost response by reading the object back.
#pragma once

#include "balsamreel/Store/Backoff.h"
#include "balsamreel/Store/ObjectStore.h"

#include <functional>

namespace balsamreel::Store {

/// Retry policy of an update whose outcome is unknown.
struct ResolveOptions {
    unsigned maximumTries = 6; ///< of the update, and of each read back
    BackoffOptions backoff;
    std::uint64_t seed = 1; ///< of the backoff's jitter
    std::function<void(Support::Duration)> sleep; ///< blocks the caller between tries; must be set
};

/// Writes the value and, if the response is lost, reads back until the outcome is known. The update is repeated only after
/// a new read has shown that its precondition still holds. Errors: VersionConflict (another value is stored),
/// OutcomeUnknown (the read back failed, or all tries were used), and those of put.
std::error_code putAndResolve(ObjectStore&, const std::string& key, const std::string& value, const Precondition&, std::uint64_t& version, const ResolveOptions&);

/// Removes the object in the same way. If it no longer exists after a lost response, it counts as removed.
std::error_code removeAndResolve(ObjectStore&, const std::string& key, const Precondition&, const ResolveOptions&);

} // namespace balsamreel::Store
