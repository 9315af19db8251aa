// Nested calls: a fake server calls other services before it responds, as users' servers do.
#pragma once

#include "balsamreel/Support/Endpoint.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

namespace balsamreel::Standins {

/// Comma-separated paths still to call: the receiving server calls the first one and passes the rest on with that call.
constexpr const char* chainHeader = "X-Test-Chain";

/// Makes the next call of the request's chain through an entry. The call carries the headers that a server propagates (call id,
/// depth, remaining time, trace, retries left) and the id ID.DEPTH. Returns true if the chain is empty or the complete response
/// arrived.
bool callNextInChain(const Poco::Net::HTTPServerRequest&, const Support::Endpoint& entry, const std::string& id);

} // namespace balsamreel::Standins
