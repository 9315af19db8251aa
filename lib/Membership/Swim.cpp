#include "balsamreel/Membership/Swim.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <utility>

namespace balsamreel::Membership {

using Support::Endpoint;
using Support::HybridTime;
using Support::Instant;
using Wire::MemberRecord;
using Wire::MemberState;
using Wire::Message;

namespace {

// Room left in a datagram for the archive's own headers.
constexpr std::size_t updateRoomBytes = 600;
constexpr std::size_t recordsRoomBytes = 1150;
constexpr std::size_t maximumSyncDatagrams = 8;

bool isLive(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

// Orders records of one member: a later start, then a later version, then the worse state.
bool isNewer(const MemberRecord& candidate, const MemberRecord& known)
{
    auto rank = [](const MemberRecord& record) { return std::tuple(record.incarnation, record.version, static_cast<int>(record.state)); };
    return rank(candidate) > rank(known);
}

std::uint32_t mix(std::uint64_t value)
{
    // Finalizer of splitmix64, so that sums of hashes differ where records differ.
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<std::uint32_t>(value ^ (value >> 31U));
}

// FNV-1a: the same on every node, unlike std::hash.
std::uint64_t hashName(const std::string& name)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (char letter : name)
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
    return hash;
}

std::size_t bucketOf(const std::string& node)
{
    return mix(hashName(node)) % Wire::Digest::bucketCount;
}

std::uint32_t hashRecord(const MemberRecord& record)
{
    // Suspicion is local and passing, so it is left out: it would make all digests differ.
    bool isGone = !isLive(record.state);
    return mix(hashName(record.node) ^ mix(record.incarnation) ^ (static_cast<std::uint64_t>(record.version) << 33U) ^ (isGone ? 1U : 0U));
}

} // namespace

Swim::Swim(SwimOptions options, MemberRecord self, std::uint64_t seed)
    : options_(options)
    , self_(std::move(self))
    , random_(seed)
{
    spread(self_.node);
}

void Swim::setServers(std::vector<Wire::ServerRecord> servers)
{
    if (servers == self_.servers)
        return;
    self_.servers = std::move(servers);
    ++self_.version;
    ++revision_;
    spread(self_.node);
}

void Swim::leave()
{
    if (self_.state == MemberState::Left)
        return;
    self_.state = MemberState::Left;
    ++self_.version;
    ++revision_;
    spread(self_.node);
}

std::vector<MemberChange> Swim::takeChanges()
{
    return std::exchange(changes_, {});
}

std::optional<MemberRecord> Swim::newerPeer() const
{
    const Member* best = nullptr;
    for (const auto& [node, member] : members_) {
        if (!isLive(member.record.state) || member.generation <= generation_)
            continue;
        if (!best || member.generation > best->generation)
            best = &member;
    }
    return best ? std::optional(best->record) : std::nullopt;
}

void Swim::spread(const std::string& node)
{
    std::erase_if(news_, [&](const News& news) { return news.node == node; });
    news_.push_front({node, 0});
}

void Swim::fillUpdates(Message& message)
{
    auto limit = options_.retransmitFactor * static_cast<unsigned>(std::bit_width(members_.size() + 1));
    std::size_t room = updateRoomBytes;
    std::deque<News> sent;
    while (!news_.empty()) {
        auto& news = news_.front();
        auto found = members_.find(news.node);
        if (news.node != self_.node && found == members_.end()) {
            news_.pop_front();
            continue;
        }
        const auto& record = news.node == self_.node ? self_ : found->second.record;
        auto size = Wire::encodedSize(record);
        if (size > room)
            break;
        room -= size;
        message.updates.push_back(record);
        if (++news.sentCount < limit)
            sent.push_back(std::move(news));
        news_.pop_front();
    }
    // News sent least often goes first the next time.
    for (auto& news : sent)
        news_.push_back(std::move(news));
}

Message Swim::makeMessage(Wire::Payload payload, HybridTime time)
{
    Message message{{self_.node, time, generation_}, std::move(payload), {}};
    fillUpdates(message);
    return message;
}

void Swim::changeState(Instant now, Member& member, MemberState state)
{
    member.record.state = state;
    member.stateSince = now;
    ++revision_;
    changes_.push_back({member.record.node, state, member.record.incarnation});
    spread(member.record.node);
}

void Swim::refute()
{
    ++self_.version;
    ++revision_;
    spread(self_.node);
}

void Swim::merge(Instant now, const MemberRecord& record)
{
    if (record.node == self_.node) {
        bool isAboutThisStart = record.incarnation == self_.incarnation;
        if (!isAboutThisStart || record.version < self_.version || record == self_)
            return;
        self_.version = record.version;
        refute();
        return;
    }
    auto found = members_.find(record.node);
    if (found == members_.end()) {
        auto& member = members_[record.node];
        member.record = record;
        changeState(now, member, record.state);
        return;
    }
    auto& member = found->second;
    if (!isNewer(record, member.record))
        return;
    auto oldState = member.record.state;
    bool isRestart = record.incarnation != member.record.incarnation;
    member.record = record;
    ++revision_;
    spread(record.node);
    if (oldState != record.state || isRestart)
        changeState(now, member, record.state);
}

std::optional<std::string> Swim::nextTarget()
{
    while (true) {
        if (probeOrder_.empty()) {
            for (const auto& [node, member] : members_) {
                if (isLive(member.record.state))
                    probeOrder_.push_back(node);
            }
            if (probeOrder_.empty())
                return std::nullopt;
            std::ranges::shuffle(probeOrder_, random_.engine());
        }
        auto node = std::move(probeOrder_.back());
        probeOrder_.pop_back();
        auto found = members_.find(node);
        if (found != members_.end() && isLive(found->second.record.state))
            return node;
    }
}

std::vector<const Member*> Swim::randomMembers(std::size_t count, const std::string& excluded)
{
    std::vector<const Member*> candidates;
    for (const auto& [node, member] : members_) {
        if (node != excluded && member.record.state == MemberState::Alive)
            candidates.push_back(&member);
    }
    std::ranges::shuffle(candidates, random_.engine());
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

void Swim::startProbe(Instant now, HybridTime time, std::vector<Outgoing>& outgoing)
{
    auto target = nextTarget();
    if (!target) {
        for (const auto& seed : seeds_) {
            if (seed != self_.peer)
                outgoing.push_back({seed, makeMessage(makeDigest(false), time)});
        }
        return;
    }
    auto sequence = nextSequence_++;
    probes_[sequence] = {*target, now, false};
    outgoing.push_back({members_.at(*target).record.peer, makeMessage(Wire::Ping{sequence, *target}, time)});
}

void Swim::tickProbes(Instant now, HybridTime time, std::vector<Outgoing>& outgoing)
{
    for (auto current = probes_.begin(); current != probes_.end();) {
        auto& [sequence, probe] = *current;
        if (!probe.isIndirect && now - probe.sentAt >= options_.pingTimeout) {
            probe.isIndirect = true;
            for (const auto* helper : randomMembers(options_.indirectPings, probe.target))
                outgoing.push_back({helper->record.peer, makeMessage(Wire::PingRequest{sequence, probe.target}, time)});
        }
        if (now - probe.sentAt < options_.pingInterval) {
            ++current;
            continue;
        }
        auto found = members_.find(probe.target);
        if (found != members_.end() && found->second.record.state == MemberState::Alive)
            changeState(now, found->second, MemberState::Suspect);
        current = probes_.erase(current);
    }
    std::erase_if(relays_, [&](const auto& entry) { return now - entry.second.sentAt >= options_.pingInterval; });
}

void Swim::tickSuspicions(Instant now)
{
    for (auto& [node, member] : members_) {
        if (member.record.state == MemberState::Suspect && now - member.stateSince >= options_.suspicionTimeout)
            changeState(now, member, MemberState::Dead);
    }
    std::erase_if(members_, [&](const auto& entry) {
        const auto& member = entry.second;
        return !isLive(member.record.state) && now - member.stateSince >= options_.deadRetention;
    });
}

void Swim::tickSync(Instant now, HybridTime time, std::vector<Outgoing>& outgoing)
{
    if (now < nextSync_)
        return;
    nextSync_ = now + (syncsLeftToJoin_ > 0 ? options_.joinInterval : options_.syncInterval);
    if (syncsLeftToJoin_ > 0 && !members_.empty())
        --syncsLeftToJoin_;
    for (const auto* member : randomMembers(1, self_.node))
        outgoing.push_back({member->record.peer, makeMessage(makeDigest(false), time)});
}

std::vector<Outgoing> Swim::tick(Instant now, HybridTime time)
{
    std::vector<Outgoing> outgoing;
    tickProbes(now, time, outgoing);
    tickSuspicions(now);
    tickSync(now, time, outgoing);
    if (now >= nextPing_) {
        nextPing_ = now + options_.pingInterval;
        startProbe(now, time, outgoing);
    }
    return outgoing;
}

Wire::Digest Swim::makeDigest(bool isReply) const
{
    Wire::Digest digest;
    digest.isReply = isReply;
    digest.buckets[bucketOf(self_.node)] ^= hashRecord(self_);
    for (const auto& [node, member] : members_)
        digest.buckets[bucketOf(node)] ^= hashRecord(member.record);
    return digest;
}

void Swim::onDigest(const Endpoint& from, const Wire::Digest& digest, HybridTime time, std::vector<Outgoing>& outgoing)
{
    auto own = makeDigest(true);
    if (own.buckets == digest.buckets)
        return;
    auto differs = [&](const std::string& node) { return own.buckets[bucketOf(node)] != digest.buckets[bucketOf(node)]; };
    std::vector<const MemberRecord*> records;
    if (differs(self_.node))
        records.push_back(&self_);
    for (const auto& [node, member] : members_) {
        if (differs(node))
            records.push_back(&member.record);
    }
    std::ranges::shuffle(records, random_.engine());

    std::vector<Message> messages;
    std::size_t room = 0;
    for (const auto* record : records) {
        auto size = Wire::encodedSize(*record);
        bool isFull = messages.empty() || size > room || messages.back().updates.size() == Wire::maximumRecordsPerMessage;
        if (isFull && messages.size() == maximumSyncDatagrams)
            break;
        if (isFull) {
            messages.push_back({{self_.node, time, generation_}, Wire::Records(), {}});
            room = recordsRoomBytes;
        }
        room -= std::min(room, size);
        messages.back().updates.push_back(*record);
    }
    for (auto& message : messages)
        outgoing.push_back({from, std::move(message)});
    if (!digest.isReply)
        outgoing.push_back({from, {{self_.node, time, generation_}, own, {}}});
}

void Swim::onPing(const Endpoint& from, const Wire::Ping& ping, HybridTime time, std::vector<Outgoing>& outgoing)
{
    if (ping.target != self_.node)
        return;
    outgoing.push_back({from, makeMessage(Wire::Ack{ping.sequence, self_.node}, time)});
}

void Swim::onAck(const Wire::Ack& ack, HybridTime time, std::vector<Outgoing>& outgoing)
{
    if (auto probe = probes_.find(ack.sequence); probe != probes_.end() && probe->second.target == ack.subject)
        probes_.erase(probe);
    auto relay = relays_.find(ack.sequence);
    if (relay == relays_.end())
        return;
    outgoing.push_back({relay->second.requester, makeMessage(Wire::Ack{relay->second.sequence, ack.subject}, time)});
    relays_.erase(relay);
}

void Swim::onPingRequest(Instant now, const Endpoint& from, const Wire::PingRequest& request, HybridTime time, std::vector<Outgoing>& outgoing)
{
    auto found = members_.find(request.target);
    if (found == members_.end())
        return;
    auto sequence = nextSequence_++;
    relays_[sequence] = {from, request.sequence, now};
    outgoing.push_back({found->second.record.peer, makeMessage(Wire::Ping{sequence, request.target}, time)});
}

std::vector<Outgoing> Swim::receive(Instant now, const Endpoint& from, const Message& message, HybridTime time)
{
    std::vector<Outgoing> outgoing;
    if (message.envelope.sender == self_.node)
        return outgoing;
    for (const auto& record : message.updates)
        merge(now, record);
    if (auto sender = members_.find(message.envelope.sender); sender != members_.end())
        sender->second.generation = message.envelope.generation;

    struct Visitor {
        Swim& swim;
        Instant now;
        const Endpoint& from;
        HybridTime time;
        std::vector<Outgoing>& outgoing;

        void operator()(const Wire::Ping& ping) const { swim.onPing(from, ping, time, outgoing); }
        void operator()(const Wire::Ack& ack) const { swim.onAck(ack, time, outgoing); }
        void operator()(const Wire::PingRequest& request) const { swim.onPingRequest(now, from, request, time, outgoing); }
        void operator()(const Wire::Digest& digest) const { swim.onDigest(from, digest, time, outgoing); }
        void operator()(const Wire::Records&) const { }
        // The load of servers is no matter of membership.
        void operator()(const Wire::LoadProbe&) const { }
        void operator()(const Wire::LoadReport&) const { }
    };
    std::visit(Visitor{*this, now, from, time, outgoing}, message.payload);
    return outgoing;
}

} // namespace balsamreel::Membership
