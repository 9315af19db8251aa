#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace balsamreel::Support {

/// Compresses a text in zlib format. The empty text stays empty.
std::string compress(const std::string& text);

/// Reverses compress(). Nothing if the data is corrupt or expands to more than the limit (bytes).
std::optional<std::string> decompress(const std::string& compressed, std::size_t limit);

} // namespace balsamreel::Support
