// Interface of the object store: versioned objects with conditional updates.
#pragma once

#include "balsamreel/Store/Errors.h"
#include "balsamreel/Support/Clock.h"

#include <cstdint>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace balsamreel::Store {

struct Object {
    std::string value;
    std::uint64_t version = 0;
};

struct ListEntry {
    std::string key;
    std::uint64_t version = 0;
};

struct Listing {
    std::vector<ListEntry> entries;
    std::uint64_t revision = 0; ///< revision of the whole store; a watch starts after it
};

/// Precondition of an update: the object does not exist, it has this version, or none.
struct IfAbsent { };
struct IfVersion {
    std::uint64_t version = 0;
};
struct Always { };
using Precondition = std::variant<IfAbsent, IfVersion, Always>;

constexpr std::size_t maximumValueBytes = 1024 * 1024;

/// Interface of the store, so that tests can replace it.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// Errors: NotFound, Unavailable, BudgetSpent, Malformed.
    virtual std::error_code get(const std::string& key, Object&) = 0;

    /// Lists a consistent snapshot of keys and versions below the prefix. Errors: Unavailable, BudgetSpent, Malformed.
    virtual std::error_code list(const std::string& prefix, Listing&) = 0;

    /// Writes the value if the precondition holds and sets version to the new version.
    /// Errors: VersionConflict, Unavailable, OutcomeUnknown, BudgetSpent, TooLarge.
    virtual std::error_code put(const std::string& key, const std::string& value, const Precondition&, std::uint64_t& version) = 0;

    /// Removes the object if the precondition holds.
    /// Errors: NotFound, VersionConflict, Unavailable, OutcomeUnknown, BudgetSpent.
    virtual std::error_code remove(const std::string& key, const Precondition&) = 0;
};

} // namespace balsamreel::Store
