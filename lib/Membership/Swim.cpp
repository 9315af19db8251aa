#include "balsamreel/Membership/Swim.h"

#include "SwimTurn.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace balsamreel::Membership {

using Support::Duration;
using Support::Endpoint;
using Support::HybridTime;
using Support::Instant;
using Wire::MemberRecord;
using Wire::MemberState;
using Wire::Message;
using Wire::StateUpdate;

namespace {

constexpr unsigned maximumHealth = 4;
// Tables up to two to this power of members get the plain suspicion timeout.
constexpr double smallTableLog2 = 5;
constexpr std::size_t doubtsPerInterval = 2;
constexpr std::size_t maximumCheckedMembers = 2;
constexpr unsigned checksPerMember = 3;
constexpr Duration healingInterval = std::chrono::milliseconds(200);
constexpr Duration healingTime = std::chrono::seconds(5);
constexpr Duration goneScanInterval = std::chrono::seconds(5);
constexpr Duration suspicionScanInterval = std::chrono::milliseconds(250);
// Orders records of one member: a later start, then a later version, then the worse state.
bool isNewer(const MemberRecord& candidate, const MemberRecord& known)
{
    auto rank = [](const MemberRecord& record) { return std::tuple(record.incarnation, record.version, static_cast<int>(record.state)); };
    return rank(candidate) > rank(known);
}

} // namespace

Swim::Swim(SwimOptions options, MemberRecord self, std::uint64_t seed)
    : options_(options)
    , self_(std::move(self))
    , selfFingerprint_(Wire::fingerprint(self_))
    , random_(seed)
    , newsBudget_(options.newsBytesPerSecond, options.newsBurstBytes)
    , repairBudget_(options.repairBytesPerSecond, options.repairBurstBytes)
    , tableBudget_(options.tableBytesPerSecond, options.tableBurstBytes)
{
    spreadContent(self_.node);
}

void Swim::setServers(std::vector<Wire::ServerRecord> servers)
{
    if (servers == self_.servers)
        return;
    self_.servers = std::move(servers);
    changeSelf(true);
}

void Swim::leave()
{
    if (self_.state == MemberState::Left)
        return;
    self_.state = MemberState::Left;
    changeSelf(false);
}

void Swim::setGeneration(std::uint64_t generation)
{
    if (generation > generation_ && generation_ > 0)
        generationRounds_ = retransmits();
    generation_ = generation;
}

std::vector<MemberChange> Swim::takeChanges()
{
    return std::exchange(changes_, {});
}

std::optional<MemberRecord> Swim::newerPeer() const
{
    if (highestGeneration_ <= generation_)
        return std::nullopt;
    const Member* best = nullptr;
    for (const auto& [node, member] : members()) {
        if (!isLive(member.record.state) || member.generation <= generation_)
            continue;
        if (!best || member.generation > best->generation)
            best = &member;
    }
    return best ? std::optional(best->record) : std::nullopt;
}

// News

void Swim::changeState(Instant now, Member& member, MemberState state)
{
    bool wasLive = isLive(member.record.state);
    table_.setState(now, member, state);
    if (wasLive != isLive(state))
        ++revision_;
    changes_.push_back({member.record.node, state, member.record.incarnation});
    spreadState(member.record.node);
}

void Swim::raiseHealth()
{
    health_ = std::min(health_ + 1, maximumHealth);
}

void Swim::mergeSelf(const MemberRecord& record)
{
    if (record.incarnation > self_.incarnation && isLive(record.state)) {
        if (record.peer != self_.peer) {
            ++counts_.nameConflicts;
            return;
        }
        // An earlier start of this node whose clock ran ahead: only a later incarnation replaces its record.
        self_.incarnation = record.incarnation + 1;
        changeSelf(true);
        return;
    }
    if (record.incarnation != self_.incarnation || record.version < self_.version || record.state == self_.state)
        return;
    self_.version = record.version;
    changeSelf(false);
    ++counts_.refutations;
    raiseHealth();
}

void Swim::doubt(Member& member)
{
    if (member.isDoubted)
        return;
    member.isDoubted = true;
    doubted_.push_back(member.record.node);
}

