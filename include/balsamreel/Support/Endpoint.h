#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Support {

/// An IPv4 or IPv6 address and a port. The text form has IPv6 addresses in brackets.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
    std::string text() const;
};

/// Parses "IP:PORT". Host names are rejected, since processes address each other by IP address only.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Parses a comma-separated list; nothing if any element is invalid. An empty text is an empty list.
std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view text);

} // namespace balsamreel::Support
