// Random steps against the oracle of World.h. Longer: RC_PARAMS="max_success=20000 seed=N" OnceTests --gtest_filter='Fuzz.*'
#include "World.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace rc {

template <>
struct Arbitrary<balsamreel::Once::Step> {
    static Gen<balsamreel::Once::Step> arbitrary()
    {
        using balsamreel::Once::Step;
        constexpr unsigned wide = 128;
        return gen::build<Step>(gen::set(&Step::kind, gen::inRange(0U, balsamreel::Once::World::kindCount)), gen::set(&Step::first, gen::inRange(0U, wide)), gen::set(&Step::second, gen::inRange(0U, wide)));
    }
};

} // namespace rc

namespace balsamreel::Once {

void showValue(const Step& step, std::ostream& out)
{
    out << "{" << step.kind << ", " << step.first << ", " << step.second << "}";
}

namespace {

// Parameters that the environment does not set have fixed values, so that CI tries the same cases in each run.
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
        World world(mistake);
        world.run(steps);
        RC_ASSERT(world.violation() == std::string());
    });
}

TEST(Fuzz, NeverTwiceNeverFalselyNotRunNeverAWrongAnswer)
{
    ASSERT_TRUE(areParametersSet);
    EXPECT_TRUE(holds(Mistake::None));
}

TEST(Fuzz, RunsExecuteAndAnswerCalls)
{
    unsigned executions = 0;
    unsigned answers = 0;
    rc::check([&](const std::vector<Step>& steps) {
        World world(Mistake::None);
        world.run(steps);
        executions += world.executions();
        answers += world.answers();
    });
    EXPECT_GT(executions, 1000U);
    EXPECT_GT(answers, 300U);
}

class FuzzMistakes : public testing::TestWithParam<Mistake> { };

TEST_P(FuzzMistakes, AreFound)
{
    // Any case that fails will do, so none is shrunk.
    rc::detail::TestParams parameters{.seed = 20261204, .maxSuccess = 3000, .maxSize = 800, .disableShrinking = true};
    auto result = rc::detail::checkTestable(
        [](const std::vector<Step>& steps) {
            World world(GetParam());
            world.run(steps);
            RC_ASSERT(world.violation() == std::string());
        },
        rc::detail::TestMetadata(), parameters);
    EXPECT_TRUE(result.is<rc::detail::FailureResult>());
}

INSTANTIATE_TEST_SUITE_P(All, FuzzMistakes, testing::Values(Mistake::UnseenIsNotRun, Mistake::NoTombstone, Mistake::UnknownIsNotRun, Mistake::IgnoresIncarnation, Mistake::UnconditionalWrite, Mistake::OwnedOnUnknownWrite, Mistake::UnmatchedAnswer, Mistake::NoFloor));

} // namespace
} // namespace balsamreel::Once
