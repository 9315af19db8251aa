// A handful of members behind a small fake of the network, on a virtual clock.
#include "balsamreel/Membership/Swim.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>

namespace balsamreel::Membership {
namespace {

using namespace std::chrono_literals;
using Wire::MemberState;

/// Delivers datagrams after a millisecond, unless the filter drops them.
class Network {
public:
    explicit Network(unsigned count, std::uint64_t seed = 1)
    {
        for (unsigned index = 0; index < count; ++index)
            add(index, seed + index);
    }

    void add(unsigned index, std::uint64_t seed, std::uint64_t incarnation = 1)
    {
        Wire::MemberRecord self;
        self.node = "n" + std::to_string(index);
        self.incarnation = incarnation;
        self.peer = {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)};
        nodes_[index] = std::make_unique<Swim>(SwimOptions(), self, seed);
        nodes_[index]->setSeeds({{"127.0.0.1", 1000}, {"127.0.0.1", 1001}});
    }

    void remove(unsigned index) { nodes_.erase(index); }
    Swim& node(unsigned index) { return *nodes_.at(index); }

    void run(Support::Duration duration)
    {
        auto end = now_ + duration;
        for (; now_ < end; now_ += 10ms) {
            auto arriving = std::move(inTransit_);
            inTransit_.clear();
            for (auto& [from, datagram] : arriving)
                deliver(from, datagram);
            for (auto& [index, node] : nodes_) {
                if (!isPaused(index))
                    send(index, node->tick(now_, {}));
            }
        }
    }

    MemberState stateOf(unsigned viewer, unsigned subject)
    {
        auto found = node(viewer).members().find("n" + std::to_string(subject));
        return found == node(viewer).members().end() ? MemberState::Dead : found->second.record.state;
    }

    std::function<bool(unsigned from, unsigned to)> drops = [](unsigned, unsigned) { return false; };
    std::function<bool(unsigned)> isPaused = [](unsigned) { return false; };

private:
    void send(unsigned from, std::vector<Outgoing> outgoing)
    {
        for (auto& datagram : outgoing)
            inTransit_.emplace_back(from, std::move(datagram));
    }

    void deliver(unsigned from, const Outgoing& datagram)
    {
        unsigned to = datagram.to.port - 1000U;
        auto found = nodes_.find(to);
        if (found == nodes_.end() || drops(from, to) || isPaused(to))
            return;
        Wire::Message message;
        ASSERT_FALSE(Wire::decode(Wire::encode(datagram.message), message));
        send(to, found->second->receive(now_, {"127.0.0.1", static_cast<std::uint16_t>(1000 + from)}, message, {}));
    }

    Support::Instant now_{};
    std::map<unsigned, std::unique_ptr<Swim>> nodes_;
    std::vector<std::pair<unsigned, Outgoing>> inTransit_;
};

TEST(Swim, AllFindEachOtherFromTwoSeeds)
{
    Network network(8);
    network.run(5s);
    for (unsigned viewer = 0; viewer < 8; ++viewer)
        EXPECT_EQ(network.node(viewer).members().size(), 7U);
}

TEST(Swim, ADeadMemberIsFoundAndALiveOneIsNot)
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

TEST(Swim, APausedMemberThatWakesIsTakenBack)
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

TEST(Swim, OneLossyPairEjectsNobody)
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

TEST(Swim, NewsOfAServerReachesAllWithinSeconds)
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

} // namespace
} // namespace balsamreel::Membership
