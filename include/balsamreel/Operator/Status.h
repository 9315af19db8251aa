// The status of a whole deployment, aggregated from the responses of its nodes.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace balsamreel::Operator {

struct NodeGeneration {
    std::string node;
    std::uint64_t generation = 0;
};

struct Summary {
    std::vector<NodeGeneration> nodes; ///< that responded
    std::vector<std::string> unreachable; ///< admin addresses
    std::map<std::string, std::map<std::string, unsigned>> statesByDomain; ///< number of members by failure domain and member state
    std::set<std::string> draining; ///< "ADDRESS SERVICE NODE"
    std::set<std::string> diagnostics;

    std::uint64_t newestGeneration() const;
    std::vector<NodeGeneration> lagging() const;
};

/// Adds a node's response to /v1/status. Returns the admin addresses of the alive and suspect members that it lists.
/// Throws Poco::Exception if the response is malformed.
std::vector<std::string> addStatus(const std::string& response, Summary&);

std::string summaryText(const Summary&);
std::string summaryJson(const Summary&);

} // namespace balsamreel::Operator
