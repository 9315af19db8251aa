// Compressed texts between nodes.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace balsamreel::Support {

std::string compress(const std::string& text);

/// Nothing if the bytes are damaged, or unfold to more than the limit (bytes).
std::optional<std::string> decompress(const std::string& compressed, std::size_t limit);

} // namespace balsamreel::Support
