#include "balsamreel/Relay/HttpText.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace balsamreel::Relay {

namespace {

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 10> hopByHopHeaders{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length"};

boost::beast::string_view toBeastView(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view toStdView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Headers listed in the Connection header are hop-by-hop as well.
std::vector<std::string> connectionOptions(const http::fields& fields)
{
    std::vector<std::string> names;
    for (const auto& token : http::token_list(fields[http::field::connection]))
        names.emplace_back(toStdView(token));
    return names;
}

bool statusHasBody(std::uint32_t status)
{
    return status >= 200 && status != 204 && status != 304;
}

void append(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return boost::beast::iequals(toBeastView(left), toBeastView(right));
}

std::vector<Header> endToEndHeaders(const http::fields& fields, const std::vector<std::string_view>& excluded)
{
    auto options = connectionOptions(fields);
    std::vector<Header> headers;
    for (const auto& field : fields) {
        auto name = toStdView(field.name_string());
        auto isName = [name](std::string_view other) { return equalsIgnoringCase(name, other); };
        if (std::ranges::any_of(hopByHopHeaders, isName) || std::ranges::any_of(options, isName) || std::ranges::any_of(excluded, isName))
            continue;
        headers.push_back({std::string(name), std::string(toStdView(field.value()))});
    }
    return headers;
}

std::string_view headerValue(const std::vector<Header>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

std::string serializeRequestHead(const Request& request, const std::vector<Header>& addedHeaders)
{
    std::string text;
    text.reserve(512);
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    append(text, "Host", request.host);
    for (const auto& header : request.headers)
        append(text, header.name, header.value);
    for (const auto& header : addedHeaders)
        append(text, header.name, header.value);
    bool hasBody = !request.body.empty() || (request.method != "GET" && request.method != "HEAD" && request.method != "DELETE");
    if (hasBody)
        append(text, "Content-Length", std::to_string(request.body.size()));
    text.append("\r\n");
    return text;
}

std::string serializeRequest(const Request& request, const std::vector<Header>& addedHeaders)
{
    return serializeRequestHead(request, addedHeaders) + request.body.text();
}

std::string serializeResponseHead(const ServerResponse& response, bool isClosing, bool isHeadResponse)
{
    auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    std::string text;
    text.reserve(512);
    text.append(fmt::format("HTTP/1.1 {} ", response.status)).append(toStdView(reason)).append("\r\n");
    for (const auto& header : response.headers)
        append(text, header.name, header.value);
    if (isClosing)
        append(text, "Connection", "close");
    if (statusHasBody(response.status) && !isHeadResponse)
        append(text, "Content-Length", std::to_string(response.body.size()));
    text.append("\r\n");
    return text;
}

std::string serializeResponse(const ServerResponse& response, bool isClosing, bool isHeadResponse)
{
    auto head = serializeResponseHead(response, isClosing, isHeadResponse);
    return isHeadResponse ? head : head + response.body.text();
}

} // namespace balsamreel::Relay
