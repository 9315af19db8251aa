#include "Common.h"
#include "balsamreel/Operator/RequestTrace.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace balsamreel::Operator {

namespace {

void readLines(std::istream& stream, std::vector<LogLine>& lines)
{
    std::string text;
    while (std::getline(stream, text)) {
        if (auto line = parseLogLine(text))
            lines.push_back(std::move(*line));
    }
}

} // namespace

ExitStatus runTrace(const CommandContext& context)
{
    std::vector<LogLine> lines;
    for (std::size_t index = 1; index < context.arguments.size(); ++index) {
        std::ifstream file(context.arguments[index]);
        if (!file)
            return printError(fmt::format("{}: cannot be read", context.arguments[index]), ExitStatus::Usage);
        readLines(file, lines);
    }
    if (context.arguments.size() == 1)
        readLines(std::cin, lines);
    auto trace = traceRequest(context.arguments[0], lines);
    for (const auto& line : trace.lines)
        fmt::print("{} {} {} {}\n", line.micros, line.source, line.event, line.text);
    for (const auto& note : trace.notes)
        fmt::print("note: {}\n", note);
    return trace.lines.empty() ? ExitStatus::Failed : ExitStatus::Done;
}

} // namespace balsamreel::Operator
