// Random steps of the simulated cluster, checked by its oracle.
// Longer run: RC_PARAMS="max_success=20000 seed=N" AtMostOnceTests --gtest_filter='Fuzz.*'
#include "SimulatedCluster.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace rc {

template <>
struct Arbitrary<balsamreel::AtMostOnce::Step> {
    static Gen<balsamreel::AtMostOnce::Step> arbitrary()
    {
        using balsamreel::AtMostOnce::Step;
        constexpr unsigned wide = 128;
        return gen::build<Step>(gen::set(&Step::kind, gen::inRange(0U, balsamreel::AtMostOnce::SimulatedCluster::kindCount)), gen::set(&Step::first, gen::inRange(0U, wide)), gen::set(&Step::second, gen::inRange(0U, wide)));
    }
};

} // namespace rc

namespace balsamreel::AtMostOnce {

void showValue(const Step& step, std::ostream& out)
{
    out << "{" << step.kind << ", " << step.first << ", " << step.second << "}";
}

namespace {

// Parameters missing from the environment get fixed values, so that CI runs the same cases each time.
bool fillParameters()
{
    const char* given = std::getenv("RC_PARAMS");
    std::string parameters = given ? given : "";
    for (const auto& [name, fallback] : {std::pair{"seed", " seed=20261204"}, {"max_success", " max_success=3000"}, {"max_size", " max_size=800"}}) {
        if (parameters.find(name) == std::string::npos)
            parameters += fallback;
    }
    return setenv("RC_PARAMS", parameters.c_str(), 1) == 0;
}

const bool areParametersSet = fillParameters();

bool holds(Mistake mistake)
{
    return rc::check([mistake](const std::vector<Step>& steps) {
        SimulatedCluster cluster(mistake);
        cluster.run(steps);
        RC_ASSERT(cluster.violation() == std::string());
    });
}

TEST(Fuzz, NoDoubleRunNoFalseNotRunNoWrongResponse)
{
    ASSERT_TRUE(areParametersSet);
    EXPECT_TRUE(holds(Mistake::None));
}

TEST(Fuzz, RunsExecuteCallsAndReturnResponses)
{
    unsigned executions = 0;
    unsigned responses = 0;
    rc::check([&](const std::vector<Step>& steps) {
        SimulatedCluster cluster(Mistake::None);
        cluster.run(steps);
        executions += cluster.executions();
        responses += cluster.responses();
    });
    EXPECT_GT(executions, 1000U);
    EXPECT_GT(responses, 300U);
}

class FuzzMistakes : public testing::TestWithParam<Mistake> { };

TEST_P(FuzzMistakes, AreFound)
{
    // Any failing case is sufficient, so shrinking is disabled.
    rc::detail::TestParams parameters{.seed = 20261204, .maxSuccess = 3000, .maxSize = 800, .disableShrinking = true};
    auto result = rc::detail::checkTestable(
        [](const std::vector<Step>& steps) {
            SimulatedCluster cluster(GetParam());
            cluster.run(steps);
            RC_ASSERT(cluster.violation() == std::string());
        },
        rc::detail::TestMetadata(), parameters);
    EXPECT_TRUE(result.is<rc::detail::FailureResult>());
}

INSTANTIATE_TEST_SUITE_P(All, FuzzMistakes, testing::Values(Mistake::UnseenIsNotRun, Mistake::NoTombstone, Mistake::UnknownIsNotRun, Mistake::IgnoresIncarnation, Mistake::UnconditionalWrite, Mistake::OwnedOnUnknownWrite, Mistake::UnmatchedResponse, Mistake::NoWatermark));

} // namespace
} // namespace balsamreel::AtMostOnce
