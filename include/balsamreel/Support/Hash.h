#pragma once

#include <cstdint>
#include <string_view>

namespace balsamreel::Support {

/// Hash that is the same in every process and build, unlike std::hash. FNV-1a with a finalizer, so that all bits of the
/// result depend on all bytes.
std::uint32_t stableHash(std::string_view bytes);

} // namespace balsamreel::Support
