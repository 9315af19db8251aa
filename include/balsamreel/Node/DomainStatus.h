// The status of a failure domain, kept in the store so that it outlives the domain's nodes.
#pragma once

#include "balsamreel/Store/ObjectStore.h"
#include "balsamreel/Support/Clock.h"

#include <optional>
#include <string>

namespace balsamreel::Node {

/// Writes the status when it has changed, at most once per shortestInterval. Not thread-safe.
class DomainStatus {
public:
    DomainStatus(Store::ObjectStore& store, std::string key)
        : store_(store)
        , key_(std::move(key))
    {
    }

    void update(Support::Instant now, const std::string& text);

    static constexpr Support::Duration shortestInterval = std::chrono::seconds(10);

private:
    Store::ObjectStore& store_;
    std::string key_;
    std::string storedText_;
    Store::Precondition precondition_ = Store::IfAbsent();
    std::optional<Support::Instant> lastAttemptAt_;
};

} // namespace balsamreel::Node
