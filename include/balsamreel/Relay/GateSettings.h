// How many of a server's slots the guard uses, and for what.
#pragma once

#include "balsamreel/Admission/Gate.h"

#include <cstdint>

namespace balsamreel::Relay {

/// Limits of the gate in front of a server that announced these slots.
Admission::GateOptions gateOptions(std::uint32_t announcedSlots);

} // namespace balsamreel::Relay
