// Tests goodput, recovery time and the series table on constructed call records.
#include "balsamreel/Load/Goodput.h"
#include "balsamreel/Load/Series.h"

#include <gtest/gtest.h>

namespace balsamreel::Load {
namespace {

using namespace std::chrono_literals;

RunOptions threePhases()
{
    RunOptions options;
    options.profile.kinds = {CallKind{.name = "k"}};
    options.phases = {{10, 1}, {20, 1}, {10, 1}};
    options.deadline = 500ms;
    return options;
}

/// Returns 100 calls a second for 3 s. Calls due from slowFrom until slowTo take slowLatency, all others 10 ms.
RunResult makeCalls(Support::Duration slowFrom, Support::Duration slowTo, Support::Duration slowLatency)
{
    RunResult result;
    for (Support::Duration due{}; due < 3s; due += 10ms) {
        auto latency = due >= slowFrom && due < slowTo ? slowLatency : Support::Duration(10ms);
        result.calls.push_back({result.calls.size(), 0, static_cast<std::uint32_t>(due / 1s), CallResult::Good, due, latency});
    }
    return result;
}

TEST(Goodput, CountsInTimeCallsInThePhaseInWhichTheyEnd)
{
    auto goodput = goodputOfPhases(threePhases(), makeCalls(900ms, 1s, 200ms));
    EXPECT_NEAR(goodput[0], 90, 1e-9);
    EXPECT_NEAR(goodput[1], 109, 1e-9);
    EXPECT_NEAR(goodput[2], 100, 1e-9);
    EXPECT_DOUBLE_EQ(goodputOfPhases(threePhases(), makeCalls(0s, 3s, 600ms))[1], 0);
}

TEST(Goodput, RecoveryEndsAfterTheLastAbnormalStep)
{
    EXPECT_DOUBLE_EQ(recoverySeconds(threePhases(), makeCalls(1s, 2s, 300ms)), 0);
    EXPECT_DOUBLE_EQ(recoverySeconds(threePhases(), makeCalls(1s, 2350ms, 300ms)), 0.4);
    EXPECT_DOUBLE_EQ(recoverySeconds(threePhases(), makeCalls(1s, 3s, 300ms)), 1);
}

// Guards against counting late responses as good at the time they were due, which made the baseline exceed the total capacity in
// the plot.
TEST(Series, CountsInTimeCallsWhenTheyEnd)
{
    auto table = seriesTable(threePhases(), makeCalls(0s, 3s, 600ms));
    EXPECT_NE(table.find("\n1\t100\t0\t0\t"), std::string::npos) << table;
    table = seriesTable(threePhases(), makeCalls(900ms, 1s, 200ms));
    EXPECT_NE(table.find("\n0.9\t100\t10\t0\t"), std::string::npos) << table;
    EXPECT_NE(table.find("\n1.1\t100\t200\t0\t"), std::string::npos) << table;
}

} // namespace
} // namespace balsamreel::Load
