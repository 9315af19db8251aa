// Conditional updates whose lost answers are settled by reading back.
#pragma once

#include "balsamreel/Store/Backoff.h"
#include "balsamreel/Store/ObjectStore.h"

#include <functional>

namespace balsamreel::Store {

/// How an update is settled: how often it is tried and how the caller sleeps in between.
struct ResolveOptions {
    unsigned maximumTries = 6;
    BackoffOptions backoff;
    std::uint64_t seed = 1;
    std::function<void(Support::Duration)> sleep;
};

/// Writes and, when the answer is lost, reads back until the outcome is known. An update is repeated only after a
/// fresh read has shown that its precondition still holds. Errors: VersionConflict (another value is there),
/// OutcomeUnknown (the store could not be read back), and those of put.
std::error_code putAndResolve(ObjectStore&, const std::string& key, const std::string& value, const Precondition&, std::uint64_t& version, const ResolveOptions&);

/// The same for a removal; an object that is gone after a lost answer counts as removed.
std::error_code removeAndResolve(ObjectStore&, const std::string& key, const Precondition&, const ResolveOptions&);

} // namespace balsamreel::Store
