#include "balsamreel/Relay/AdmissionOptions.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

// Share of the slots that long calls may use. The rest is reserved for short calls, such as those made by requests
// that are already running. A smaller share would refuse callers although slots are free where every call is long,
// for example while the servers of a service are cold.
constexpr double longSlotShare = 0.85;
constexpr Support::Duration longestQueueWait = std::chrono::milliseconds(400);

} // namespace

Admission::AdmissionOptions admissionOptions(std::uint32_t usableSlots)
{
    Admission::AdmissionOptions options;
    options.slots = std::max<std::uint32_t>(1, usableSlots);
    options.maximumQueueWait = longestQueueWait;
    options.maximumLimitFactor = 1;
    options.longShare = longSlotShare;
    return options;
}

} // namespace balsamreel::Relay
