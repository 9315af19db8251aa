#include "balsamreel/Relay/WatcherSelection.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <set>

namespace balsamreel::Relay {

using namespace std::chrono_literals;

namespace {

/// Nodes on a virtual clock. All see each other, and all but those that the store rejects can watch it.
struct Fleet {
    struct Member {
        WatchCandidate self;
        WatcherSelection selection;
        bool isStoreAvailable = true;
        bool isAlive = true;
    };

    explicit Fleet(std::size_t size)
    {
        constexpr std::size_t domains = 6;
        for (std::size_t index = 0; index < size; ++index) {
            auto name = fmt::format("vm-{}", index);
            auto domain = fmt::format("domain-{}", index % domains);
            members.push_back({{name, domain, false}, WatcherSelection(name, domain)});
        }
    }

    // Lets each node decide once; returns how many try to watch.
    std::size_t decide()
    {
        now += 500ms;
        std::vector<WatchCandidate> alive;
        for (const auto& member : members) {
            if (member.isAlive)
                alive.push_back(member.self);
        }
        std::size_t trying = 0;
        for (auto& member : members) {
            if (!member.isAlive)
                continue;
            std::vector<WatchCandidate> others;
            for (const auto& other : alive) {
                if (other.name != member.self.name)
                    others.push_back(other);
            }
            bool isSelected = member.selection.decide(now, others, member.self.isFollowing);
            member.self.isFollowing = isSelected && member.isStoreAvailable;
            trying += isSelected ? 1 : 0;
        }
        return trying;
    }

    std::size_t following() const
    {
        return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const Member& member) { return member.isAlive && member.self.isFollowing; }));
    }

    std::vector<Member> members;
    Instant now = Instant() + 1h;
};

} // namespace

TEST(WatcherSelectionTest, LimitsWatchersRegardlessOfFleetSize)
{
    for (std::size_t size : {6U, 12U, 70U, 300U}) {
        Fleet fleet(size);
        fleet.decide();
        EXPECT_EQ(fleet.decide(), std::min<std::size_t>(size, 12)) << size;
    }
}

TEST(WatcherSelectionTest, SelectsWatchersInEveryFailureDomain)
{
    Fleet fleet(300);
    fleet.decide();
    std::set<std::string> domains;
    for (const auto& member : fleet.members) {
        if (member.self.isFollowing)
            domains.insert(member.self.domain);
    }
    EXPECT_EQ(domains.size(), 6U);
}

TEST(WatcherSelectionTest, ReplacesLostWatchers)
{
    Fleet fleet(300);
    fleet.decide();
    for (auto& member : fleet.members)
        member.isAlive = !member.self.isFollowing;
    fleet.decide();
    EXPECT_EQ(fleet.following(), 12U);
}

TEST(WatcherSelectionTest, AddsWatchersWhenTheStoreRejectsTheSelectedOnes)
{
    Fleet fleet(300);
    fleet.decide();
    for (auto& member : fleet.members)
        member.isStoreAvailable = !member.self.isFollowing;
    for (int round = 0; round < 8; ++round)
        fleet.decide();
    for (int round = 0; round < 8; ++round) {
        fleet.decide();
        EXPECT_GE(fleet.following(), 4U) << "extra watchers continue";
    }
}

TEST(WatcherSelectionTest, AddsFewWatchersDuringAStoreOutage)
{
    Fleet fleet(300);
    fleet.decide();
    for (auto& member : fleet.members)
        member.isStoreAvailable = false;
    std::size_t tries = 0;
    constexpr int rounds = 20; // 10 s, as each round takes 500 ms
    for (int round = 0; round < rounds; ++round)
        tries += fleet.decide();
    EXPECT_LT(tries / rounds, 300U / 8);
    for (auto& member : fleet.members)
        member.isStoreAvailable = true;
    fleet.decide();
    fleet.decide();
    EXPECT_LE(fleet.decide(), 12U + 4U) << "nearly all extra watchers stop once the store is back";
}

} // namespace balsamreel::Relay
