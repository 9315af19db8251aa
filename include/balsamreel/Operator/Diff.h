// Line-by-line differences between two texts.
#pragma once

#include <string>
#include <vector>

namespace balsamreel::Operator {

/// Returns the lines found only in the old text, prefixed with '-', and those found only in the new text, prefixed with '+', in
/// order. Returns a single notice if the texts differ and one of them is too long to compare.
std::vector<std::string> lineDiff(const std::string& oldText, const std::string& newText);

} // namespace balsamreel::Operator
