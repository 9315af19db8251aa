// Failures of nodes and of the network between them.
#include "FakeNetwork.h"

namespace balsamreel::Membership {
namespace {

using namespace std::chrono_literals;
using Wire::MemberState;

using Network = FakeNetwork;

TEST(Swim, DiscoversAllMembersFromSeeds)
{
    Network network(8);
    network.run(5s);
    for (unsigned viewer = 0; viewer < 8; ++viewer)
        EXPECT_EQ(network.node(viewer).members().size(), 7U);
}

TEST(Swim, DetectsOnlyTheDeadMember)
{
    Network network(6);
    network.run(5s);
    network.remove(5);
    network.run(15s);
    for (unsigned viewer = 0; viewer < 5; ++viewer) {
        EXPECT_EQ(network.stateOf(viewer, 5), MemberState::Dead);
        EXPECT_EQ(network.stateOf(viewer, (viewer + 1) % 5), MemberState::Alive);
    }
}

TEST(Swim, RestoresAPausedMemberAfterItResumes)
{
    Network network(6);
    network.run(5s);
    network.isPaused = [](unsigned index) { return index == 3; };
    network.run(20s);
    EXPECT_EQ(network.stateOf(0, 3), MemberState::Dead);
    network.isPaused = [](unsigned) { return false; };
    network.run(20s);
    EXPECT_EQ(network.stateOf(0, 3), MemberState::Alive);
}

TEST(Swim, ABrokenLinkBetweenTwoMembersEjectsNeither)
{
    Network network(6);
    network.run(5s);
    network.drops = [](unsigned from, unsigned to) { return from + to == 1; };
    network.run(30s);
    EXPECT_EQ(network.stateOf(0, 1), MemberState::Alive);
    EXPECT_EQ(network.stateOf(1, 0), MemberState::Alive);
}

TEST(Swim, ARestartUnderTheSameAddressReplacesTheOldRecord)
{
    Network network(4);
    network.run(5s);
    network.remove(2);
    network.run(12s);
    network.add(2, 99, 2);
    network.run(10s);
    EXPECT_EQ(network.stateOf(0, 2), MemberState::Alive);
    EXPECT_EQ(network.node(0).members().at("n2").record.incarnation, 2U);
}

TEST(Swim, ServerChangesReachAllMembersWithinSeconds)
{
    Network network(8);
    network.run(5s);
    network.node(4).setServers({{"catalog", {"127.0.0.1", 80}, 9, Wire::ServerState::Draining}});
    network.run(4s);
    for (unsigned viewer = 0; viewer < 8; ++viewer) {
        if (viewer == 4)
            continue;
        ASSERT_EQ(network.node(viewer).members().at("n4").record.servers.size(), 1U);
    }
}

TEST(Swim, AResumedMemberEjectsNoMember)
{
    Network network(8);
    network.run(10s);
    network.isPaused = [](unsigned index) { return index == 3; };
    network.run(60s);
    network.isPaused = [](unsigned) { return false; };
    unsigned ejections = 0;
    network.onChange = [&](unsigned, const MemberChange& change) { ejections += change.state == MemberState::Dead ? 1 : 0; };
    network.run(30s);
    EXPECT_EQ(ejections, 0U);
    EXPECT_EQ(network.node(3).counts().pauses, 1U);
    EXPECT_TRUE(network.allAgree());
}

TEST(Swim, HeavyPacketLossEjectsNoMember)
{
    Network network(16);
    network.run(10s);
    unsigned ejections = 0;
    network.onChange = [&](unsigned, const MemberChange& change) { ejections += change.state == MemberState::Dead ? 1 : 0; };
    network.loss = 0.2;
    network.run(300s);
    EXPECT_EQ(ejections, 0U);
}

TEST(Swim, APartitionedRegionRejoinsWithoutEjectingItsOwnMembers)
{
    Network network(12);
    network.run(10s);
    unsigned ejectedOwn = 0;
    auto regionOf = [](unsigned index) { return index % 2; };
    network.onChange = [&](unsigned viewer, const MemberChange& change) {
        bool isOwn = regionOf(viewer) == regionOf(static_cast<unsigned>(std::stoul(change.node.substr(1))));
        ejectedOwn += isOwn && change.state == MemberState::Dead ? 1 : 0;
    };
    network.drops = [&](unsigned from, unsigned to) { return regionOf(from) != regionOf(to); };
    network.run(1h, 100ms);
    EXPECT_EQ(network.stateOf(0, 1), MemberState::Dead);
    network.drops = [](unsigned, unsigned) { return false; };
    auto healed = network.runUntil([&] { return network.allAgree(); }, 120s);
    RecordProperty("healed_ms", static_cast<int>(Support::toMillis(healed)));
    EXPECT_LT(healed, 60s);
    EXPECT_EQ(ejectedOwn, 0U);
}

TEST(Swim, DetectsALostFailureDomainWithinTheByteBudget)
{
    Network network(48);
    ASSERT_LT(network.runUntil([&] { return network.allAgree(); }, 30s), 30s);
    network.run(10s);
    for (unsigned index = 5; index < 48; index += 6)
        network.remove(index);
    unsigned ejections = 0;
    network.onChange = [&](unsigned, const MemberChange& change) { ejections += change.state == MemberState::Dead ? 1 : 0; };
    network.sentBytes.clear();
    auto isFound = [&] {
        return std::ranges::all_of(network.nodes(), [](const auto& entry) {
            return std::ranges::count_if(entry.second->members(), [](const auto& member) { return member.second.record.state == MemberState::Dead; }) == 8;
        });
    };
    auto found = network.runUntil(isFound, 60s);
    EXPECT_TRUE(network.allAgree());
    RecordProperty("found_ms", static_cast<int>(Support::toMillis(found)));
    EXPECT_LT(found, 30s);
    EXPECT_EQ(ejections, 40U * 8U);
    // Pings and acks are few and small and are never held back, since a missing one looks like a failure.
    constexpr std::size_t detectionBytes = 1000;
    auto cap = static_cast<std::size_t>(network.options.updateBytesPerSecond + network.options.updateBurstBytes + network.options.repairBytesPerSecond + network.options.repairBurstBytes) + detectionBytes;
    for (const auto& [key, bytes] : network.sentBytes)
        EXPECT_LE(bytes, cap) << "node " << key.first << " second " << key.second;
}

TEST(Swim, DrainUpdatesReachAllMembersQuicklyAtEachSize)
{
    for (unsigned count : {12U, 24U, 48U}) {
        Network network(count);
        ASSERT_LT(network.runUntil([&] { return network.allAgree(); }, 30s), 30s);
        network.run(10s);
        network.node(4).setServers({{"service", {"127.0.0.1", 1004}, 9, Wire::ServerState::Draining}});
        auto isKnown = [&](const auto& entry) { return entry.first == 4 || entry.second->members().at("n4").record.servers.front().state == Wire::ServerState::Draining; };
        auto elapsed = network.runUntil([&] { return std::ranges::all_of(network.nodes(), isKnown); }, 20s);
        RecordProperty("drain_ms_" + std::to_string(count), static_cast<int>(Support::toMillis(elapsed)));
        EXPECT_LT(elapsed, 3s) << count;
    }
}

TEST(Swim, ARestartWithAnEarlierClockReplacesTheOldRecord)
{
    Network network(6);
    network.run(10s);
    network.remove(2);
    network.add(2, 99, 0);
    network.run(30s);
    EXPECT_GT(network.node(2).self().incarnation, 1U);
    EXPECT_TRUE(network.allAgree());
}

TEST(Swim, TheLaterStartWinsANameConflict)
{
    Network network(6);
    network.run(10s);
    network.addNamed(20, "n2", 77, 5);
    network.run(20s);
    EXPECT_GT(network.node(2).counts().nameConflicts, 0U);
    EXPECT_EQ(network.node(0).members().at("n2").record.peer.port, Network::firstPort + 20);
}

TEST(Swim, DropsMembersThatLeftAfterTheirRetention)
{
    Network network(5);
    network.run(10s);
    network.node(4).leave();
    network.run(5s);
    network.remove(4);
    EXPECT_EQ(network.stateOf(0, 4), MemberState::Left);
    network.run(11min, 50ms);
    for (const auto& [index, node] : network.nodes())
        EXPECT_EQ(node->members().size(), 3U) << index;
    EXPECT_TRUE(network.allAgree());
}

TEST(ByteBudget, LimitsBytesToRateAndBurst)
{
    ByteBudget budget(1000, 500);
    Support::Instant now{};
    double passed = 0;
    for (unsigned step = 0; step < 1000; ++step, now += 10ms) {
        budget.refill(now);
        if (!budget.allows(130))
            continue;
        budget.spend(130);
        passed += 130;
    }
    EXPECT_LE(passed, 10 * 1000 + 500);
    EXPECT_GE(passed, 10 * 1000 - 500);
}

} // namespace
} // namespace balsamreel::Membership
