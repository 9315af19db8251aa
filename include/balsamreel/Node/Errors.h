// Errors of an HTTP exchange with another process.
#pragma once

#include <system_error>

namespace balsamreel::Node {

enum class ExchangeError { Unreachable = 1, ///< no connection could be opened; nothing was sent
    NoResponse, ///< the request was sent, but no response arrived
    TimedOut, ///< the deadline passed without a response
    CallerLeft, ///< the caller closed its connection before the response was complete
    ResponseTruncated, ///< the response body ended early
    RequestTruncated, ///< the caller's request body ended early
    StoppedByCheck ///< the wait was stopped: ExchangeOptions::check learned the outcome over another connection, or a reused connection was silent too long
};

std::error_code make_error_code(ExchangeError);

} // namespace balsamreel::Node

template <>
struct std::is_error_code_enum<balsamreel::Node::ExchangeError> : std::true_type {
};
