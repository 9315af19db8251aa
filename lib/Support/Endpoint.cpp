#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/Numbers.h"

#include <arpa/inet.h>
#include <array>

namespace balsamreel::Support {

namespace {

// Uses the C library, since POCO prints some IPv6 addresses in a form that it does not read back as the same address.
std::optional<std::string> canonicalAddress(const std::string& host)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    std::array<char, INET6_ADDRSTRLEN> text{};
    for (int family : {AF_INET, AF_INET6}) {
        if (inet_pton(family, host.c_str(), address.data()) == 1)
            return inet_ntop(family, address.data(), text.data(), text.size());
    }
    return std::nullopt;
}

} // namespace

std::string Endpoint::text() const
{
    bool isV6 = host.find(':') != std::string::npos;
    return (isV6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);

    Endpoint endpoint;
    auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    auto number = canonicalAddress(std::string(host));
    if (!port || !number)
        return std::nullopt;
    endpoint.port = *port;
    endpoint.host = *number;
    return endpoint;
}

std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view text)
{
    std::vector<Endpoint> endpoints;
    while (!text.empty()) {
        auto comma = text.find(',');
        auto endpoint = parseEndpoint(text.substr(0, comma));
        if (!endpoint)
            return std::nullopt;
        endpoints.push_back(*endpoint);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return endpoints;
}

} // namespace balsamreel::Support
