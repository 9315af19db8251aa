// The way of one request, put together from the log lines of many nodes. Pure.
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
    std::int64_t micros = 0; ///< wall time of the node
    std::string source; ///< node
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text; ///< all after the event
};

/// Reads "ts=MICROS source=NODE event=KIND key=value ..."; nothing if the line is of another kind.
std::optional<LogLine> parseLogLine(std::string_view);

struct RequestTrace {
    std::vector<LogLine> lines; ///< in causal order
    std::vector<std::string> notes; ///< what the logs should tell and do not, and clocks that differ
};

/// The lines of a request and of the calls that its server made for it. Wall clocks may differ between nodes: a guard's
/// line comes before the end of the call that it belongs to, whatever its time says.
RequestTrace traceRequest(const std::string& id, const std::vector<LogLine>&);

} // namespace balsamreel::Operator
