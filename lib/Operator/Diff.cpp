#include "balsamreel/Operator/Diff.h"

#include <algorithm>
#include <cstdint>
#include <sstream>

namespace balsamreel::Operator {

namespace {

// Bounds the memory of the longest-common-subsequence table. Configuration files are far smaller.
constexpr std::size_t maximumLines = 4000;

std::vector<std::string> linesOf(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

// length[i][j] is the length of the longest common subsequence of before[i..] and after[j..].
std::vector<std::vector<std::uint16_t>> commonLengths(const std::vector<std::string>& before, const std::vector<std::string>& after)
{
    std::vector<std::vector<std::uint16_t>> length(before.size() + 1, std::vector<std::uint16_t>(after.size() + 1, 0));
    for (auto i = before.size(); i-- > 0;) {
        for (auto j = after.size(); j-- > 0;) {
            bool isSame = before[i] == after[j];
            length[i][j] = isSame ? static_cast<std::uint16_t>(length[i + 1][j + 1] + 1) : std::max(length[i + 1][j], length[i][j + 1]);
        }
    }
    return length;
}

} // namespace

std::vector<std::string> lineDiff(const std::string& oldText, const std::string& newText)
{
    auto before = linesOf(oldText);
    auto after = linesOf(newText);
    if (before.size() > maximumLines || after.size() > maximumLines)
        return oldText == newText ? std::vector<std::string>() : std::vector<std::string>{"(too long to compare by line)"};
    auto length = commonLengths(before, after);
    std::vector<std::string> differences;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            ++i;
            ++j;
        } else if (j == after.size() || (i < before.size() && length[i + 1][j] >= length[i][j + 1])) {
            differences.push_back("-" + before[i++]);
        } else {
            differences.push_back("+" + after[j++]);
        }
    }
    return differences;
}

} // namespace balsamreel::Operator
