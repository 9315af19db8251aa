#include "balsamreel/Relay/SettledOffers.h"

#include <gtest/gtest.h>

namespace balsamreel::Relay {

using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};

} // namespace

TEST(SettledOffers, KeepsAnOutcomeForASenderThatAsksLater)
{
    SettledOffers settled;
    settled.add(start, {1, 1}, ServerResponse{200, {}, "whole"});
    ASSERT_NE(settled.find({1, 1}), nullptr);
    EXPECT_EQ(std::get<ServerResponse>(*settled.find({1, 1})).body, "whole");
    EXPECT_EQ(settled.find({1, 2}), nullptr);
    EXPECT_EQ(settled.find({2, 1}), nullptr) << "another start of the sender";
}

TEST(SettledOffers, TheFirstOutcomeStays)
{
    SettledOffers settled;
    settled.add(start, {1, 1}, NotRun{Reason::PeerLost, {}, false});
    settled.add(start, {1, 1}, ServerResponse{200, {}, "late"});
    EXPECT_TRUE(std::holds_alternative<NotRun>(*settled.find({1, 1})));
}

TEST(SettledOffers, AnAnswerWithoutRoomBecomesUnknownAndNeverUnseen)
{
    SettledOffers settled;
    constexpr std::uint64_t offers = 100;
    for (std::uint64_t serial = 0; serial < offers; ++serial)
        settled.add(start, {1, serial}, ServerResponse{200, {}, std::string(256 * 1024, 'x')});
    for (std::uint64_t serial = 0; serial < offers; ++serial)
        ASSERT_NE(settled.find({1, serial}), nullptr);
    EXPECT_TRUE(std::holds_alternative<Unknown>(*settled.find({1, 0})));
    EXPECT_TRUE(std::holds_alternative<ServerResponse>(*settled.find({1, offers - 1})));
}

} // namespace balsamreel::Relay
