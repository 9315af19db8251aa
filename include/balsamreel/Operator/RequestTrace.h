// Reconstructs the path of one request from the log lines of many nodes. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Operator {

/// One line of a node's log.
struct LogLine {
    std::int64_t micros = 0; ///< wall-clock time of the node
    std::string source; ///< name of the node
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text; ///< everything after the event
};

/// Parses "ts=MICROS source=NODE event=KIND key=value ...", ignoring any text before "ts=". Returns nullopt if the line has
/// another format.
std::optional<LogLine> parseLogLine(std::string_view);

struct RequestTrace {
    std::vector<LogLine> lines; ///< in causal order
    std::vector<std::string> notes; ///< missing log lines and clock differences
};

/// Collects the lines of a request and of the calls that servers made for it. Wall clocks may differ between nodes, so a guard's
/// line is ordered before the end of the call that it belongs to, whatever its timestamp.
RequestTrace traceRequest(const std::string& id, const std::vector<LogLine>&);

} // namespace balsamreel::Operator
