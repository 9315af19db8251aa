#include "balsamreel/Membership/Swim.h"

#include "SwimEventContext.h"

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

constexpr unsigned maximumHealthPenalty = 4;
// Tables of up to 2^smallTableLog2 members use the base suspicion timeout.
constexpr double smallTableLog2 = 5;
constexpr std::size_t verificationsPerInterval = 2;
constexpr std::size_t maximumMembersBeingConfirmed = 2;
constexpr unsigned confirmationPingsPerMember = 3;
constexpr Duration healingInterval = std::chrono::milliseconds(200);
constexpr Duration healingTime = std::chrono::seconds(5);
constexpr Duration goneScanInterval = std::chrono::seconds(5);
constexpr Duration suspicionScanInterval = std::chrono::milliseconds(250);

// Orders records of one member by incarnation, then version, then state, where the worse state is newer.
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
    , updateBudget_(options.updateBytesPerSecond, options.updateBurstBytes)
    , repairBudget_(options.repairBytesPerSecond, options.repairBurstBytes)
    , tableBudget_(options.tableBytesPerSecond, options.tableBurstBytes)
{
    enqueueRecord(self_.node);
}

void Swim::setServers(std::vector<Wire::ServerRecord> servers)
{
    if (servers == self_.servers)
        return;
    self_.servers = std::move(servers);
    publishSelf(true);
}

void Swim::leave()
{
    if (self_.state == MemberState::Left)
        return;
    self_.state = MemberState::Left;
    publishSelf(false);
}

