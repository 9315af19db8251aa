// Settings of a program, from flags first, then environment variables, then defaults.
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

/// One setting: its flag, its environment variable, and what values it takes.
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
    std::vector<std::string> choices; ///< for text: the values allowed, any if empty
};

/// The checked values of all settings.
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

/// What a program is called and what it does, for --help and --version.
struct ProgramInfo {
    std::string name;
    std::string summary;
    std::string arguments; ///< for the usage line
};

/// Exit status for a setting or an argument that is wrong.
constexpr int usageErrorStatus = 2;

/// Reads and checks the settings. On --help or --version prints and exits with 0;
/// on a bad setting prints one line that names it and exits with usageErrorStatus.
Settings readSettings(const ProgramInfo&, const std::vector<SettingSpec>&, int argumentCount, const char** arguments);

/// The same check without the exit: an error text, or the settings.
struct SettingsResult {
    Settings settings;
    std::string error; ///< empty if all is well
    bool wantsHelp = false;
    bool wantsVersion = false;
};
SettingsResult parseSettings(const std::vector<SettingSpec>&, int argumentCount, const char** arguments);

/// The help text of a program.
std::string helpText(const ProgramInfo&, const std::vector<SettingSpec>&);

} // namespace balsamreel::Support
