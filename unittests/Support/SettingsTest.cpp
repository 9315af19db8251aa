// Precedence of sources, range checks, and errors that name the flag.
#include "balsamreel/Support/Settings.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace balsamreel::Support {
namespace {

std::vector<SettingSpec> specs()
{
    return {
        {.flag = "count", .environment = "TEST_COUNT", .kind = SettingKind::Integer, .fallback = "3", .minimum = 1, .maximum = 9, .unit = "calls"},
        {.flag = "listen", .environment = "TEST_LISTEN", .kind = SettingKind::Endpoint, .fallback = "127.0.0.1:80"},
    };
}

SettingsResult parse(std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "program");
    arguments.push_back(nullptr);
    return parseSettings(specs(), static_cast<int>(arguments.size()) - 1, arguments.data());
}

TEST(Settings, FlagsOverrideEnvironmentAndDefaults)
{
    EXPECT_EQ(parse({}).settings.integer("count"), 3);
    setenv("TEST_COUNT", "4", 1);
    EXPECT_EQ(parse({}).settings.integer("count"), 4);
    EXPECT_EQ(parse({"--count", "5"}).settings.integer("count"), 5);
    unsetenv("TEST_COUNT");
}

TEST(Settings, ErrorsNameTheInvalidFlag)
{
    EXPECT_NE(parse({"--count", "12"}).error.find("--count must be between 1 and 9 calls"), std::string::npos);
    EXPECT_NE(parse({"--count", "x"}).error.find("--count must be a whole number"), std::string::npos);
    EXPECT_NE(parse({"--listen", "localhost:80"}).error.find("--listen must be IP:PORT"), std::string::npos);
    EXPECT_NE(parse({"--cuont", "1"}).error.find("--cuont"), std::string::npos);
}

} // namespace
} // namespace balsamreel::Support
