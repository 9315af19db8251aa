// Checks that the reference page matches the schema and that the examples are accepted.
#include "Schema.h"
#include "balsamreel/Config/Acceptor.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace balsamreel::Config {
namespace {

const std::filesystem::path root = BALSAMREEL_SOURCE_DIR;

std::string readText(const std::filesystem::path& path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

struct Row {
    std::string key;
    std::string range;
    std::string fallback;
};

// Returns the rows of the table below "## [HEADING.NAME]".
std::vector<Row> rowsOf(const std::string& heading)
{
    std::istringstream page(readText(root / "docs/Configuration.md"));
    std::vector<Row> rows;
    bool isInside = false;
    const std::regex pattern(R"(\| `([a-z_]+)` \|[^|]*\|[^|]*\| *([^|]*?) *\| *([^|]*?) *\|.*)");
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("## "))
            isInside = line.starts_with("## [" + heading + ".");
        std::smatch match;
        if (isInside && std::regex_match(line, match, pattern))
            rows.push_back({match[1], match[2], match[3]});
    }
    return rows;
}

// Merges a file with one service, and one route if the table is "route", that sets this key.
MergeResult mergeWith(const std::string& table, const std::string& key, const std::string& value)
{
    std::string text = "[service.x]\n";
    text += table == "route" ? "[route.x]\nservice = \"x\"\npath = \"/\"\n" : "";
    return mergeFiles({{"a.toml", text + key + " = " + value + "\n", 1}});
}

bool isAccepted(const std::string& table, const std::string& key, const std::string& value)
{
    return mergeWith(table, key, value).diagnostics.empty();
}

void checkDefault(const std::string& table, const Row& row)
{
    if (!row.fallback.starts_with('`'))
        return;
    auto result = mergeWith(table, row.key, row.fallback.substr(1, row.fallback.size() - 2));
    EXPECT_TRUE(result.diagnostics.empty()) << row.key;
    EXPECT_TRUE(result.configuration == mergeWith(table, "# none", "").configuration) << row.key << ": the page gives another default";
}

void checkRange(const std::string& table, const Row& row)
{
    const std::regex bounds(R"((\d+) to (\d+))");
    std::smatch match;
    if (!std::regex_match(row.range, match, bounds))
        return;
    auto below = std::to_string(std::stoll(match[1]) - 1);
    auto above = std::to_string(std::stoll(match[2]) + 1);
    for (const auto& [value, isInside] : std::map<std::string, bool>{{match[1], true}, {match[2], true}, {below, false}, {above, false}})
        EXPECT_EQ(isAccepted(table, row.key, value), isInside) << row.key << " = " << value;
}

template <typename Entity>
void checkTable(const std::string& table, std::span<const KeySchema<Entity>> schema)
{
    std::set<std::string> described;
    for (const auto& row : rowsOf(table)) {
        described.insert(row.key);
        checkDefault(table, row);
        checkRange(table, row);
    }
    std::set<std::string> known;
    for (const auto& row : schema)
        known.emplace(row.name);
    EXPECT_EQ(described, known);
}

TEST(Reference, AgreesWithTheSchema)
{
    checkTable("service", serviceKeys());
    checkTable("route", routeKeys());
}

TEST(Reference, ExamplesOfThePageAreAccepted)
{
    auto page = readText(root / "docs/Configuration.md");
    std::vector<File> files;
    const std::string fence = "```toml\n";
    for (auto at = page.find(fence); at != std::string::npos; at = page.find(fence, at + 1)) {
        auto begin = at + fence.size();
        files.push_back({std::to_string(files.size()) + ".toml", page.substr(begin, page.find("```", begin) - begin), 1});
    }
    EXPECT_GE(files.size(), 2U);
    EXPECT_TRUE(checkFolder(files).diagnostics.empty());
}

TEST(Examples, AreAccepted)
{
    for (const auto& folder : std::filesystem::directory_iterator(root / "examples")) {
        std::vector<File> files;
        for (const auto& file : std::filesystem::directory_iterator(folder))
            files.push_back({file.path().filename().string(), readText(file.path()), 1});
        auto result = checkFolder(files);
        EXPECT_FALSE(result.configuration.routes.empty());
        EXPECT_TRUE(result.diagnostics.empty()) << result.diagnostics[0].text();
    }
}

} // namespace
} // namespace balsamreel::Config
