#include "balsamreel/Operator/RequestTrace.h"

#include "balsamreel/Support/Numbers.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace balsamreel::Operator {

namespace {

constexpr std::int64_t microsPerMilli = 1000;

// Removes and returns the next word of the text. Quoted parts of a word may contain spaces.
std::string_view readWord(std::string_view& rest)
{
    auto start = std::min(rest.find_first_not_of(' '), rest.size());
    rest.remove_prefix(start);
    bool isQuoted = false;
    std::size_t length = 0;
    for (; length < rest.size() && (isQuoted || rest[length] != ' '); ++length)
        isQuoted = isQuoted != (rest[length] == '"');
    auto word = rest.substr(0, length);
    rest.remove_prefix(length);
    return word;
}

std::int64_t numberOf(const LogLine& line, const std::string& key)
{
    auto found = line.fields.find(key);
    // Lines of some events lack the field; it then counts as 0.
    return found == line.fields.end() ? 0 : Support::parseNumber<std::int64_t>(found->second).value_or(0);
}

std::string idOf(const LogLine& line)
{
    auto found = line.fields.find("id");
    return found == line.fields.end() ? std::string() : found->second;
}

// The id of a call that a server makes for a request is the request's id followed by a dot and more.
bool belongsTo(const std::string& id, const std::string& request)
{
    return id == request || id.starts_with(request + ".");
}

bool isGuardLine(const LogLine& line)
{
    return line.event == "guard-ran" || line.event == "guard-refused";
}

/// Duration of one call, from the line that its entry logs at the end.
struct CallSpan {
    std::string id;
    std::int64_t start = 0;
    std::int64_t end = 0;
    std::int64_t placements = 0;
};

std::vector<CallSpan> spansOf(const std::vector<LogLine>& lines)
{
    std::vector<CallSpan> spans;
    for (const auto& line : lines) {
        if (line.event == "call")
            spans.push_back({idOf(line), line.micros - numberOf(line, "took_us"), line.micros, numberOf(line, "placements")});
    }
    return spans;
}

// Moves each guard's line into the time span of its call, and notes by how much the clock of the guard's node must differ.
void alignClocks(const std::vector<CallSpan>& spans, RequestTrace& trace)
{
    std::map<std::string, std::int64_t> offsets;
    for (auto& line : trace.lines) {
        auto span = std::ranges::find(spans, idOf(line), &CallSpan::id);
        if (!isGuardLine(line) || span == spans.end())
            continue;
        auto aligned = std::clamp(line.micros, span->start, span->end);
        auto& offset = offsets[line.source];
        auto difference = line.micros - aligned;
        if (std::abs(difference) > std::abs(offset))
            offset = difference;
        line.micros = aligned;
    }
    for (const auto& [source, offset] : offsets) {
        if (std::abs(offset) > microsPerMilli)
            trace.notes.push_back(fmt::format("the clock of {} differs by about {} ms", source, offset / microsPerMilli));
    }
}

void addMissingLineNotes(const std::string& id, const std::vector<CallSpan>& spans, const std::vector<LogLine>& all, RequestTrace& trace)
{
    if (std::ranges::none_of(spans, [&](const auto& span) { return span.id == id; }))
        trace.notes.push_back("no line of an entry reports the end of the request");
    for (const auto& span : spans) {
        auto guardLineCount = std::ranges::count_if(trace.lines, [&](const auto& line) { return isGuardLine(line) && idOf(line) == span.id; });
        if (guardLineCount < span.placements)
            trace.notes.push_back(fmt::format("{}: {} of {} attempts have no line of their guard", span.id, span.placements - guardLineCount, span.placements));
    }
    std::set<std::string> incompleteSources;
    for (const auto& line : all) {
        bool isFirstReport = line.event == "lines-left-out" && incompleteSources.insert(line.source).second;
        if (isFirstReport)
            trace.notes.push_back(fmt::format("{} has dropped log lines", line.source));
    }
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view text)
{
    LogLine line;
    auto start = text.find("ts=");
    if (start == std::string_view::npos)
        return std::nullopt;
    auto rest = text.substr(start);
    std::map<std::string, std::string> head;
    for (std::string_view key : {"ts", "source", "event"}) {
        auto word = readWord(rest);
        if (!word.starts_with(key) || word.size() <= key.size() || word[key.size()] != '=')
            return std::nullopt;
        head[std::string(key)] = std::string(word.substr(key.size() + 1));
    }
    auto micros = Support::parseNumber<std::int64_t>(head["ts"]);
    if (!micros)
        return std::nullopt;
    line.micros = *micros;
    line.source = head["source"];
    line.event = head["event"];
    line.text = std::string(rest.substr(std::min(rest.find_first_not_of(' '), rest.size())));
    for (auto word = readWord(rest); !word.empty(); word = readWord(rest)) {
        auto equals = word.find('=');
        if (equals != std::string_view::npos)
            line.fields[std::string(word.substr(0, equals))] = std::string(word.substr(equals + 1));
    }
    return line;
}

RequestTrace traceRequest(const std::string& id, const std::vector<LogLine>& all)
{
    RequestTrace trace;
    for (const auto& line : all) {
        if (belongsTo(idOf(line), id))
            trace.lines.push_back(line);
    }
    auto spans = spansOf(trace.lines);
    alignClocks(spans, trace);
    std::ranges::stable_sort(trace.lines, [](const auto& left, const auto& right) {
        if (left.micros != right.micros)
            return left.micros < right.micros;
        return isGuardLine(left) && !isGuardLine(right);
    });
    addMissingLineNotes(id, spans, all, trace);
    return trace;
}

} // namespace balsamreel::Operator
