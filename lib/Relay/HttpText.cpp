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

constexpr std::array<std::string_view, 10> hopByHop{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length"};

boost::beast::string_view beastView(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view plainView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Headers that the Connection header names concern one connection only too.
std::vector<std::string> namedByConnection(const http::fields& fields)
{
    std::vector<std::string> names;
    for (const auto& token : http::token_list(fields[http::field::connection]))
        names.emplace_back(plainView(token));
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
    return boost::beast::iequals(beastView(left), beastView(right));
}

std::vector<Header> endToEndHeaders(const http::fields& fields, const std::vector<std::string_view>& without)
{
    auto named = namedByConnection(fields);
    std::vector<Header> headers;
    for (const auto& field : fields) {
        auto name = plainView(field.name_string());
        auto isName = [name](std::string_view other) { return equalsIgnoringCase(name, other); };
        if (std::ranges::any_of(hopByHop, isName) || std::ranges::any_of(named, isName) || std::ranges::any_of(without, isName))
            continue;
        headers.push_back({std::string(name), std::string(plainView(field.value()))});
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

std::string serializeRequest(const Request& request, const std::vector<Header>& added)
{
    std::string text;
    text.reserve(512 + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    append(text, "Host", request.host);
    for (const auto& header : request.headers)
        append(text, header.name, header.value);
    for (const auto& header : added)
        append(text, header.name, header.value);
    bool hasBody = !request.body.empty() || (request.method != "GET" && request.method != "HEAD" && request.method != "DELETE");
    if (hasBody)
        append(text, "Content-Length", std::to_string(request.body.size()));
    text.append("\r\n").append(request.body);
    return text;
}

std::string serializeResponse(const ServerResponse& answer, bool isClosing, bool isToHead)
{
    auto reason = http::obsolete_reason(static_cast<http::status>(answer.status));
    std::string text;
    text.reserve(512 + answer.body.size());
    text.append(fmt::format("HTTP/1.1 {} ", answer.status)).append(plainView(reason)).append("\r\n");
    for (const auto& header : answer.headers)
        append(text, header.name, header.value);
    if (isClosing)
        append(text, "Connection", "close");
    if (statusHasBody(answer.status) && !isToHead)
        append(text, "Content-Length", std::to_string(answer.body.size()));
    text.append("\r\n");
    if (!isToHead)
        text.append(answer.body);
    return text;
}

} // namespace balsamreel::Relay
