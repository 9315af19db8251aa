#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace balsamreel::Support {

/// Parses untrusted text as a number; nothing unless the whole text is one number.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace balsamreel::Support
