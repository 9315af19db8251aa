#include "balsamreel/Relay/GateSettings.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Relay {

namespace {

// Servers slow down when nearly all of their slots are in use; what is admitted stays below.
constexpr double usedSlotShare = 0.8;
// Some slots stay for short work, such as calls of running requests. Long work may have all others: on a service
// whose work is all long, as while its servers are cold, a smaller share would refuse callers with slots free.
constexpr double longSlotShare = 0.85;
constexpr Support::Duration longestQueueWait = std::chrono::milliseconds(400);

} // namespace

Admission::GateOptions gateOptions(std::uint32_t announcedSlots)
{
    Admission::GateOptions options;
    options.slots = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::floor(announcedSlots * usedSlotShare)));
    options.maximumQueueWait = longestQueueWait;
    options.maximumLimitFactor = 1;
    options.longShare = longSlotShare;
    return options;
}

} // namespace balsamreel::Relay
