#pragma once

#include "balsamreel/Support/Endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Support {

enum class SettingKind { Text,
    Integer,
    Real,
    Endpoint,
    EndpointList,
    Switch };

/// One setting: its flag, its environment variable, and its valid values.
struct SettingSpec {
    std::string flag; ///< without the leading dashes
    std::string environment;
    SettingKind kind = SettingKind::Text;
    std::string fallback; ///< text of the default; empty means "not set"
    double minimum = 0; ///< for numbers
    double maximum = 0; ///< for numbers
    std::string unit; ///< for the help text
    std::string help;
    bool isRequired = false;
    std::vector<std::string> choices; ///< for text: the allowed values; any if empty
};

/// The validated values of all settings, from flags, else environment variables, else defaults.
class Settings {
public:
    std::string text(const std::string& flag) const;
    std::int64_t integer(const std::string& flag) const;
    double real(const std::string& flag) const;
    bool isOn(const std::string& flag) const;
    Endpoint endpoint(const std::string& flag) const; ///< asserts that it was set
    std::optional<Endpoint> optionalEndpoint(const std::string& flag) const;
    std::vector<Endpoint> endpoints(const std::string& flag) const;
    const std::vector<std::string>& arguments() const { return arguments_; }

private:
    friend class SettingsReader;
    std::map<std::string, std::string> values_;
    std::vector<std::string> arguments_;
};

/// Name and description of a program, for --help and --version.
struct ProgramInfo {
    std::string name;
    std::string summary;
    std::string arguments; ///< for the usage line
};

/// Exit status for an invalid setting or argument.
constexpr int usageErrorStatus = 2;

/// Reads and validates the settings. On --help or --version, prints the text and exits with 0. On an invalid setting,
/// prints one line that names it and exits with usageErrorStatus.
Settings readSettings(const ProgramInfo&, const std::vector<SettingSpec>&, int argumentCount, const char** arguments);

/// Result of parseSettings(): the settings, or an error text.
struct SettingsResult {
    Settings settings;
    std::string error; ///< empty on success
    bool wantsHelp = false;
    bool wantsVersion = false;
};

/// Like readSettings(), but returns errors and requests for --help or --version instead of exiting.
SettingsResult parseSettings(const std::vector<SettingSpec>&, int argumentCount, const char** arguments);

/// The help text of a program.
std::string helpText(const ProgramInfo&, const std::vector<SettingSpec>&);

} // namespace balsamreel::Support
