// Claims of one shard at one home: store writes and the results of repeated calls. Guards against two owners of one key.
#include "balsamreel/AtMostOnce/Claims.h"

#include <gtest/gtest.h>

namespace balsamreel::AtMostOnce {
namespace {

constexpr std::int64_t second = 1'000'000;

ClaimRequest requestOf(const std::string& key, std::uint64_t counter, std::uint64_t fingerprint = 7)
{
    return {key, {1, counter}, fingerprint, 5 * second};
}

ClaimResult onlyResult(ClaimShard& shard)
{
    auto resolutions = shard.takeResolutions();
    EXPECT_EQ(resolutions.size(), 1U);
    return resolutions.empty() ? ClaimResult::Unavailable : resolutions.front().reply.result;
}

/// Returns a shard, loaded from an empty store, with a stored claim of token {1, 1} on key "k".
ClaimShard ownedShard()
{
    ClaimShard shard;
    shard.begin(1, requestOf("k", 1));
    EXPECT_TRUE(std::holds_alternative<Load>(shard.next(0)));
    shard.loadedNone();
    EXPECT_TRUE(std::holds_alternative<Write>(shard.next(0)));
    EXPECT_TRUE(shard.takeResolutions().empty());
    shard.written(1);
    EXPECT_EQ(onlyResult(shard), ClaimResult::Owned);
    return shard;
}

TEST(ClaimShard, NothingIsOwnedBeforeItIsWritten)
{
    ownedShard();
}

TEST(ClaimShard, ARetryReceivesTheOutcomeOfTheCall)
{
    auto shard = ownedShard();
    shard.begin(2, requestOf("k", 2));
    shard.next(second);
    EXPECT_EQ(onlyResult(shard), ClaimResult::InProgress);
    shard.begin(3, requestOf("k", 3));
    shard.next(8 * second);
    EXPECT_EQ(onlyResult(shard), ClaimResult::Unknown);
    shard.begin(4, requestOf("k", 4, 8));
    shard.next(second);
    EXPECT_EQ(onlyResult(shard), ClaimResult::Mismatch);

    shard.complete({"k", {1, 1}, ClaimState::Done, RetainedResponse{200, {}, "paid"}});
    ASSERT_TRUE(std::holds_alternative<Write>(shard.next(second)));
    shard.written(2);
    shard.begin(5, requestOf("k", 5));
    shard.next(second);
    auto resolutions = shard.takeResolutions();
    ASSERT_EQ(resolutions.size(), 1U);
    EXPECT_EQ(resolutions[0].reply.result, ClaimResult::Done);
    EXPECT_EQ(resolutions[0].reply.answer->body, "paid");
}

TEST(ClaimShard, ACallThatHasNotRunMayBeClaimedAgainButNotByTheSameToken)
{
    auto shard = ownedShard();
    shard.complete({"k", {1, 1}, ClaimState::NotRun, std::nullopt});
    shard.next(second);
    shard.written(2);
    shard.begin(2, requestOf("k", 1));
    shard.next(second);
    EXPECT_EQ(onlyResult(shard), ClaimResult::Unavailable);
    shard.begin(3, requestOf("k", 2));
    ASSERT_TRUE(std::holds_alternative<Write>(shard.next(second)));
    shard.written(3);
    EXPECT_EQ(onlyResult(shard), ClaimResult::Owned);
}

TEST(ClaimShard, AnUnknownWriteIsResolvedByReadingBack)
{
    ClaimShard shard;
    shard.begin(1, requestOf("k", 1));
    shard.next(0);
    shard.loadedNone();
    auto step = shard.next(0);
    auto value = std::get<Write>(step).value;
    shard.writeUnknown();
    EXPECT_TRUE(shard.takeResolutions().empty());
    EXPECT_TRUE(std::holds_alternative<Load>(shard.next(0)));
    shard.loaded(value, 9);
    shard.next(0);
    EXPECT_EQ(onlyResult(shard), ClaimResult::Owned);
}

TEST(ClaimShard, AFullShardRefusesNewClaimsAndKeepsItsOwn)
{
    ClaimShard shard({.maximumBytes = 200});
    shard.begin(1, requestOf("k1", 1));
    shard.next(0);
    shard.loadedNone();
    shard.next(0);
    shard.written(1);
    EXPECT_EQ(onlyResult(shard), ClaimResult::Owned);
    for (std::uint64_t counter = 2; counter < 6; ++counter)
        shard.begin(counter, requestOf("k" + std::to_string(counter), counter));
    shard.next(0);
    EXPECT_EQ(shard.takeResolutions().size(), 4U);
    shard.begin(9, requestOf("k1", 9));
    shard.next(0);
    EXPECT_EQ(onlyResult(shard), ClaimResult::InProgress);
}

TEST(ClaimShard, UnreadableClaimsMakeTheShardUnavailable)
{
    ClaimShard shard;
    shard.begin(1, requestOf("k", 1));
    shard.next(0);
    shard.loaded("garbage", 1);
    EXPECT_EQ(onlyResult(shard), ClaimResult::Unavailable);
}

TEST(ClaimShard, HomesSpreadAndMoveLittle)
{
    std::vector<std::string> names{"a", "b", "c", "d", "e"};
    std::map<std::size_t, unsigned> counts;
    unsigned moved = 0;
    for (std::size_t shard = 0; shard < claimShardCount; ++shard) {
        auto home = homeOf(shard, names);
        ++counts[home];
        moved += homeOf(shard, {"a", "b", "c", "d"}) != home ? 1 : 0;
    }
    EXPECT_EQ(counts.size(), names.size());
    EXPECT_EQ(moved, counts[4]);
}

} // namespace
} // namespace balsamreel::AtMostOnce
