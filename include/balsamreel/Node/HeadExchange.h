// What nodes ask and tell each other about heads, over HTTP between their peer addresses.
#pragma once

#include "balsamreel/Config/Files.h"
#include "balsamreel/Support/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace balsamreel::Node {

constexpr const char* headPath = "/balsam/head";
constexpr const char* newerPath = "/balsam/newer"; ///< ?generation=N&node=NAME

/// The head that a peer follows; generation 0 if it follows none, nothing if there is no whole answer.
std::optional<Config::Head> fetchHead(const Support::Endpoint& peer);

/// Tells a peer that the named node follows this generation; false if it did not answer.
bool announceGeneration(const Support::Endpoint& peer, std::uint64_t generation, const std::string& node);

} // namespace balsamreel::Node
