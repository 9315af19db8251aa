// HTTP/1.1 messages between the parsers of Boost.Beast and the node's own types.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Relay {

/// The headers that concern more than one connection, without those named in the second argument.
std::vector<Header> endToEndHeaders(const boost::beast::http::fields&, const std::vector<std::string_view>& without);

/// The value of a header; empty if there is none.
std::string_view headerValue(const std::vector<Header>&, std::string_view name);

/// Compares names of headers, without case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// A request as bytes. The length is always given for a method with a body.
std::string serializeRequest(const Request&, const std::vector<Header>& added);

/// An answer as bytes. A closing one announces the end of the connection.
std::string serializeResponse(const ServerResponse&, bool isClosing, bool isToHead);

} // namespace balsamreel::Relay
