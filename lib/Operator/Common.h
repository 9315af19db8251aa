// Helpers shared by the commands of balsamctl.
#pragma once

#include "balsamreel/Operator/Commands.h"
#include "balsamreel/Store/Client.h"

#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Operator {

/// Prints the message with the program's name to standard error and returns the status.
ExitStatus printError(const std::string& message, ExitStatus = ExitStatus::Failed);

/// Returns the body of a node's response, whatever its status; nullopt if the node does not respond or the body is too large.
std::optional<std::string> queryNode(const Support::Endpoint& node, const std::string& uri);

/// Runs an action with a store client. Returns ExitStatus::Usage if no store is set.
ExitStatus withStore(const CommandContext&, ExitStatus (*action)(const CommandContext&, Store::Client&));

ExitStatus runList(const CommandContext&);
ExitStatus runGet(const CommandContext&);
ExitStatus runPut(const CommandContext&);
ExitStatus runRemove(const CommandContext&);
ExitStatus runCheck(const CommandContext&);
ExitStatus runDiff(const CommandContext&);
ExitStatus runStatus(const CommandContext&);
ExitStatus runTimeline(const CommandContext&);
ExitStatus runTrace(const CommandContext&);

} // namespace balsamreel::Operator
