// Client of the platform's object store: versions, conditional updates, watches.
#pragma once

#include "balsamreel/Store/Errors.h"
#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Endpoint.h"

#include <atomic>
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

/// Calls the store over HTTP, one connection a call at a time. Thread-safe.
class Client {
public:
    explicit Client(Support::Endpoint store, Support::Duration timeout = std::chrono::seconds(2));

    /// Errors: NotFound, Unavailable, Malformed.
    std::error_code get(const std::string& key, Object&);

    /// Errors: Unavailable, Malformed.
    std::error_code list(const std::string& prefix, Listing&);

    /// Writes if the precondition holds and gives the new version.
    /// Errors: VersionConflict, Unavailable, OutcomeUnknown, TooLarge.
    std::error_code put(const std::string& key, const std::string& value, const Precondition&, std::uint64_t& version);

    /// Errors: NotFound, VersionConflict, Unavailable, OutcomeUnknown.
    std::error_code remove(const std::string& key, const Precondition&);

    /// Waits until something below the prefix is newer than revision, or the time is up; gives the newest revision.
    /// Errors: Unavailable, Malformed.
    std::error_code watch(const std::string& prefix, std::uint64_t revision, Support::Duration wait, std::uint64_t& newest);

    /// Number of calls made so far.
    std::uint64_t calls() const { return calls_; }

private:
    struct Reply;
    std::error_code call(const std::string& method, const std::string& uri, const std::string& body, const Precondition&, Support::Duration timeout, Reply&);

    Support::Endpoint store_;
    Support::Duration timeout_;
    std::atomic<std::uint64_t> calls_{0};
};

} // namespace balsamreel::Store
