#include "balsamreel/Relay/Evacuations.h"

#include <algorithm>
#include <utility>

namespace balsamreel::Relay {

bool Evacuations::apply(Instant now, EvacuationDocument newer, Duration storeRecoveryTime)
{
    if (newer.position <= document_.position)
        return false;
    if (newer.position.era > document_.position.era)
        retainMissing(now, newer, storeRecoveryTime);
    // The store holds these again, so from now on it tells when they end.
    for (const auto& domain : newer.domains)
        retainedUntil_.erase(domain);
    bool hasChanged = newer.domains != document_.domains;
    document_ = std::move(newer);
    isInUse_ = isInUse_ || !document_.domains.empty();
    return hasChanged;
}

// A store that has come back from an older copy may lack an evacuation that it had acknowledged, until the operator has
// written it again.
void Evacuations::retainMissing(Instant now, const EvacuationDocument& newer, Duration storeRecoveryTime)
{
    for (const auto& domain : document_.domains) {
        if (!newer.domains.contains(domain))
            retainedUntil_[domain] = now + storeRecoveryTime;
    }
}

bool Evacuations::isEvacuated(Instant now, const std::string& domain) const
{
    auto retained = retainedUntil_.find(domain);
    bool isRetained = retained != retainedUntil_.end() && now < retained->second;
    return isRetained || document_.domains.contains(domain);
}

} // namespace balsamreel::Relay
