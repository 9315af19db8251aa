// What the guard uses a server's slots for.
#pragma once

#include "balsamreel/Admission/AdmissionController.h"

#include <cstdint>

namespace balsamreel::Relay {

/// Limits of the gate in front of a server of which these slots are used.
Admission::AdmissionOptions admissionOptions(std::uint32_t usableSlots);

} // namespace balsamreel::Relay
