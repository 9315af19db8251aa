// The failure domains that the operator has taken out of service. No I/O; callers pass in the time.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace balsamreel::Relay {

/// A point in the history of the store. Revisions may be given out again in a later era.
struct StorePosition {
    std::uint64_t era = 0; ///< counts how often the store has come back from an older copy of its data
    std::uint64_t revision = 0;

    auto operator<=>(const StorePosition&) const = default;
};

/// The evacuated failure domains that the store holds. A document of a later position replaces one of an earlier position.
struct EvacuationDocument {
    StorePosition position;
    std::set<std::string> domains;
};

/// Holds the newest document that this node has seen. Not thread-safe.
class Evacuations {
public:
    /// Takes a document that is newer. Returns whether its domains differ from those of the one before.
    bool apply(Instant now, EvacuationDocument, Duration storeRecoveryTime);

    bool isEvacuated(Instant now, const std::string& domain) const;
    const EvacuationDocument& document() const { return document_; }

    /// Whether a domain has been evacuated since this node started. Until then there is nothing to tell others.
    bool isInUse() const { return isInUse_; }

private:
    void retainMissing(Instant now, const EvacuationDocument& newer, Duration storeRecoveryTime);

    EvacuationDocument document_;
    std::map<std::string, Instant> retainedUntil_; ///< by domain: those that an older copy of the store lacks
    bool isInUse_ = false;
};

} // namespace balsamreel::Relay
