#include "TextCheck.h"

#include <algorithm>
#include <string_view>

namespace balsamreel::Config {

namespace {

// toml++ 3.3.0 has undefined behaviour when it tests whether a character such as U+0430 is white space. It makes this
// test wherever a key, a value or the end of a line may follow, but not inside strings and comments.
bool isUnsupported(char letter)
{
    constexpr char lastPrintable = 0x7e;
    bool isWhiteSpace = letter == '\t' || letter == '\n' || letter == '\r';
    return !isWhiteSpace && (letter < ' ' || letter > lastPrintable);
}

/// Returns the offset behind the string that begins at start. An unclosed string ends at the end of its line, an unclosed
/// multi-line string at the end of the text.
std::size_t endOfString(std::string_view text, std::size_t start)
{
    char quote = text[start];
    std::string tripled(3, quote);
    bool isMultiLine = text.substr(start, tripled.size()) == tripled;
    if (isMultiLine) {
        auto end = text.find(tripled, start + tripled.size());
        return end == std::string_view::npos ? text.size() : end + tripled.size();
    }
    for (auto offset = start + 1; offset < text.size(); ++offset) {
        if (text[offset] == '\n')
            return offset;
        if (text[offset] == '\\' && quote == '"')
            ++offset;
        else if (text[offset] == quote)
            return offset + 1;
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
    return {file.name, line, static_cast<unsigned>(offset - lineStart + 1), {}, "only ASCII characters are allowed outside strings and comments"};
}

} // namespace

std::optional<Diagnostic> findUnsupportedCharacter(const File& file)
{
    std::string_view text = file.text;
    std::size_t offset = 0;
    while (offset < text.size()) {
        if (isUnsupported(text[offset]))
            return diagnosticAt(file, offset);
        if (text[offset] == '#')
            offset = std::min(text.find('\n', offset), text.size());
        else if (text[offset] == '"' || text[offset] == '\'')
            offset = endOfString(text, offset);
        else
            ++offset;
    }
    return std::nullopt;
}

} // namespace balsamreel::Config
