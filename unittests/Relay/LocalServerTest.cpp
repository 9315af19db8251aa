#include "balsamreel/Relay/LocalServer.h"

#include <gtest/gtest.h>

namespace balsamreel::Relay {

namespace {

const Support::Endpoint address{"10.0.0.1", 8000};

Announcement announcement(std::string instance, std::int64_t processStartMillis, std::uint64_t sequence, ServerState state = ServerState::Ready)
{
    Announcement announcement;
    announcement.instance = std::move(instance);
    announcement.address = address;
    announcement.service = "plots";
    announcement.slots = 4;
    announcement.state = state;
    announcement.sequence = sequence;
    announcement.processStartMillis = processStartMillis;
    return announcement;
}

class LocalServerTest : public testing::Test {
protected:
    LocalServer server_{"plots", address};
};

} // namespace

TEST_F(LocalServerTest, IsNotReadyBeforeItIsAnnounced)
{
    EXPECT_EQ(server_.ready(), nullptr);
    EXPECT_TRUE(server_.handleAnnouncement(announcement("a", 1, 1)));
    ASSERT_NE(server_.ready(), nullptr);
    EXPECT_EQ(server_.ready()->instance, "a");
}

TEST_F(LocalServerTest, IgnoresAnnouncementsOfOtherServers)
{
    auto other = announcement("a", 1, 1);
    other.service = "rules";
    EXPECT_FALSE(server_.handleAnnouncement(other));
    other = announcement("a", 1, 1);
    other.address.port = 8001;
    EXPECT_FALSE(server_.handleAnnouncement(other));
    EXPECT_EQ(server_.ready(), nullptr);
}

TEST_F(LocalServerTest, ALateReadyDoesNotUndoDraining)
{
    server_.handleAnnouncement(announcement("a", 1, 5));
    server_.handleAnnouncement(announcement("a", 1, 7, ServerState::Draining));
    EXPECT_EQ(server_.ready(), nullptr);
    server_.handleAnnouncement(announcement("a", 1, 6));
    EXPECT_EQ(server_.ready(), nullptr);
    server_.handleAnnouncement(announcement("a", 1, 8));
    EXPECT_EQ(server_.ready(), nullptr) << "draining is final for one process";
}

TEST_F(LocalServerTest, AServerThatLeftIsIgnoredUntilItRestarts)
{
    server_.handleAnnouncement(announcement("a", 100, 5));
    server_.handleLeave("a", std::nullopt);
    EXPECT_EQ(server_.ready(), nullptr);
    EXPECT_FALSE(server_.handleAnnouncement(announcement("a", 100, 6)));
    EXPECT_EQ(server_.ready(), nullptr);
    EXPECT_TRUE(server_.handleAnnouncement(announcement("a", 200, 1))) << "a new process with the same instance id";
    EXPECT_NE(server_.ready(), nullptr);
}

TEST_F(LocalServerTest, ADelayedAnnouncementOfADeadProcessDoesNotReplaceItsSuccessor)
{
    server_.handleAnnouncement(announcement("b", 200, 1));
    EXPECT_FALSE(server_.handleAnnouncement(announcement("a", 100, 50)));
    EXPECT_EQ(server_.ready()->instance, "b");
}

TEST_F(LocalServerTest, ADelayedLeaveOfAnEarlierProcessDoesNotEndTheCurrentOne)
{
    server_.handleAnnouncement(announcement("a", 200, 1));
    server_.handleLeave("a", 100);
    EXPECT_NE(server_.ready(), nullptr);
}

TEST_F(LocalServerTest, ADiscoveredServerIsReplacedByItsOwnAnnouncement)
{
    server_.discover("a", 4);
    ASSERT_NE(server_.ready(), nullptr);
    EXPECT_TRUE(server_.handleAnnouncement(announcement("a", 100, 9, ServerState::Draining)));
    EXPECT_EQ(server_.ready(), nullptr);
}

TEST_F(LocalServerTest, ADiscoveredServerThatLeavesIsIgnored)
{
    server_.discover("a", 4);
    server_.handleLeave("a", 100);
    EXPECT_EQ(server_.ready(), nullptr);
    EXPECT_FALSE(server_.handleAnnouncement(announcement("a", 100, 9)));
}

} // namespace balsamreel::Relay
