#include "balsamreel/Relay/CompletedAttempts.h"

#include <gtest/gtest.h>

namespace balsamreel::Relay {

using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};
constexpr Instant deadline = start + 30s;

bool isDropped(const CompletedAttempts& completed, const AttemptKey& key)
{
    const auto* outcome = completed.find(key);
    const auto* unknown = outcome ? std::get_if<Unknown>(outcome) : nullptr;
    return unknown && unknown->reason == Reason::OutcomeDropped;
}

} // namespace

TEST(CompletedAttempts, KeepsAnOutcomeForALaterQuery)
{
    CompletedAttempts completed;
    completed.add(start, {1, 1}, deadline, ServerResponse{200, {}, "whole"});
    ASSERT_NE(completed.find({1, 1}), nullptr);
    EXPECT_EQ(std::get<ServerResponse>(*completed.find({1, 1})).body, "whole");
    EXPECT_EQ(completed.find({1, 2}), nullptr);
    EXPECT_EQ(completed.find({2, 1}), nullptr) << "another incarnation of the sender";
}

TEST(CompletedAttempts, TheFirstOutcomeStays)
{
    CompletedAttempts completed;
    completed.add(start, {1, 1}, deadline, NotRun{Reason::PeerLost, {}, false});
    completed.add(start, {1, 1}, deadline, ServerResponse{200, {}, "late"});
    EXPECT_TRUE(std::holds_alternative<NotRun>(*completed.find({1, 1})));
}

TEST(CompletedAttempts, AnEvictedResponseBecomesUnknownNotUnseen)
{
    CompletedAttempts completed;
    constexpr std::uint64_t attempts = 100;
    for (std::uint64_t serial = 0; serial < attempts; ++serial)
        completed.add(start, {1, serial}, deadline, ServerResponse{200, {}, std::string(256 * 1024, 'x')});
    for (std::uint64_t serial = 0; serial < attempts; ++serial)
        ASSERT_NE(completed.find({1, serial}), nullptr);
    EXPECT_TRUE(std::holds_alternative<Unknown>(*completed.find({1, 0})));
    EXPECT_TRUE(std::holds_alternative<ServerResponse>(*completed.find({1, attempts - 1})));
}

// Guards against a fixed retention: the sender queries the outcome until the attempt's own deadline.
TEST(CompletedAttempts, KeepsEachOutcomeUntilTheDeadlineOfItsAttempt)
{
    CompletedAttempts completed;
    completed.add(start, {1, 1}, start + 1s, ServerResponse{200, {}, "short"});
    completed.add(start, {1, 2}, start + 1h, ServerResponse{200, {}, "long"});
    completed.evict(start + 1h - 1us);
    EXPECT_TRUE(isDropped(completed, {1, 1}));
    ASSERT_NE(completed.find({1, 2}), nullptr);
    EXPECT_TRUE(std::holds_alternative<ServerResponse>(*completed.find({1, 2})));
    completed.evict(start + 1h);
    EXPECT_TRUE(isDropped(completed, {1, 2}));
    EXPECT_EQ(completed.size(), 0U);
}

// Guards against "not run" for attempts whose outcome was dropped for lack of memory.
TEST(CompletedAttempts, BoundsItsRecordsWithoutForgettingThatAttemptsWereSeen)
{
    constexpr std::uint64_t attempts = 50'000;
    constexpr std::size_t mostRecords = 20'000;
    CompletedAttempts completed;
    for (std::uint64_t serial = 1; serial <= attempts; ++serial)
        completed.add(start, {1, serial}, deadline + Duration(serial), Unknown{Reason::TimedOut});
    EXPECT_LE(completed.size(), mostRecords);
    for (std::uint64_t serial = 1; serial <= attempts; ++serial)
        ASSERT_NE(completed.find({1, serial}), nullptr) << serial;
    EXPECT_TRUE(isDropped(completed, {1, 1}));
    EXPECT_EQ(completed.find({1, attempts + 1}), nullptr) << "a new attempt of the same sender";
    EXPECT_EQ(completed.find({2, 1}), nullptr) << "another sender";
}

TEST(CompletedAttempts, CountsTheHeadersOfResponses)
{
    constexpr std::uint64_t attempts = 10'000;
    CompletedAttempts completed;
    for (std::uint64_t serial = 1; serial <= attempts; ++serial)
        completed.add(start, {1, serial}, deadline, ServerResponse{200, {{"name", std::string(4096, 'x')}}, ""});
    EXPECT_TRUE(isDropped(completed, {1, 1}));
    EXPECT_TRUE(std::holds_alternative<ServerResponse>(*completed.find({1, attempts})));
}

// An attempt that is still open when younger ones are dropped completes later.
TEST(CompletedAttempts, KeepsTheOutcomeOfAnAttemptOlderThanDroppedOnes)
{
    CompletedAttempts completed;
    completed.add(start, {1, 7}, start + 1s, Unknown{Reason::TimedOut});
    completed.evict(start + 2s);
    completed.add(start + 2s, {1, 3}, deadline, ServerResponse{200, {}, "late"});
    EXPECT_TRUE(std::holds_alternative<ServerResponse>(*completed.find({1, 3})));
}

TEST(CompletedAttempts, KeepsNothingOfASenderThatIsGoneForHours)
{
    CompletedAttempts completed;
    completed.add(start, {1, 7}, deadline, Unknown{Reason::TimedOut});
    completed.evict(start + 1h);
    EXPECT_TRUE(isDropped(completed, {1, 7}));
    completed.evict(start + 3h);
    EXPECT_EQ(completed.find({1, 7}), nullptr);
}

} // namespace balsamreel::Relay
