// Errors of the node layer: how an exchange with another process ended.
#pragma once

#include <system_error>

namespace balsamreel::Node {

enum class ExchangeError { Unreachable = 1, ///< no connection; nothing was sent
    NoResponse, ///< the request was sent, no answer came
    TimedOut, ///< the deadline passed without an answer
    CallerLeft, ///< the caller closed its connection while waiting
    ResponseTruncated, ///< the answer began but did not end
    RequestTruncated, ///< the caller's request did not end
    StoppedByCheck ///< the check learned over another connection how the request ended
};

std::error_code make_error_code(ExchangeError);

} // namespace balsamreel::Node

template <>
struct std::is_error_code_enum<balsamreel::Node::ExchangeError> : std::true_type {
};
