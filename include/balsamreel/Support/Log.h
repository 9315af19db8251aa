#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace balsamreel::Support {

enum class LogLevel { Debug,
    Info,
    Warning,
    Error };

/// Lines below this level are dropped.
void setLogLevel(LogLevel);

/// Sets the source name in every line of this process.
void setLogSource(std::string source);

/// Writes a line in key=value form to standard error. Thread-safe.
void writeLogLine(LogLevel, std::string_view event, std::string_view fields);

/// Writes "ts=... level=... source=... event=EVENT FIELDS" to standard error. Only for changes of state.
template <typename... Arguments>
void log(LogLevel level, std::string_view event, fmt::format_string<Arguments...> fields, Arguments&&... arguments)
{
    writeLogLine(level, event, fmt::format(fields, std::forward<Arguments>(arguments)...));
}

} // namespace balsamreel::Support
