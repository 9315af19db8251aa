// Decides how long an attempt may wait at a guard before it is refused. No I/O and no clock.
#pragma once

#include "balsamreel/Relay/PeerMessages.h"

#include <algorithm>

namespace balsamreel::Relay {

/// Sheds the least urgent attempts first under peak load. They are refused as soon as they would miss their latency
/// target, so that their callers can retry. More urgent attempts are refused only if their callers would have timed
/// out: a late response is still useful to these, and refusing a call that a running request depends on fails that
/// request as well.
class QueueDeadline {
public:
    /// Returns the time by which the attempt has to complete.
    Instant deadline(Instant now, const AttemptRequest& request)
    {
        leastUrgentPriority_ = std::max(leastUrgentPriority_, request.priority);
        bool isLeastUrgent = request.priority == leastUrgentPriority_ && request.latencyTargetMicros > 0;
        return now + Duration(isLeastUrgent ? request.latencyTargetMicros : request.timeoutMicros);
    }

private:
    std::uint32_t leastUrgentPriority_ = 0; ///< largest priority number submitted so far
};

} // namespace balsamreel::Relay
