// Log lines in key=value form on standard error, for changes of state only.
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

/// The name that every line of this process carries.
void setLogSource(std::string source);

void writeLogLine(LogLevel, std::string_view event, std::string_view fields);

/// Writes "ts=... level=... source=... event=EVENT FIELDS".
template <typename... Arguments>
void log(LogLevel level, std::string_view event, fmt::format_string<Arguments...> fields, Arguments&&... arguments)
{
    writeLogLine(level, event, fmt::format(fields, std::forward<Arguments>(arguments)...));
}

} // namespace balsamreel::Support
