// What the object store offers: versions, conditional updates, watches.
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
    std::uint64_t revision = 0; ///< of the store as a whole; a watch goes on from here
};

/// Preconditions of an update.
struct IfAbsent { };
struct IfVersion {
    std::uint64_t version = 0;
};
struct Always { };
using Precondition = std::variant<IfAbsent, IfVersion, Always>;

constexpr std::size_t maximumValueBytes = 1024 * 1024;

/// The calls of the store; a test may put its own store behind them.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// Errors: NotFound, Unavailable, BudgetSpent, Malformed.
    virtual std::error_code get(const std::string& key, Object&) = 0;

    /// Lists keys and versions as they stand at one moment. Errors: Unavailable, BudgetSpent, Malformed.
    virtual std::error_code list(const std::string& prefix, Listing&) = 0;

    /// Writes if the precondition holds and gives the new version.
    /// Errors: VersionConflict, Unavailable, OutcomeUnknown, BudgetSpent, TooLarge.
    virtual std::error_code put(const std::string& key, const std::string& value, const Precondition&, std::uint64_t& version) = 0;

    /// Errors: NotFound, VersionConflict, Unavailable, OutcomeUnknown, BudgetSpent.
    virtual std::error_code remove(const std::string& key, const Precondition&) = 0;
};

} // namespace balsamreel::Store
