// Applies random failures and checks that the views of all nodes converge to the nodes that run.
#include "FakeNetwork.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <set>

namespace balsamreel::Membership {
namespace {

using namespace std::chrono_literals;

// Each run takes minutes of virtual time, so the number of runs is reduced unless RC_PARAMS sets it.
bool limitRuns()
{
    const char* given = std::getenv("RC_PARAMS");
    std::string parameters = given ? given : "seed=1";
    if (parameters.find("max_success") == std::string::npos)
        parameters += " max_success=25";
    return setenv("RC_PARAMS", parameters.c_str(), 1) == 0;
}

[[maybe_unused]] const bool hasLimitedRuns = limitRuns();

constexpr unsigned nodeCount = 8;
constexpr unsigned stepsPerCheck = 25;
// Exceeds a suspicion at the maximum health penalty plus a ping to a dead member.
constexpr auto quietTime = 240s;

enum class Fault : std::uint8_t { Kill,
    Restart,
    Leave,
    Pause,
    Resume,
    Partition,
    Heal,
    DropPackets,
    Announce };
constexpr unsigned faultCount = 9;

struct Command {
    Fault fault;
    unsigned node;
    unsigned seconds; ///< time until the next command
};

/// Applies commands to the network and tracks what its nodes are expected to see.
class Model {
public:
    Model()
    {
        network_.isPaused = [this](unsigned index) { return paused_.contains(index); };
        network_.drops = [this](unsigned from, unsigned to) { return isPartitioned_ && from % 2 != to % 2; };
        network_.afterStep = [this] {
            if (++steps_ % stepsPerCheck == 0)
                checkVersions();
        };
        network_.run(10s);
    }

    void apply(const Command& command)
    {
        auto node = command.node;
        bool isRunning = network_.isRunning(node);
        switch (command.fault) {
        case Fault::Kill:
            end(node);
            break;
        case Fault::Restart:
            end(node);
            network_.add(node, 1000 + nextIncarnation_, nextIncarnation_);
            ++nextIncarnation_;
            break;
        case Fault::Leave:
            if (isRunning && !paused_.contains(node)) {
                network_.node(node).leave();
                network_.run(1s);
                end(node);
            }
            break;
        case Fault::Pause:
            if (isRunning)
                paused_.insert(node);
            break;
        case Fault::Resume:
            paused_.erase(node);
            break;
        case Fault::Partition:
            isPartitioned_ = true;
            break;
        case Fault::Heal:
            isPartitioned_ = false;
            break;
        case Fault::DropPackets:
            network_.loss = 0.05 * static_cast<double>(node);
            break;
        case Fault::Announce:
            if (isRunning)
                network_.node(node).setServers({{"service", {"127.0.0.1", 80}, command.seconds + 1, Wire::ServerState::Ready}});
            break;
        }
        network_.run(std::chrono::seconds(command.seconds), 20ms);
    }

    void checkQuiet()
    {
        paused_.clear();
        isPartitioned_ = false;
        network_.loss = 0;
        network_.run(quietTime, 20ms);
        RC_ASSERT(network_.allAgree());
        std::set<std::string> ejected;
        network_.onChange = [&](unsigned, const MemberChange& change) { ejected.insert(change.node); };
        network_.run(30s, 20ms);
        RC_ASSERT(ejected.empty());
        for (const auto& [viewer, node] : network_.nodes()) {
            for (const auto& [subject, other] : network_.nodes()) {
                if (viewer != subject)
                    RC_ASSERT(node->members().at(FakeNetwork::nameOf(subject)).record == other->self());
            }
        }
    }

private:
    using Version = std::pair<std::uint64_t, std::uint32_t>;

    void end(unsigned node)
    {
        network_.remove(node);
        paused_.erase(node);
        std::erase_if(versions_, [&](const auto& entry) { return entry.first.first == node; });
    }

    void checkVersions()
    {
        for (const auto& [viewer, node] : network_.nodes()) {
            for (const auto& [name, member] : node->members()) {
                auto& highest = versions_[{viewer, name}];
                Version version{member.record.incarnation, member.record.version};
                RC_ASSERT(version >= highest);
                highest = version;
            }
        }
    }

    FakeNetwork network_{nodeCount};
    std::set<unsigned> paused_;
    std::map<std::pair<unsigned, std::string>, Version> versions_;
    bool isPartitioned_ = false;
    unsigned steps_ = 0;
    std::uint64_t nextIncarnation_ = 2;
};

rc::Gen<Command> commands()
{
    return rc::gen::apply([](unsigned fault, unsigned node, unsigned seconds) { return Command{static_cast<Fault>(fault), node, seconds}; },
        rc::gen::inRange(0U, faultCount), rc::gen::inRange(0U, nodeCount), rc::gen::inRange(0U, 20U));
}

void showValue(const Command& command, std::ostream& stream)
{
    stream << "{" << static_cast<int>(command.fault) << ", " << command.node << ", " << command.seconds << "}";
}

TEST(SwimFuzz, ViewsConvergeToTheRunningNodesAfterFailures)
{
    EXPECT_TRUE(rc::check([] {
        auto sequence = *rc::gen::resize(12, rc::gen::container<std::vector<Command>>(commands()));
        Model model;
        for (const auto& command : sequence)
            model.apply(command);
        // Without a running node there is no table to agree on.
        model.apply({Fault::Restart, 0, 0});
        model.apply({Fault::Restart, 1, 0});
        model.checkQuiet();
    }));
}

} // namespace
} // namespace balsamreel::Membership
