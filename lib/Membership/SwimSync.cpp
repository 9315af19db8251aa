#include "balsamreel/Membership/Swim.h"

#include "SwimTurn.h"

#include <algorithm>
#include <utility>

namespace balsamreel::Membership {

using Support::Duration;
using Support::Endpoint;
using Support::Instant;
using Wire::MemberRecord;
using Wire::Message;

namespace {

constexpr std::size_t maximumSyncDatagrams = 2;
// With more buckets that differ, one whole table in compressed form is cheaper than datagrams of records.
constexpr std::ptrdiff_t fetchedBuckets = 12;
// Until tables differ in little, they are compared more often.
constexpr Duration resyncDelay = std::chrono::seconds(1);
constexpr std::size_t recordsForJoiner = 4;
constexpr std::size_t stormRecords = 16;

} // namespace

Wire::Digest Swim::makeDigest(bool isReply) const
{
    Wire::Digest digest;
    digest.isReply = isReply;
    digest.buckets = table_.buckets();
    digest.liveCount = static_cast<std::uint32_t>(table_.liveCount());
    if (isLive(self_.state))
        digest.buckets[MemberTable::bucketOf(self_.node)] ^= MemberTable::hashOf(self_);
    return digest;
}

std::uint32_t Swim::tableHash() const
{
    auto digest = makeDigest(false);
    constexpr std::uint32_t multiplier = 16'777'619;
    std::uint32_t hash = 0;
    for (auto bucket : digest.buckets)
        hash = (hash ^ bucket) * multiplier;
    return hash;
}

void Swim::tickSync(Turn& turn)
{
    if (turn.now < nextSync_)
        return;
    bool isJoining = syncsLeftToJoin_ > 0;
    // Spread out, so that nodes that were started together do not sync together.
    auto jitter = std::chrono::duration_cast<Duration>(options_.syncInterval * (random_.fraction() - 0.5) / 2);
    // One table tells much news at less cost than datagrams of records.
    bool isStorm = contentNews_.size() > stormRecords;
    auto interval = isJoining ? options_.joinInterval : options_.syncInterval + jitter;
    nextSync_ = turn.now + (isStorm || !isSettled_ ? std::min(interval, resyncDelay) : interval);
    if (members().empty())
        return askSeed(turn);
    for (const auto* member : table_.randomLive(random_, 1, self_.node)) {
        bool isSent = send(turn, Urgency::Repair, member->record.peer, makeDigest(false), member);
        syncsLeftToJoin_ -= isSent && isJoining ? 1 : 0;
        // Nothing is answered if the tables are the same.
        isSettled_ = isSent;
    }
}

void Swim::sendRecords(Turn& turn, const Wire::Digest& digest)
{
    auto own = makeDigest(true);
    auto differs = [&](const std::string& node) {
        auto bucket = MemberTable::bucketOf(node);
        return own.buckets[bucket] != digest.buckets[bucket];
    };
    std::vector<const MemberRecord*> records;
    for (const auto& [node, member] : members()) {
        if (differs(node))
            records.push_back(&member.record);
    }
    std::ranges::shuffle(records, random_.engine());
    // A node that knows nobody needs only some members to turn to.
    if (digest.liveCount == 0)
        records.resize(std::min(records.size(), recordsForJoiner));
    if (differs(self_.node))
        records.insert(records.begin(), &self_);

    Message message{{self_.node, turn.time, generation_}, Wire::Records(), {}, {}};
    std::size_t datagrams = 0;
    std::size_t room = newsRoomBytes;
    for (const auto* record : records) {
        auto size = Wire::encodedSize(*record);
        if (size > room || message.updates.size() == Wire::maximumRecordsPerMessage) {
            if (!push(turn, Urgency::Repair, turn.from, std::exchange(message, {message.envelope, Wire::Records(), {}, {}})) || ++datagrams == maximumSyncDatagrams)
                return;
            room = newsRoomBytes;
        }
        room -= size;
        message.updates.push_back(*record);
    }
    if (!message.updates.empty())
        push(turn, Urgency::Repair, turn.from, std::move(message));
}

void Swim::onDigest(Turn& turn, const Wire::Digest& digest)
{
    auto own = makeDigest(true);
    if (own.buckets == digest.buckets) {
        hasTable_ = true;
        return;
    }
    isSettled_ = false;
    nextSync_ = std::min(nextSync_, turn.now + resyncDelay);
    std::ptrdiff_t differing = 0;
    for (std::size_t bucket = 0; bucket < own.buckets.size(); ++bucket)
        differing += own.buckets[bucket] != digest.buckets[bucket] ? 1 : 0;
    const auto* sender = table_.find(turn.sender);
    // A node that has only just started has nothing to be fetched.
    bool hasMuch = 2 * digest.liveCount >= table_.liveCount();
    if (differing > fetchedBuckets && hasMuch)
        wantedTable_ = turn.from;
    // A node that knows nobody yet is first given some members to turn to.
    if (!digest.isReply && digest.liveCount > 0)
        send(turn, Urgency::Repair, turn.from, own, sender);
    // What differs in much is fetched as a whole table instead.
    if (differing <= fetchedBuckets || digest.liveCount == 0)
        sendRecords(turn, digest);
}

std::optional<Endpoint> Swim::takeTableRequest(Instant now)
{
    tableBudget_.refill(now);
    if (!wantedTable_ || !tableBudget_.allows(0))
        return std::nullopt;
    auto from = *std::exchange(wantedTable_, std::nullopt);
    // Many nodes that join at once know the same few seeds, so they ask others as soon as they know any.
    if (auto others = table_.randomLive(random_, 1, self_.node); !hasTable_ && !others.empty())
        from = others.front()->record.peer;
    ++counts_.tableFetches;
    return from;
}

void Swim::onTable(Instant now, const std::vector<MemberRecord>& records, std::size_t bytes)
{
    spendTable(bytes);
    hasTable_ = true;
    isSettled_ = false;
    nextSync_ = std::min(nextSync_, now + resyncDelay);
    for (const auto& record : records) {
        merge(now, record);
        // What stands in another's table has been told before.
        if (record.node == self_.node)
            continue;
        contentNews_.erase(record.node);
        stateNews_.erase(record.node);
    }
}

std::optional<std::vector<MemberRecord>> Swim::giveTable(Instant now)
{
    tableBudget_.refill(now);
    if (!tableBudget_.allows(0)) {
        ++counts_.tableRefusals;
        return std::nullopt;
    }
    std::vector<MemberRecord> records{self_};
    for (const auto& [node, member] : members())
        records.push_back(member.record);
    return records;
}

// Turns

} // namespace balsamreel::Membership