void Swim::setGeneration(std::uint64_t generation)
{
    if (generation > generation_ && generation_ > 0)
        generationAnnouncementsLeft_ = retransmitLimit();
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

// Updates

void Swim::changeState(Instant now, Member& member, MemberState state)
{
    bool wasLive = isLive(member.record.state);
    table_.setState(now, member, state);
    if (wasLive != isLive(state))
        ++revision_;
    changes_.push_back({member.record.node, state, member.record.incarnation});
    enqueueState(member.record.node);
}

void Swim::raiseHealthPenalty()
{
    healthPenalty_ = std::min(healthPenalty_ + 1, maximumHealthPenalty);
}

void Swim::mergeSelf(const MemberRecord& record)
{
    if (record.incarnation > self_.incarnation && isLive(record.state)) {
        if (record.peer != self_.peer) {
            ++counts_.nameConflicts;
            return;
        }
        // The record is from an earlier start of this node whose clock ran ahead. Only a higher incarnation replaces it.
        self_.incarnation = record.incarnation + 1;
        publishSelf(true);
        return;
    }
    if (record.incarnation != self_.incarnation || record.version < self_.version || record.state == self_.state)
        return;
    self_.version = record.version;
    publishSelf(false);
    ++counts_.refutations;
    raiseHealthPenalty();
}

void Swim::queueVerification(Member& member)
{
    if (member.needsVerification)
        return;
    member.needsVerification = true;
    verificationQueue_.push_back(member.record.node);
}

void Swim::replace(Instant now, Member& known, const MemberRecord& record)
{
    MemberRecord old = known.record;
    // Only a wrong suspicion indicates a problem of this node: pings to members that are gone fail on every node.
    if (known.isLocallySuspected && record.state == MemberState::Alive && record.incarnation == old.incarnation)
        raiseHealthPenalty();
    auto oldFingerprint = known.fingerprint;
    auto& member = table_.put(now, record);
    bool isRecordChanged = member.fingerprint != oldFingerprint;
    if (isRecordChanged || isLive(old.state) != isLive(record.state))
        ++revision_;
    if (old.state == MemberState::Dead && record.state == MemberState::Alive && old.incarnation == record.incarnation)
        healingUntil_ = now + healingTime;
    if (old.state != record.state || old.incarnation != record.incarnation)
        changes_.push_back({record.node, record.state, record.incarnation});
    isRecordChanged ? enqueueRecord(record.node) : enqueueState(record.node);
}

void Swim::merge(Instant now, const MemberRecord& record)
{
    if (record.node == self_.node)
        return mergeSelf(record);
    auto* known = table_.find(record.node);
    if (!known) {
        // Records of gone members are not added, or nodes would pass them to each other forever.
        if (!isLive(record.state))
            return;
        table_.put(now, record);
        ++revision_;
        changes_.push_back({record.node, record.state, record.incarnation});
        enqueueRecord(record.node);
        return;
    }
    if (!isNewer(record, known->record))
        return;
    bool isReportedDead = record.state == MemberState::Dead && isLive(known->record.state);
    if (!isReportedDead)
        return replace(now, *known, record);
    // A report from another node alone does not make a member dead: that node may have been cut off from the member or
    // from this node. So this node pings the member itself, and the member has time to refute.
    if (record.incarnation == known->record.incarnation && record.version == known->record.version)
        return queueVerification(*known);
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
    // Updates spread in a time that grows with the logarithm of the table size, and a node that is itself unhealthy takes
    // longer to judge others.
    double growth = std::max(1.0, std::log2(static_cast<double>(table_.liveCount() + 1)) / smallTableLog2);
    return std::chrono::duration_cast<Duration>(options_.suspicionTimeout * growth * (1 + healthPenalty_));
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

Member* Swim::nextToVerify()
{
    while (!verificationQueue_.empty()) {
        auto node = std::move(verificationQueue_.front());
        verificationQueue_.pop_front();
        auto* member = table_.find(node);
        if (member && member->needsVerification && isLive(member->record.state))
            return member;
    }
    return nullptr;
}

void Swim::startProbe(EventContext& context, const Member& target)
{
    auto sequence = nextSequence_++;
    probes_[sequence] = {target.record.node, context.now, false};
    send(context, TrafficClass::Detection, target.record.peer, Wire::Ping{sequence, target.record.node}, &target);
}

void Swim::startProbes(EventContext& context)
{
    if (context.now < nextPing_)
        return;
    nextPing_ = context.now + options_.pingInterval;
    for (std::size_t count = 0; count < verificationsPerInterval; ++count) {
        if (auto* member = nextToVerify()) {
            startProbe(context, *member);
            member->needsVerification = false;
        }
    }
    if (auto target = nextTarget())
        return startProbe(context, *table_.find(*target));
}

void Swim::sendDigestToSeed(EventContext& context)
{
    if (seeds_.empty())
        return;
    const auto& seed = seeds_[random_.below(seeds_.size())];
    if (seed != self_.peer)
        send(context, TrafficClass::Repair, seed, makeDigest(false), nullptr);
}

void Swim::tickProbes(EventContext& context)
{
    for (auto current = probes_.begin(); current != probes_.end();) {
        auto& [sequence, probe] = *current;
        if (!probe.isIndirect && context.now - probe.sentAt >= options_.pingTimeout) {
            probe.isIndirect = true;
            for (const auto* helper : table_.randomLive(random_, options_.indirectPings, probe.target))
                send(context, TrafficClass::Detection, helper->record.peer, Wire::PingRequest{sequence, probe.target}, helper);
        }
        if (context.now - probe.sentAt < options_.pingInterval * (1 + healthPenalty_)) {
            ++current;
            continue;
        }
        auto* member = table_.find(probe.target);
        if (member && member->record.state == MemberState::Alive) {
            changeState(context.now, *member, MemberState::Suspect);
            member->isLocallySuspected = true;
            queueVerification(*member);
        }
        current = probes_.erase(current);
    }
    std::erase_if(relayedPings_, [&](const auto& entry) { return context.now - entry.second.sentAt >= options_.pingInterval; });
}

bool Swim::sendConfirmationPing(EventContext& context, Member& member, std::size_t membersBeingConfirmed)
{
    // A refutation may have been lost on its way here, so the member itself is pinged before it is declared dead. If many
    // are suspected at once, the failure is a large one, and there is no budget to ping them all.
    bool isFirst = member.confirmationPings == 0;
    if (member.confirmationPings == confirmationPingsPerMember || (isFirst && membersBeingConfirmed >= maximumMembersBeingConfirmed))
        return false;
    ++member.confirmationPings;
    member.stateSince += options_.pingTimeout;
    send(context, TrafficClass::Detection, member.record.peer, Wire::Ping{nextSequence_++, member.record.node}, &member);
    return true;
}

void Swim::tickSuspicions(EventContext& context)
{
    if (table_.suspects().empty())
        return;
    auto timeout = suspicionTimeout();
    auto suspects = table_.suspects();
    auto checked = static_cast<std::size_t>(std::ranges::count_if(suspects, [&](const auto& node) { return table_.find(node)->confirmationPings > 0; }));
    for (const auto& node : suspects) {
        auto* member = table_.find(node);
        if (context.now - member->stateSince < timeout)
            continue;
        bool wasChecked = member->confirmationPings > 0;
        if (!sendConfirmationPing(context, *member, checked))
            changeState(context.now, *member, MemberState::Dead);
        else if (!wasChecked)
            ++checked;
    }
}

void Swim::expireGone(Instant now)
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
    // Acks and refutations that arrived meanwhile are unread or lost, so no silence before now counts against a member.
    ++counts_.pauses;
    healthPenalty_ = maximumHealthPenalty;
    probes_.clear();
    relayedPings_.clear();
    auto suspects = table_.suspects();
    for (const auto& node : suspects)
        table_.find(node)->stateSince = now;
    nextSync_ = now;
}

// Repair

void Swim::tickDeadPings(EventContext& context)
{
    if (context.now < nextDeadPing_)
        return;
    bool isHealing = context.now < healingUntil_;
    nextDeadPing_ = context.now + (isHealing ? healingInterval : options_.deadPingInterval);
    const auto& gone = table_.gone();
    if (!gone.empty() && (isHealing || random_.below(2) == 0)) {
        auto chosen = std::next(gone.begin(), static_cast<std::ptrdiff_t>(random_.below(gone.size())));
        const auto* member = table_.find(*chosen);
        if (member->record.state == MemberState::Dead)
            send(context, TrafficClass::Repair, member->record.peer, Wire::Ping{nextSequence_++, member->record.node}, member);
        return;
    }
    // A partition may outlast the retention of dead members, so seeds are contacted, too.
    sendDigestToSeed(context);
}

void Swim::tickGossip(EventContext& context)
{
    if (context.now < nextGossip_ || (pendingUpdateCount() == 0 && generationAnnouncementsLeft_ == 0))
        return;
    nextGossip_ = context.now + options_.gossipInterval;
    for (const auto* member : table_.randomLive(random_, options_.gossipFanout, self_.node)) {
        // A datagram without room for updates would only use up budget.
        if (!updateBudget_.allows(static_cast<double>(minimumUpdateRoomBytes + Wire::datagramHeaderBytes))) {
            ++counts_.deferred;
            return;
        }
        send(context, TrafficClass::Update, member->record.peer, Wire::Records(), member);
        generationAnnouncementsLeft_ -= generationAnnouncementsLeft_ > 0 ? 1 : 0;
    }
}

std::vector<Outgoing> Swim::tick(Instant now, HybridTime time)
{
    EventContext context{now, time, {}, {}, {}};
    updateBudget_.refill(now);
    repairBudget_.refill(now);
    detectPause(now);
    tickProbes(context);
    tickSuspicions(context);
    expireGone(now);
    startProbes(context);
    tickGossip(context);
    tickSync(context);
    tickDeadPings(context);
    return std::move(context.outgoing);
}

Instant Swim::nextDue() const
{
    auto due = std::min({nextPing_, nextSync_, nextDeadPing_});
    if (pendingUpdateCount() > 0 || generationAnnouncementsLeft_ > 0)
        due = std::min(due, nextGossip_);
    for (const auto& [sequence, probe] : probes_)
        due = std::min(due, probe.sentAt + (probe.isIndirect ? options_.pingInterval * (1 + healthPenalty_) : options_.pingTimeout));
    if (!table_.suspects().empty() && lastTick_)
        due = std::min(due, *lastTick_ + suspicionScanInterval);
    return due;
}

void Swim::onPing(EventContext& context, const Wire::Ping& ping)
{
    if (ping.target == self_.node)
        send(context, TrafficClass::Detection, context.from, Wire::Ack{ping.sequence, self_.node}, table_.find(context.sender));
}

void Swim::onAck(EventContext& context, const Wire::Ack& ack)
{
    if (auto probe = probes_.find(ack.sequence); probe != probes_.end() && probe->second.target == ack.subject) {
        probes_.erase(probe);
        healthPenalty_ -= healthPenalty_ > 0 ? 1 : 0;
    }
    auto relay = relayedPings_.find(ack.sequence);
    if (relay == relayedPings_.end())
        return;
    send(context, TrafficClass::Detection, relay->second.requester, Wire::Ack{relay->second.sequence, ack.subject}, nullptr);
    relayedPings_.erase(relay);
}

void Swim::onPingRequest(EventContext& context, const Wire::PingRequest& request)
{
    const auto* target = table_.find(request.target);
    if (!target)
        return;
    auto sequence = nextSequence_++;
    relayedPings_[sequence] = {context.from, request.sequence, context.now};
    send(context, TrafficClass::Detection, target->record.peer, Wire::Ping{sequence, request.target}, target);
}

std::vector<Outgoing> Swim::receive(Instant now, const Endpoint& from, const Message& message, HybridTime time)
{
    EventContext context{now, time, from, message.envelope.sender, {}};
    if (context.sender == self_.node)
        return {};
    updateBudget_.refill(now);
    repairBudget_.refill(now);
    for (const auto& record : message.updates)
        merge(now, record);
    for (const auto& update : message.states)
        mergeState(now, update);
    highestGeneration_ = std::max(highestGeneration_, message.envelope.generation);
    if (auto* sender = table_.find(context.sender))
        sender->generation = message.envelope.generation;

    struct Visitor {
        Swim& swim;
        EventContext& context;

        void operator()(const Wire::Ping& ping) const { swim.onPing(context, ping); }
        void operator()(const Wire::Ack& ack) const { swim.onAck(context, ack); }
        void operator()(const Wire::PingRequest& request) const { swim.onPingRequest(context, request); }
        void operator()(const Wire::Digest& digest) const { swim.onDigest(context, digest); }
        void operator()(const Wire::Records&) const { }
        // Server load is not part of membership.
        void operator()(const Wire::LoadProbe&) const { }
        void operator()(const Wire::LoadReport&) const { }
    };
    std::visit(Visitor{*this, context}, message.payload);
    return std::move(context.outgoing);
}

} // namespace balsamreel::Membership
