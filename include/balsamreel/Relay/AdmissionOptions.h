// Admission options of the guard.
#pragma once

#include "balsamreel/Admission/AdmissionController.h"

#include <cstdint>

namespace balsamreel::Relay {

/// Returns the options for admission to a server of which this number of slots is used.
Admission::AdmissionOptions admissionOptions(std::uint32_t usableSlots);

} // namespace balsamreel::Relay
