#pragma once

#include "balsamreel/Membership/Swim.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace balsamreel::Membership {

/// Several members on a simulated network with a virtual clock. Delivers datagrams in the next step, unless the filter
/// drops them.
class FakeNetwork {
public:
    static constexpr unsigned firstPort = 1000;
    static constexpr unsigned portsPerNode = 100;

    explicit FakeNetwork(unsigned count, std::uint64_t seed = 1)
        : random_(seed)
    {
        for (unsigned index = 0; index < count; ++index)
            add(index, seed + index);
    }

    void add(unsigned index, std::uint64_t seed, std::uint64_t incarnation = 1) { addNamed(index, nameOf(index), seed, incarnation); }

    void addNamed(unsigned index, const std::string& name, std::uint64_t seed, std::uint64_t incarnation)
    {
        Wire::MemberRecord self;
        self.node = name;
        self.incarnation = incarnation;
        self.peer = {"127.0.0.1", static_cast<std::uint16_t>(firstPort + index)};
        self.domain = "domain-" + std::to_string(index % 6);
        self.servers.push_back({"service", self.peer, 9, Wire::ServerState::Ready});
        nodes_[index] = std::make_unique<Swim>(options, self, seed);
        nodes_[index]->setSeeds({{"127.0.0.1", 1000}, {"127.0.0.1", 1001}, {"127.0.0.1", 1007}});
    }

    void remove(unsigned index) { nodes_.erase(index); }
    Swim& node(unsigned index) { return *nodes_.at(index); }
    bool isRunning(unsigned index) const { return nodes_.contains(index); }
    const std::map<unsigned, std::unique_ptr<Swim>>& nodes() const { return nodes_; }
    static std::string nameOf(unsigned index) { return "n" + std::to_string(index); }

    void run(Support::Duration duration, Support::Duration step = std::chrono::milliseconds(10))
    {
        for (auto end = now_ + duration; now_ < end; now_ += step) {
            auto arriving = std::move(inTransit_);
            inTransit_.clear();
            for (auto& [from, datagram] : arriving)
                deliver(from, datagram);
            for (auto& [index, node] : nodes_)
                runNode(index, *node);
            afterStep();
        }
    }

    /// Runs until the condition holds. Returns the virtual time taken; the limit if it does not hold by then.
    Support::Duration runUntil(const std::function<bool()>& condition, Support::Duration limit)
    {
        auto start = now_;
        while (!condition() && now_ - start < limit)
            run(std::chrono::milliseconds(10));
        return now_ - start;
    }

    Wire::MemberState stateOf(unsigned viewer, unsigned subject)
    {
        auto found = node(viewer).members().find(nameOf(subject));
        return found == node(viewer).members().end() ? Wire::MemberState::Dead : found->second.record.state;
    }

    /// True if all running nodes see exactly each other alive and hold the same table.
    bool allAgree() const
    {
        return std::ranges::all_of(nodes_, [&](const auto& entry) {
            auto live = std::ranges::count_if(entry.second->members(), [](const auto& member) { return member.second.record.state == Wire::MemberState::Alive; });
            return static_cast<std::size_t>(live) + 1 == nodes_.size() && entry.second->tableHash() == nodes_.begin()->second->tableHash();
        });
    }

    SwimOptions options;
    std::function<bool(unsigned from, unsigned to)> drops = [](unsigned, unsigned) { return false; };
    std::function<bool(unsigned)> isPaused = [](unsigned) { return false; };
    std::function<void(unsigned viewer, const MemberChange&)> onChange = [](unsigned, const MemberChange&) {};
    std::function<void()> afterStep = [] {};
    double loss = 0; ///< fraction of datagrams that are lost
    std::map<std::pair<unsigned, std::int64_t>, std::size_t> sentBytes; ///< per node and second

private:
    void runNode(unsigned index, Swim& node)
    {
        if (isPaused(index))
            return;
        if (now_ >= node.nextDue())
            send(index, node.tick(now_, {}));
        fetchTable(index, node);
        for (const auto& change : node.takeChanges())
            onChange(index, change);
    }

    void send(unsigned from, std::vector<Outgoing> outgoing)
    {
        auto second = std::chrono::duration_cast<std::chrono::seconds>(now_.time_since_epoch()).count();
        for (auto& datagram : outgoing) {
            sentBytes[{from, second}] += Wire::encode(datagram.message).size() + Wire::datagramHeaderBytes;
            inTransit_.emplace_back(from, std::move(datagram));
        }
    }

    void fetchTable(unsigned from, Swim& node)
    {
        auto peer = node.takeTableRequest(now_);
        if (!peer)
            return;
        unsigned to = peer->port - firstPort;
        auto found = nodes_.find(to);
        if (found == nodes_.end() || drops(from, to) || drops(to, from) || isPaused(to))
            return;
        auto given = found->second->provideTable(now_);
        if (!given)
            return;
        auto bytes = Wire::encodeTable(*given);
        found->second->chargeTableBytes(bytes.size());
        std::vector<Wire::MemberRecord> records;
        ASSERT_FALSE(Wire::decodeTable(bytes, records));
        node.onTable(now_, records, bytes.size());
    }

    void deliver(unsigned from, const Outgoing& datagram)
    {
        unsigned to = datagram.to.port - firstPort;
        auto found = nodes_.find(to);
        if (found == nodes_.end() || drops(from, to) || isPaused(to) || random_.fraction() < loss)
            return;
        Wire::Message message;
        auto bytes = Wire::encode(datagram.message);
        ASSERT_LE(bytes.size(), Wire::maximumDatagramBytes);
        ASSERT_FALSE(Wire::decode(bytes, message));
        send(to, found->second->receive(now_, {"127.0.0.1", static_cast<std::uint16_t>(firstPort + from)}, message, {}));
    }

    Support::Instant now_{};
    Support::Random random_;
    std::map<unsigned, std::unique_ptr<Swim>> nodes_;
    std::vector<std::pair<unsigned, Outgoing>> inTransit_;
};

} // namespace balsamreel::Membership