void Swim::replace(Instant now, Member& known, const MemberRecord& record)
{
    MemberRecord old = known.record;
    // Only a suspicion that proved wrong says something of this node: pings to members that are gone fail everywhere.
    if (known.isOwnSuspicion && record.state == MemberState::Alive && record.incarnation == old.incarnation)
        raiseHealth();
    auto oldFingerprint = known.fingerprint;
    auto& member = table_.put(now, record);
    bool isContent = member.fingerprint != oldFingerprint;
    if (isContent || isLive(old.state) != isLive(record.state))
        ++revision_;
    if (old.state == MemberState::Dead && record.state == MemberState::Alive && old.incarnation == record.incarnation)
        healingUntil_ = now + healingTime;
    if (old.state != record.state || old.incarnation != record.incarnation)
        changes_.push_back({record.node, record.state, record.incarnation});
    isContent ? spreadContent(record.node) : spreadState(record.node);
}

void Swim::merge(Instant now, const MemberRecord& record)
{
    if (record.node == self_.node)
        return mergeSelf(record);
    auto* known = table_.find(record.node);
    if (!known) {
        // Records of members that are gone are not taken up, or nodes would hand them to each other for good.
        if (!isLive(record.state))
            return;
        table_.put(now, record);
        ++revision_;
        changes_.push_back({record.node, record.state, record.incarnation});
        spreadContent(record.node);
        return;
    }
    if (!isNewer(record, known->record))
        return;
    bool isHearsay = record.state == MemberState::Dead && isLive(known->record.state);
    if (!isHearsay)
        return replace(now, *known, record);
    // Nobody is taken for dead on another's word: the other may have been cut off from the member, or from us. So it is
    // pinged from here too, and has time to refute.
    if (record.incarnation == known->record.incarnation && record.version == known->record.version)
        return doubt(*known);
    auto suspect = record;
    suspect.state = MemberState::Suspect;
    replace(now, *known, suspect);
}

void Swim::mergeState(Instant now, const StateUpdate& update)
{
    if (update.node == Wire::nameHash(self_.node)) {
        if (update.fingerprint != selfFingerprint_)
            return;
        auto record = self_;
        record.version = update.version;
        record.state = update.state;
        return mergeSelf(record);
    }
    auto* known = table_.find(update.node);
    if (!known || known->fingerprint != update.fingerprint)
        return;
    auto record = known->record;
    record.version = update.version;
    record.state = update.state;
    merge(now, record);
}

// Detection

Duration Swim::suspicionTimeout() const
{
    // News takes a time that grows with the logarithm of the table, and a node that is itself in trouble judges more slowly.
    double growth = std::max(1.0, std::log2(static_cast<double>(table_.liveCount() + 1)) / smallTableLog2);
    return std::chrono::duration_cast<Duration>(options_.suspicionTimeout * growth * (1 + health_));
}

std::optional<std::string> Swim::nextTarget()
{
    while (true) {
        if (probeOrder_.empty()) {
            for (const auto& [node, member] : members()) {
                if (isLive(member.record.state))
                    probeOrder_.push_back(node);
            }
            if (probeOrder_.empty())
                return std::nullopt;
            std::ranges::shuffle(probeOrder_, random_.engine());
        }
        auto node = std::move(probeOrder_.back());
        probeOrder_.pop_back();
        const auto* member = table_.find(node);
        if (member && isLive(member->record.state))
            return node;
    }
}

Member* Swim::nextDoubted()
{
    while (!doubted_.empty()) {
        auto node = std::move(doubted_.front());
        doubted_.pop_front();
        auto* member = table_.find(node);
        if (member && member->isDoubted && isLive(member->record.state))
            return member;
    }
    return nullptr;
}

void Swim::startProbe(Turn& turn, const Member& target)
{
    auto sequence = nextSequence_++;
    probes_[sequence] = {target.record.node, turn.now, false};
    send(turn, Urgency::Detection, target.record.peer, Wire::Ping{sequence, target.record.node}, &target);
}

void Swim::startProbes(Turn& turn)
{
    if (turn.now < nextPing_)
        return;
    nextPing_ = turn.now + options_.pingInterval;
    for (std::size_t count = 0; count < doubtsPerInterval; ++count) {
        if (auto* member = nextDoubted()) {
            startProbe(turn, *member);
            member->isDoubted = false;
        }
    }
    if (auto target = nextTarget())
        return startProbe(turn, *table_.find(*target));
}

