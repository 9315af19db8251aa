// Tests text differences, status summaries, and the help and argument checks of the commands.
#include "balsamreel/Operator/Status.h"
#include "balsamreel/Operator/Commands.h"
#include "balsamreel/Operator/Diff.h"

#include <gtest/gtest.h>

namespace balsamreel::Operator {
namespace {

TEST(LineDiff, ListsOnlyDifferingLines)
{
    EXPECT_TRUE(lineDiff("a\nb\n", "a\nb\n").empty());
    EXPECT_EQ(lineDiff("a\nb\nc\n", "a\nx\nc\nd\n"), (std::vector<std::string>{"-b", "+x", "+d"}));
    EXPECT_EQ(lineDiff("", "a\n"), (std::vector<std::string>{"+a"}));
}

TEST(Summary, ReportsLaggingNodesDrainingServersAndDiagnostics)
{
    Summary summary;
    auto addresses = addStatus(R"({"node":"a","generation":3,"members":[
        {"node":"a","state":"alive","domain":"d1","admin":"127.0.0.1:1","servers":[{"address":"127.0.0.1:9","service":"s","slots":1,"state":"draining"}]},
        {"node":"b","state":"dead","domain":"d2","admin":"127.0.0.1:2","servers":[]}],"diagnostics":["x.toml:1:1: bad"]})",
        summary);
    EXPECT_EQ(addresses, std::vector<std::string>{"127.0.0.1:1"});
    addStatus(R"({"node":"c","generation":2,"members":[],"diagnostics":[]})", summary);
    EXPECT_EQ(summaryText(summary), "generation 3 in force on 1 of 2 nodes that answered\nlags: c at generation 2\ndomain d1: 1 alive\ndomain d2: 1 dead\n"
                                    "draining: 127.0.0.1:9 s a\nnot accepted: x.toml:1:1: bad\n");
    EXPECT_NE(summaryJson(summary).find("\"lagging\":[{\"generation\":2,\"node\":\"c\"}]"), std::string::npos);
}

TEST(Commands, EveryCommandHasHelpAndChecksItsArgumentCount)
{
    for (const auto& command : commands()) {
        EXPECT_NE(commandHelp(command).find("Exit statuses"), std::string::npos);
        CommandContext context;
        context.arguments.assign(command.maximumArguments + 1, "x");
        EXPECT_EQ(runCommand(std::string(command.name), context), ExitStatus::Usage);
    }
}

} // namespace
} // namespace balsamreel::Operator
