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

// Without RC_PARAMS in the environment every run tries the same cases.
const bool areParametersSet = setenv("RC_PARAMS", "seed=20261204 max_success=3000 max_size=800", 0) == 0;

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
    EXPECT_FALSE(holds(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(All, FuzzMistakes, testing::Values(Mistake::UnseenIsNotRun, Mistake::NoTombstone, Mistake::UnknownIsNotRun, Mistake::IgnoresIncarnation, Mistake::UnconditionalWrite, Mistake::OwnedOnUnknownWrite, Mistake::UnmatchedAnswer, Mistake::NoFloor));

} // namespace
} // namespace balsamreel::Once