void Swim::askSeed(Turn& turn)
{
    if (seeds_.empty())
        return;
    const auto& seed = seeds_[random_.below(seeds_.size())];
    if (seed != self_.peer)
        send(turn, Urgency::Repair, seed, makeDigest(false), nullptr);
}

void Swim::tickProbes(Turn& turn)
{
    for (auto current = probes_.begin(); current != probes_.end();) {
        auto& [sequence, probe] = *current;
        if (!probe.isIndirect && turn.now - probe.sentAt >= options_.pingTimeout) {
            probe.isIndirect = true;
            for (const auto* helper : table_.randomLive(random_, options_.indirectPings, probe.target))
                send(turn, Urgency::Detection, helper->record.peer, Wire::PingRequest{sequence, probe.target}, helper);
        }
        if (turn.now - probe.sentAt < options_.pingInterval * (1 + health_)) {
            ++current;
            continue;
        }
        auto* member = table_.find(probe.target);
        if (member && member->record.state == MemberState::Alive) {
            changeState(turn.now, *member, MemberState::Suspect);
            member->isOwnSuspicion = true;
            doubt(*member);
        }
        current = probes_.erase(current);
    }
    std::erase_if(relays_, [&](const auto& entry) { return turn.now - entry.second.sentAt >= options_.pingInterval; });
}

bool Swim::checkAgain(Turn& turn, Member& member, std::size_t checkedMembers)
{
    // A refutation may have been lost on its way here, so the member itself is asked before it is taken for dead. Where
    // many are suspected at once, something large has failed, and there is no budget to ask all.
    bool isFirst = member.checks == 0;
    if (member.checks == checksPerMember || (isFirst && checkedMembers >= maximumCheckedMembers))
        return false;
    ++member.checks;
    member.stateSince += options_.pingTimeout;
    send(turn, Urgency::Detection, member.record.peer, Wire::Ping{nextSequence_++, member.record.node}, &member);
    return true;
}

void Swim::tickSuspicions(Turn& turn)
{
    if (table_.suspects().empty())
        return;
    auto timeout = suspicionTimeout();
    auto suspects = table_.suspects();
    auto checked = static_cast<std::size_t>(std::ranges::count_if(suspects, [&](const auto& node) { return table_.find(node)->checks > 0; }));
    for (const auto& node : suspects) {
        auto* member = table_.find(node);
        if (turn.now - member->stateSince < timeout)
            continue;
        bool wasChecked = member->checks > 0;
        if (!checkAgain(turn, *member, checked))
            changeState(turn.now, *member, MemberState::Dead);
        else if (!wasChecked)
            ++checked;
    }
}

void Swim::tickGone(Instant now)
{
    if (now < nextGoneScan_)
        return;
    nextGoneScan_ = now + goneScanInterval;
    auto gone = table_.gone();
    for (const auto& node : gone) {
        const auto* member = table_.find(node);
        auto retention = member->record.state == MemberState::Left ? options_.leftRetention : options_.deadRetention;
        if (now - member->stateSince >= retention)
            table_.erase(node);
    }
}

void Swim::detectPause(Instant now)
{
    bool wasPaused = lastTick_ && now - *lastTick_ >= options_.pauseThreshold;
    lastTick_ = now;
    if (!wasPaused)
        return;
    // Answers and refutations that came meanwhile are unread or lost, so no silence before now counts against anyone.
    ++counts_.pauses;
    health_ = maximumHealth;
    probes_.clear();
    relays_.clear();
    auto suspects = table_.suspects();
    for (const auto& node : suspects)
        table_.find(node)->stateSince = now;
    nextSync_ = now;
}

// Repair

void Swim::tickDeadPings(Turn& turn)
{
    if (turn.now < nextDeadPing_)
        return;
    bool isHealing = turn.now < healingUntil_;
    nextDeadPing_ = turn.now + (isHealing ? healingInterval : options_.deadPingInterval);
    const auto& gone = table_.gone();
    if (!gone.empty() && (isHealing || random_.below(2) == 0)) {
        auto chosen = std::next(gone.begin(), static_cast<std::ptrdiff_t>(random_.below(gone.size())));
        const auto* member = table_.find(*chosen);
        if (member->record.state == MemberState::Dead)
            send(turn, Urgency::Repair, member->record.peer, Wire::Ping{nextSequence_++, member->record.node}, member);
        return;
    }
    // A cut may last longer than the dead are remembered.
    askSeed(turn);
}

