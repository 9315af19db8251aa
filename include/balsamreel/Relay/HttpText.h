// Converts HTTP/1.1 headers of Boost.Beast to the node's types, and serializes requests and responses.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Relay {

/// Returns the headers that are not hop-by-hop, except the excluded ones.
std::vector<Header> endToEndHeaders(const boost::beast::http::fields&, const std::vector<std::string_view>& excluded);

/// Returns the value of a header, or an empty view if it is missing.
std::string_view headerValue(const std::vector<Header>&, std::string_view name);

/// ASCII only.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Writes Content-Length also for an empty body, unless the method is GET, HEAD or DELETE.
std::string serializeRequestHead(const Request&, const std::vector<Header>& addedHeaders);

/// The head and a copy of the body.
std::string serializeRequest(const Request&, const std::vector<Header>& addedHeaders);

/// With isClosing, adds "Connection: close". A response to HEAD has no Content-Length.
std::string serializeResponseHead(const ServerResponse&, bool isClosing, bool isHeadResponse);

/// The head and a copy of the body, which a response to HEAD does not have.
std::string serializeResponse(const ServerResponse&, bool isClosing, bool isHeadResponse);

} // namespace balsamreel::Relay
