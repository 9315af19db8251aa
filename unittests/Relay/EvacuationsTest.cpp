#include "balsamreel/Relay/Evacuations.h"

#include <gtest/gtest.h>

namespace balsamreel::Relay {

using namespace std::chrono_literals;

namespace {

constexpr Duration recoveryTime = 15s;
const Instant start(1h);

} // namespace

TEST(Evacuations, TakesOnlyNewerDocuments)
{
    Evacuations evacuations;
    EXPECT_FALSE(evacuations.apply(start, {{1, 20}, {}}, recoveryTime));
    EXPECT_FALSE(evacuations.isInUse());
    EXPECT_TRUE(evacuations.apply(start, {{1, 30}, {"digha"}}, recoveryTime));
    EXPECT_FALSE(evacuations.apply(start, {{1, 29}, {}}, recoveryTime)) << "a late message undid the evacuation";
    EXPECT_FALSE(evacuations.apply(start, {{1, 30}, {}}, recoveryTime));
    EXPECT_TRUE(evacuations.isEvacuated(start, "digha"));
    EXPECT_FALSE(evacuations.isEvacuated(start, "puri"));
    EXPECT_FALSE(evacuations.apply(start, {{1, 31}, {"digha"}}, recoveryTime)) << "nothing to tell others";
    EXPECT_TRUE(evacuations.apply(start, {{1, 40}, {}}, recoveryTime));
    EXPECT_FALSE(evacuations.isEvacuated(start, "digha"));
    EXPECT_TRUE(evacuations.isInUse()) << "others may have missed the end";
}

TEST(Evacuations, KeepsAnEvacuationThatAnOlderCopyOfTheStoreLacks)
{
    Evacuations evacuations;
    evacuations.apply(start, {{1, 30}, {"digha", "puri"}}, recoveryTime);
    EXPECT_TRUE(evacuations.apply(start, {{2, 12}, {"puri"}}, recoveryTime));
    EXPECT_TRUE(evacuations.isEvacuated(start, "digha"));
    EXPECT_TRUE(evacuations.isEvacuated(start + recoveryTime - 1ms, "digha"));
    EXPECT_FALSE(evacuations.isEvacuated(start + recoveryTime, "digha")) << "it was never written again";
    EXPECT_TRUE(evacuations.isEvacuated(start + recoveryTime, "puri"));
}

TEST(Evacuations, EndsAsSoonAsTheOperatorRemovesWhatWasWrittenAgain)
{
    Evacuations evacuations;
    evacuations.apply(start, {{1, 30}, {"digha"}}, recoveryTime);
    evacuations.apply(start, {{2, 12}, {}}, recoveryTime);
    evacuations.apply(start, {{2, 14}, {"digha"}}, recoveryTime);
    evacuations.apply(start, {{2, 15}, {}}, recoveryTime);
    EXPECT_FALSE(evacuations.isEvacuated(start, "digha"));
}

} // namespace balsamreel::Relay
