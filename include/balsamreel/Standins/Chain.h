// Calls that a stand-in server makes to other services before it answers, as users' servers do.
#pragma once

#include "balsamreel/Support/Endpoint.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

namespace balsamreel::Standins {

/// Paths still to call, separated by commas: the first is called now, the rest by the server that takes it.
constexpr const char* chainHeader = "X-Test-Chain";

/// Makes the next call of the request's chain through an entry. The call carries the headers that a server
/// passes on (call id, depth, time left, trace, retries left) and the id ID.DEPTH. True if there is no chain
/// left or the whole answer came.
bool callNextInChain(const Poco::Net::HTTPServerRequest&, const Support::Endpoint& entry, const std::string& id);

} // namespace balsamreel::Standins
