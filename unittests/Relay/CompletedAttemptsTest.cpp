#include "balsamreel/Relay/CompletedAttempts.h"

#include <gtest/gtest.h>

namespace balsamreel::Relay {

using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};

} // namespace

TEST(CompletedAttempts, KeepsAnOutcomeForALaterQuery)
{
    CompletedAttempts completed;
    completed.add(start, {1, 1}, ServerResponse{200, {}, "whole"});
    ASSERT_NE(completed.find({1, 1}), nullptr);
    EXPECT_EQ(std::get<ServerResponse>(*completed.find({1, 1})).body, "whole");
    EXPECT_EQ(completed.find({1, 2}), nullptr);
    EXPECT_EQ(completed.find({2, 1}), nullptr) << "another incarnation of the sender";
}

TEST(CompletedAttempts, TheFirstOutcomeStays)
{
    CompletedAttempts completed;
    completed.add(start, {1, 1}, NotRun{Reason::PeerLost, {}, false});
    completed.add(start, {1, 1}, ServerResponse{200, {}, "late"});
    EXPECT_TRUE(std::holds_alternative<NotRun>(*completed.find({1, 1})));
}

TEST(CompletedAttempts, AnEvictedResponseBecomesUnknownNotUnseen)
{
    CompletedAttempts completed;
    constexpr std::uint64_t attempts = 100;
    for (std::uint64_t serial = 0; serial < attempts; ++serial)
        completed.add(start, {1, serial}, ServerResponse{200, {}, std::string(256 * 1024, 'x')});
    for (std::uint64_t serial = 0; serial < attempts; ++serial)
        ASSERT_NE(completed.find({1, serial}), nullptr);
    EXPECT_TRUE(std::holds_alternative<Unknown>(*completed.find({1, 0})));
    EXPECT_TRUE(std::holds_alternative<ServerResponse>(*completed.find({1, attempts - 1})));
}

} // namespace balsamreel::Relay
