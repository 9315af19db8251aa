// The operators' folder: files are merged in the order of their names and checked as a whole.
#pragma once

#include "balsamreel/Config/Model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Config {

struct File {
    std::string name;
    std::string text; ///< TOML
    std::uint64_t version = 0; ///< of the object in the store; 0 for a local file
};

/// What is wrong with a file, and where.
struct Diagnostic {
    std::string file;
    unsigned line = 0;
    unsigned column = 0;
    std::string key; ///< dotted
    std::string message;

    std::string text() const; ///< "file:line:column: key: message"
};

struct MergeResult {
    Configuration configuration;
    std::string mergedText; ///< TOML of the merged tables
    std::vector<Diagnostic> diagnostics; ///< empty if the folder may be accepted
};

/// Merges the files in name order (a later file's key wins) and checks the result.
MergeResult mergeFiles(std::vector<File>);

/// The accepted configuration as kept in the store's head object.
struct Head {
    std::uint64_t generation = 0;
    std::map<std::string, std::uint64_t> fileVersions; ///< versions of the files it was merged from
    std::string mergedText;
};

std::string encodeHead(const Head&);
std::optional<Head> decodeHead(const std::string& text);

constexpr std::size_t maximumFileNameBytes = 128;

/// The name may be used for a file of the folder.
bool isFileName(const std::string&);

/// Prefix of all that configuration keeps in the store, below a deployment's prefix.
std::string configPrefix(const std::string& deployment);

/// Prefix of the operators' files and key of the head, both below configPrefix.
std::string filesPrefix(const std::string& deployment);
std::string headKey(const std::string& deployment);

} // namespace balsamreel::Config
