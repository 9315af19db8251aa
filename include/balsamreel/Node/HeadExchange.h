// Requests between the peer addresses of nodes about heads: the accepted configurations that they follow.
#pragma once

#include "balsamreel/Config/Files.h"
#include "balsamreel/Support/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace balsamreel::Node {

constexpr const char* headPath = "/balsam/head";
constexpr const char* newerPath = "/balsam/newer"; ///< with the query ?generation=N&node=NAME

/// Fetches the head that a peer follows. Returns generation 0 if the peer follows none, or nothing without a complete
/// response.
std::optional<Config::Head> fetchHead(const Support::Endpoint& peer);

/// Announces to a peer that the named node follows this generation. Returns false if the peer does not confirm it.
bool announceGeneration(const Support::Endpoint& peer, std::uint64_t generation, const std::string& node);

} // namespace balsamreel::Node
