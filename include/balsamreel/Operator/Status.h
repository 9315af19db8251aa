// The status of a whole deployment, summed up from the answers of its nodes.
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
    std::vector<NodeGeneration> nodes; ///< that answered
    std::vector<std::string> unreachable; ///< admin addresses
    std::map<std::string, std::map<std::string, unsigned>> statesByDomain; ///< number of members
    std::set<std::string> draining; ///< "ADDRESS SERVICE NODE"
    std::set<std::string> diagnostics;

    std::uint64_t newestGeneration() const;
    std::vector<NodeGeneration> lagging() const;
};

/// Takes in one node's answer to /v1/status. Gives the admin addresses of the live members that it names.
/// Throws Poco::Exception if the answer can't be understood.
std::vector<std::string> addStatus(const std::string& answer, Summary&);

std::string summaryText(const Summary&);
std::string summaryJson(const Summary&);

} // namespace balsamreel::Operator
