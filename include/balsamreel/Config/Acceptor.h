// Accepts the operators' folder: reads, merges, checks, and moves the head by one conditional update.
#pragma once

#include "balsamreel/Config/Files.h"
#include "balsamreel/Store/Client.h"

#include <system_error>

namespace balsamreel::Config {

struct AcceptResult {
    std::error_code error; ///< of the store; the head below holds only if there is none
    Head head; ///< the head as it stands afterwards
    bool isNew = false; ///< this call moved the head
    std::vector<Diagnostic> diagnostics; ///< why the folder was not accepted
};

/// Brings the head up to the folder. Safe to run on many nodes at once: the store orders them.
AcceptResult acceptFolder(Store::Client&, const std::string& deployment);

/// Reads all files of the folder. Errors: those of the store.
std::error_code readFolder(Store::Client&, const std::string& deployment, std::vector<File>&);

} // namespace balsamreel::Config
