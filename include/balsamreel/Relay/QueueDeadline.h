// Until when an offer may wait at a guard before it is refused. Pure decisions.
#pragma once

#include "balsamreel/Relay/PeerMessages.h"

#include <algorithm>

namespace balsamreel::Relay {

/// Answers the load of a crest: the least urgent work gives way first, and is refused as soon as it would
/// be late, so that its caller can come back. More urgent work is refused only if its caller would be gone:
/// a late answer is of use to it, and a refused call of a running request takes that request with it.
class QueueDeadline {
public:
    /// The time by which the offer has to end.
    Instant deadline(Instant now, const AttemptRequest& offer)
    {
        leastUrgentPriority_ = std::max(leastUrgentPriority_, offer.priority);
        bool isLeastUrgent = offer.priority == leastUrgentPriority_ && offer.latencyTargetMicros > 0;
        return now + Duration(isLeastUrgent ? offer.latencyTargetMicros : offer.timeoutMicros);
    }

private:
    std::uint32_t leastUrgentPriority_ = 0; ///< largest priority number that was offered
};

} // namespace balsamreel::Relay
