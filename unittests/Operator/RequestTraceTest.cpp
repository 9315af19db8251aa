#include "balsamreel/Operator/RequestTrace.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Operator {

namespace {

// Log lines of a request that was refused after four attempts. The clock of vm-c, the guard of the last one, is 2 s ahead.
constexpr const char* recorded[] = {
    "ts=1780909488729453 source=vm-e event=call id=4d44 route=r-1 service=s config=2 status=503 reason=deadline-too-near server=vm-c priority=2 placements=4 sent=0 took_us=148138 goal_us=300000",
    "ts=1780909488581710 source=vm-a event=guard-refused id=4d44 route=r-1 reason=deadline-too-near wait_us=169334 left_us=903933",
    "  12.3456 vm-b ts=1780909488725395 source=vm-b event=guard-ran id=4d44 route=r-1 status=0 reason=server-slowed slowed=false queued_us=0 ran_us=142188",
    "ts=1780909490728718 source=vm-c event=guard-refused id=4d44 route=r-1 reason=deadline-too-near wait_us=47244 left_us=757326",
    "ts=1780909488000000 source=vm-a event=call id=4d4 route=r-1 status=200 reason=none placements=1 took_us=1",
    "ts=1780909488700000 source=vm-d event=guard-ran id=4d44.77 route=r-2 status=200 reason=none queued_us=0 ran_us=5",
    "ts=1780909488800000 source=vm-d event=lines-left-out count=9",
    "not a line of a node",
};

std::vector<LogLine> recordedLines()
{
    std::vector<LogLine> lines;
    for (const auto* text : recorded) {
        if (auto line = parseLogLine(text))
            lines.push_back(*line);
    }
    return lines;
}

} // namespace

TEST(RequestTrace, OrdersTheLinesOfARequestCausally)
{
    auto trace = traceRequest("4d44", recordedLines());
    std::vector<std::string> sources;
    for (const auto& line : trace.lines)
        sources.push_back(line.source);
    EXPECT_EQ(sources, (std::vector<std::string>{"vm-a", "vm-d", "vm-b", "vm-c", "vm-e"}));
    EXPECT_EQ(trace.lines.back().fields.at("reason"), "deadline-too-near");
}

TEST(RequestTrace, ReportsMissingLinesAndClockDifferences)
{
    auto trace = traceRequest("4d44", recordedLines());
    EXPECT_EQ(trace.notes, (std::vector<std::string>{"the clock of vm-c differs by about 1999 ms", "4d44: 1 of 4 attempts have no line of their guard", "vm-d has dropped log lines"}));
    auto unknown = traceRequest("none", recordedLines());
    EXPECT_TRUE(unknown.lines.empty());
    EXPECT_FALSE(unknown.notes.empty());
}

TEST(RequestTrace, ParsesQuotedValuesWithSpaces)
{
    auto line = parseLogLine("ts=5 source=n event=peer-lost peer=m cause=\"Connection timed out\" offers=2");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->fields.at("cause"), "\"Connection timed out\"");
    EXPECT_EQ(line->fields.at("offers"), "2");
}

RC_GTEST_PROP(RequestTrace, AcceptsArbitraryText, ())
{
    parseLogLine("ts=1 source=a event=b " + *rc::gen::arbitrary<std::string>());
    parseLogLine(*rc::gen::arbitrary<std::string>());
}

} // namespace balsamreel::Operator
