// The operators' configuration files, their merge and check, and the head object that holds the accepted result.
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
    std::uint64_t version = 0; ///< version of the object in the store; 0 for a local file
};

/// An error in a file and its position. Line and column count from 1; 0 if the error has no position.
struct Diagnostic {
    std::string file;
    unsigned line = 0;
    unsigned column = 0;
    std::string key; ///< dotted path such as service.NAME.deadline_ms; may be empty
    std::string message;

    std::string text() const; ///< "file:line:column: key: message"
};

struct MergeResult {
    Configuration configuration;
    std::string mergedText; ///< the merged tables as TOML
    std::vector<Diagnostic> diagnostics; ///< empty if the files are valid
};

/// Merges the files in the order of their names, where a key in a later file overrides earlier ones, and checks the
/// result.
MergeResult mergeFiles(std::vector<File>);

/// The accepted configuration, as stored in the head object.
struct Head {
    std::uint64_t generation = 0;
    std::map<std::string, std::uint64_t> fileVersions; ///< versions of the merged files
    std::string mergedText;
};

std::string encodeHead(const Head&);

/// Returns nullopt if the text is not a valid head.
std::optional<Head> decodeHead(const std::string& text);

constexpr std::size_t maximumFileNameBytes = 128;

/// Returns true if the name is allowed for a file of the folder.
bool isFileName(const std::string&);

/// Common key prefix of all configuration objects of a deployment in the store.
std::string configPrefix(const std::string& deployment);

/// Key prefix of the operators' files; starts with configPrefix.
std::string filesPrefix(const std::string& deployment);

/// Key of the head; starts with configPrefix.
std::string headKey(const std::string& deployment);

} // namespace balsamreel::Config
