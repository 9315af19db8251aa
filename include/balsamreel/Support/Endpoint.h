// An address of a process: an IP number and a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Support {

/// An IPv4 or IPv6 number and a port; IPv6 numbers are written in brackets.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
    std::string text() const;
};

/// Reads "IP:PORT". Host names are refused, since processes talk by IP numbers only.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Reads a comma-separated list; nothing if any part is bad. The empty text is the empty list.
std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view text);

} // namespace balsamreel::Support
