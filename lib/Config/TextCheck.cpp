#include "TextCheck.h"

#include <algorithm>
#include <string_view>

namespace balsamreel::Config {

namespace {

// toml++ 3.3.0 runs into undefined behaviour when it asks whether a character such as U+0430 is white space, which it
// does wherever a key, a value or a line's end may stand. Inside strings and comments it does not ask.
bool isStray(char letter)
{
    constexpr char lastPlain = 0x7e;
    bool isLayout = letter == '\t' || letter == '\n' || letter == '\r';
    return !isLayout && (letter < ' ' || letter > lastPlain);
}

/// Where an opened string ends; the end of the line for one that is not closed.
std::size_t endOfString(std::string_view text, std::size_t start)
{
    char quote = text[start];
    std::string tripled(3, quote);
    bool isMultiLine = text.substr(start, tripled.size()) == tripled;
    if (isMultiLine) {
        auto end = text.find(tripled, start + tripled.size());
        return end == std::string_view::npos ? text.size() : end + tripled.size();
    }
    for (auto at = start + 1; at < text.size(); ++at) {
        if (text[at] == '\n')
            return at;
        if (text[at] == '\\' && quote == '"')
            ++at;
        else if (text[at] == quote)
            return at + 1;
    }
    return text.size();
}

Diagnostic diagnosticAt(const File& file, std::size_t offset)
{
    std::string_view before(file.text.data(), offset);
    auto lineStart = before.rfind('\n') + 1;
    unsigned line = 1;
    for (char letter : before)
        line += letter == '\n' ? 1 : 0;
    return {file.name, line, static_cast<unsigned>(offset - lineStart + 1), {}, "only ASCII characters may stand outside strings and comments"};
}

} // namespace

std::optional<Diagnostic> findStrayCharacter(const File& file)
{
    std::string_view text = file.text;
    std::size_t at = 0;
    while (at < text.size()) {
        if (isStray(text[at]))
            return diagnosticAt(file, at);
        if (text[at] == '#')
            at = std::min(text.find('\n', at), text.size());
        else if (text[at] == '"' || text[at] == '\'')
            at = endOfString(text, at);
        else
            ++at;
    }
    return std::nullopt;
}

} // namespace balsamreel::Config
