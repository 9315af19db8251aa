// Differences between two texts, line by line.
#pragma once

#include <string>
#include <vector>

namespace balsamreel::Operator {

/// Lines that only the old text has, marked '-', and that only the new one has, marked '+', in order.
std::vector<std::string> lineDiff(const std::string& oldText, const std::string& newText);

} // namespace balsamreel::Operator
