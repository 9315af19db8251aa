// Tests the merge and the check of the operators' files.
#include "balsamreel/Config/Files.h"

#include <gtest/gtest.h>

namespace balsamreel::Config {
namespace {

const File services{"10-services.toml", "[service.catalog]\ndeadline_ms = 1000\n", 1};
const File routes{"20-routes.toml", "[route.specs]\nservice = \"catalog\"\npath = \"/catalog/\"\nmethods = [\"GET\"]\n", 2};

TEST(MergeFiles, LaterFilesOverrideSingleKeys)
{
    File change{"30-change.toml", "[service.catalog]\nretry_ratio = 0.5\n[route.specs]\npriority = 2\n", 3};
    auto result = mergeFiles({change, routes, services});
    ASSERT_TRUE(result.diagnostics.empty()) << result.diagnostics[0].text();
    EXPECT_EQ(result.configuration.services.at("catalog").retryRatio, 0.5);
    EXPECT_EQ(result.configuration.services.at("catalog").deadline, std::chrono::milliseconds(1000));
    EXPECT_EQ(result.configuration.routes.at("specs").priority, 2U);
    auto again = mergeFiles({{"accepted", result.mergedText, 0}});
    EXPECT_TRUE(again.diagnostics.empty());
    EXPECT_EQ(again.configuration.routes.at("specs").path, "/catalog/");
}

TEST(MergeFiles, ErrorsNameFileLineAndKey)
{
    auto text = [](const File& file) {
        auto result = mergeFiles({services, routes, file});
        return result.diagnostics.empty() ? std::string() : result.diagnostics[0].text();
    };
    EXPECT_EQ(text({"30-x.toml", "[service.catalog]\nretry_raito = 1\n", 3}).substr(0, 12), "30-x.toml:2:");
    EXPECT_NE(text({"30-x.toml", "[service.catalog]\nretry_raito = 1\n", 3}).find("service.catalog.retry_raito: unknown key; did you mean \"retry_ratio\"?"), std::string::npos);
    EXPECT_NE(text({"30-x.toml", "[service.catalog]\ndeadline_ms = 0\n", 3}).find("service.catalog.deadline_ms: must be between 1 and"), std::string::npos);
    EXPECT_NE(text({"30-x.toml", "[route.other]\nservice = \"none\"\npath = \"/x\"\n", 3}).find("no service is called \"none\""), std::string::npos);
    EXPECT_NE(text({"30-x.toml", "[route.other]\nservice = \"catalog\"\npath = \"/catalog/\"\nmethods = [\"GET\"]\n", 3}).find("already matches this path"), std::string::npos);
    EXPECT_EQ(text({"30-x.toml", "[broken\n", 3}).substr(0, 10), "30-x.toml:");
}

TEST(MergeFiles, RejectsInvalidTableHeaders)
{
    for (const char* text : {"[%a]\n", "[ =]\n", "[[%a]]\n", "[\xc3\xa9]\n", "["})
        EXPECT_FALSE(mergeFiles({{"10.toml", text, 1}}).diagnostics.empty()) << text;
}

TEST(MergeFiles, AllowsNonAsciiTextOnlyInCommentsAndStrings)
{
    auto text = [](const std::string& content) {
        auto result = mergeFiles({{"10.toml", content, 1}});
        return result.diagnostics.empty() ? std::string() : result.diagnostics[0].text();
    };
    EXPECT_EQ(text("# \xd0\xb0\n[service.catalog] # \xe0\xa6\x95\n"), "");
    EXPECT_EQ(text("[service.catalog]\n\xd0\xb0 = 1\n"), "10.toml:2:1: only ASCII characters are allowed outside strings and comments");
    EXPECT_EQ(text("[service.\"\xd0\xb0\"]\n"), "");
}

TEST(Head, RoundTrip)
{
    Head head{5, {{"10-services.toml", 7}}, "[service.catalog]\n"};
    auto decoded = decodeHead(encodeHead(head));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->generation, 5U);
    EXPECT_EQ(decoded->fileVersions, head.fileVersions);
    EXPECT_EQ(decoded->mergedText, head.mergedText);
    EXPECT_FALSE(decodeHead("generation = 0"));
    EXPECT_FALSE(decodeHead("not toml ="));
    EXPECT_FALSE(decodeHead("generation = 5\xd0\xb0\n"));
}

TEST(FindRoute, LongestPathWins)
{
    auto result = mergeFiles({services, {"20.toml", "[route.a]\nservice = \"catalog\"\npath = \"/\"\n[route.b]\nservice = \"catalog\"\npath = \"/catalog/\"\nmethods = [\"GET\"]\n", 2}});
    EXPECT_EQ(findRoute(result.configuration, "GET", "/catalog/x")->name, "b");
    EXPECT_EQ(findRoute(result.configuration, "POST", "/catalog/x")->name, "a");
    EXPECT_EQ(findRoute(result.configuration, "GET", "x"), nullptr);
}

} // namespace
} // namespace balsamreel::Config
