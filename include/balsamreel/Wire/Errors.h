#pragma once

#include <system_error>

namespace balsamreel::Wire {

/// Errors of decoding.
enum class WireError { Truncated = 1, ///< fewer bytes than the message needs
    Oversized, ///< a size exceeds its limit
    UnknownVersion,
    UnknownKind,
    Malformed };

std::error_code make_error_code(WireError);

} // namespace balsamreel::Wire

template <>
struct std::is_error_code_enum<balsamreel::Wire::WireError> : std::true_type {
};
