// A check of a file's characters before it goes to the TOML library.
#pragma once

#include "balsamreel/Config/Files.h"

#include <optional>

namespace balsamreel::Config {

/// The first character outside strings and comments that is not plain ASCII, if there is one.
std::optional<Diagnostic> findUnsupportedCharacter(const File&);

} // namespace balsamreel::Config
