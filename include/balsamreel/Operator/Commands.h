// The commands of balsamctl.
#pragma once

#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/NameTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Operator {

/// Exit statuses of balsamctl.
enum class ExitStatus : std::uint8_t { Done = 0,
    Failed = 1, ///< the store or the nodes could not be reached
    Usage = 2,
    Invalid = 3, ///< the configuration has errors
    Conflict = 4, ///< another client changed the file first
    Different = 5, ///< diff found differences
    Unknown = 6 ///< an update may or may not have taken effect
};

struct CommandContext {
    std::optional<Support::Endpoint> store;
    std::vector<Support::Endpoint> nodes; ///< admin addresses
    std::string deployment;
    bool isJson = false;
    std::vector<std::string> arguments; ///< those that follow the command name
    std::optional<std::uint64_t> expectedVersion; ///< of the file to change; 0: the file must not exist
};

struct Command {
    std::string_view name;
    std::string_view arguments;
    std::string_view help;
    std::string_view details; ///< longer help, printed only by COMMAND --help
    std::size_t minimumArguments = 0;
    std::size_t maximumArguments = 0;
    ExitStatus (*run)(const CommandContext&);
};

const std::vector<Command>& commands();

/// Returns nullptr if there is no such command.
const Command* findCommand(const std::string& name);

/// Returns the text that `balsamctl COMMAND --help` prints.
std::string commandHelp(const Command&);
std::string exitStatusText();

/// Runs the named command. Returns ExitStatus::Usage if there is no such command or the number of arguments is wrong.
ExitStatus runCommand(const std::string& name, const CommandContext&);

} // namespace balsamreel::Operator
