// Checks the characters of a file before the TOML library parses it.
#pragma once

#include "balsamreel/Config/Files.h"

#include <optional>

namespace balsamreel::Config {

/// Reports the first character outside strings and comments that is neither printable ASCII nor a tab or line break.
std::optional<Diagnostic> findUnsupportedCharacter(const File&);

} // namespace balsamreel::Config
