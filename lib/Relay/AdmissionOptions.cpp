#include "balsamreel/Relay/AdmissionOptions.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

// Some slots stay for short work, such as calls of running requests. Long work may have all others: on a service
// whose work is all long, as while its servers are cold, a smaller share would refuse callers with slots free.
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