void Swim::tickGossip(Turn& turn)
{
    if (turn.now < nextGossip_ || (newsCount() == 0 && generationRounds_ == 0))
        return;
    nextGossip_ = turn.now + options_.gossipInterval;
    for (const auto* member : table_.randomLive(random_, options_.gossipFanout, self_.node)) {
        // A datagram without room for news would only cost.
        if (!newsBudget_.allows(static_cast<double>(leastNewsRoomBytes + Wire::datagramHeaderBytes))) {
            ++counts_.putOff;
            return;
        }
        send(turn, Urgency::News, member->record.peer, Wire::Records(), member);
        generationRounds_ -= generationRounds_ > 0 ? 1 : 0;
    }
}

std::vector<Outgoing> Swim::tick(Instant now, HybridTime time)
{
    Turn turn{now, time, {}, {}, {}};
    newsBudget_.refill(now);
    repairBudget_.refill(now);
    detectPause(now);
    tickProbes(turn);
    tickSuspicions(turn);
    tickGone(now);
    startProbes(turn);
    tickGossip(turn);
    tickSync(turn);
    tickDeadPings(turn);
    return std::move(turn.outgoing);
}

Instant Swim::nextDue() const
{
    auto due = std::min({nextPing_, nextSync_, nextDeadPing_});
    if (newsCount() > 0 || generationRounds_ > 0)
        due = std::min(due, nextGossip_);
    for (const auto& [sequence, probe] : probes_)
        due = std::min(due, probe.sentAt + (probe.isIndirect ? options_.pingInterval * (1 + health_) : options_.pingTimeout));
    if (!table_.suspects().empty() && lastTick_)
        due = std::min(due, *lastTick_ + suspicionScanInterval);
    return due;
}

void Swim::onPing(Turn& turn, const Wire::Ping& ping)
{
    if (ping.target == self_.node)
        send(turn, Urgency::Detection, turn.from, Wire::Ack{ping.sequence, self_.node}, table_.find(turn.sender));
}

void Swim::onAck(Turn& turn, const Wire::Ack& ack)
{
    if (auto probe = probes_.find(ack.sequence); probe != probes_.end() && probe->second.target == ack.subject) {
        probes_.erase(probe);
        health_ -= health_ > 0 ? 1 : 0;
    }
    auto relay = relays_.find(ack.sequence);
    if (relay == relays_.end())
        return;
    send(turn, Urgency::Detection, relay->second.requester, Wire::Ack{relay->second.sequence, ack.subject}, nullptr);
    relays_.erase(relay);
}

void Swim::onPingRequest(Turn& turn, const Wire::PingRequest& request)
{
    const auto* target = table_.find(request.target);
    if (!target)
        return;
    auto sequence = nextSequence_++;
    relays_[sequence] = {turn.from, request.sequence, turn.now};
    send(turn, Urgency::Detection, target->record.peer, Wire::Ping{sequence, request.target}, target);
}

std::vector<Outgoing> Swim::receive(Instant now, const Endpoint& from, const Message& message, HybridTime time)
{
    Turn turn{now, time, from, message.envelope.sender, {}};
    if (turn.sender == self_.node)
        return {};
    newsBudget_.refill(now);
    repairBudget_.refill(now);
    for (const auto& record : message.updates)
        merge(now, record);
    for (const auto& update : message.states)
        mergeState(now, update);
    highestGeneration_ = std::max(highestGeneration_, message.envelope.generation);
    if (auto* sender = table_.find(turn.sender))
        sender->generation = message.envelope.generation;

    struct Visitor {
        Swim& swim;
        Turn& turn;

        void operator()(const Wire::Ping& ping) const { swim.onPing(turn, ping); }
        void operator()(const Wire::Ack& ack) const { swim.onAck(turn, ack); }
        void operator()(const Wire::PingRequest& request) const { swim.onPingRequest(turn, request); }
        void operator()(const Wire::Digest& digest) const { swim.onDigest(turn, digest); }
        void operator()(const Wire::Records&) const { }
        // The load of servers is no matter of membership.
        void operator()(const Wire::LoadProbe&) const { }
        void operator()(const Wire::LoadReport&) const { }
    };
    std::visit(Visitor{*this, turn}, message.payload);
    return std::move(turn.outgoing);
}

} // namespace balsamreel::Membership
