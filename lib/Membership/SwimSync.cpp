#include "balsamreel/Membership/Swim.h"

#include "SwimEventContext.h"

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
// If more buckets differ, one compressed table is cheaper than datagrams of records.
constexpr std::ptrdiff_t tableFetchBucketThreshold = 12;
// Tables are compared more often while they differ or many updates are pending.
constexpr Duration resyncDelay = std::chrono::seconds(1);
constexpr std::size_t recordsForJoiner = 4;
constexpr std::size_t updateBacklogThreshold = 16;

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

void Swim::tickSync(EventContext& context)
{
    if (context.now < nextSync_)
        return;
    bool isJoining = joinSyncsLeft_ > 0;
    // Jitter keeps nodes that were started together from syncing together.
    auto jitter = std::chrono::duration_cast<Duration>(options_.syncInterval * (random_.fraction() - 0.5) / 2);
    // One table carries many updates at a lower cost than datagrams of records.
    bool hasUpdateBacklog = recordUpdates_.size() > updateBacklogThreshold;
    auto interval = isJoining ? options_.joinInterval : options_.syncInterval + jitter;
    nextSync_ = context.now + (hasUpdateBacklog || !isConverged_ ? std::min(interval, resyncDelay) : interval);
    if (members().empty())
        return sendDigestToSeed(context);
    for (const auto* member : table_.randomLive(random_, 1, self_.node)) {
        bool isSent = send(context, TrafficClass::Repair, member->record.peer, makeDigest(false), member);
        joinSyncsLeft_ -= isSent && isJoining ? 1 : 0;
        // The peer sends no reply if the tables are the same.
        isConverged_ = isSent;
    }
}

void Swim::sendRecords(EventContext& context, const Wire::Digest& digest)
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
    // A node that knows no members needs only a few to contact.
    if (digest.liveCount == 0)
        records.resize(std::min(records.size(), recordsForJoiner));
    if (differs(self_.node))
        records.insert(records.begin(), &self_);

    Message message{{self_.node, context.time, generation_}, Wire::Records(), {}, {}};
    std::size_t datagrams = 0;
    std::size_t room = updateRoomBytes;
    for (const auto* record : records) {
        auto size = Wire::encodedSize(*record);
        if (size > room || message.updates.size() == Wire::maximumRecordsPerMessage) {
            if (!push(context, TrafficClass::Repair, context.from, std::exchange(message, {message.envelope, Wire::Records(), {}, {}})) || ++datagrams == maximumSyncDatagrams)
                return;
            room = updateRoomBytes;
        }
        room -= size;
        message.updates.push_back(*record);
    }
    if (!message.updates.empty())
        push(context, TrafficClass::Repair, context.from, std::move(message));
}

void Swim::onDigest(EventContext& context, const Wire::Digest& digest)
{
    auto own = makeDigest(true);
    if (own.buckets == digest.buckets) {
        hasSynced_ = true;
        return;
    }
    isConverged_ = false;
    nextSync_ = std::min(nextSync_, context.now + resyncDelay);
    std::ptrdiff_t differing = 0;
    for (std::size_t bucket = 0; bucket < own.buckets.size(); ++bucket)
        differing += own.buckets[bucket] != digest.buckets[bucket] ? 1 : 0;
    const auto* sender = table_.find(context.sender);
    // The table of a node that has just started is not worth fetching.
    bool isComparableInSize = 2 * digest.liveCount >= table_.liveCount();
    if (differing > tableFetchBucketThreshold && isComparableInSize)
        tableSource_ = context.from;
    // A node that knows no members yet is sent a few to contact instead of a digest.
    if (!digest.isReply && digest.liveCount > 0)
        send(context, TrafficClass::Repair, context.from, own, sender);
    // Larger differences are resolved by fetching a whole table instead.
    if (differing <= tableFetchBucketThreshold || digest.liveCount == 0)
        sendRecords(context, digest);
}

std::optional<Endpoint> Swim::takeTableRequest(Instant now)
{
    tableBudget_.refill(now);
    if (!tableSource_ || !tableBudget_.allows(0))
        return std::nullopt;
    auto from = *std::exchange(tableSource_, std::nullopt);
    // Nodes that join at the same time know the same few seeds, so a joining node asks another member once it knows one.
    if (auto others = table_.randomLive(random_, 1, self_.node); !hasSynced_ && !others.empty())
        from = others.front()->record.peer;
    ++counts_.tableFetches;
    return from;
}

void Swim::onTable(Instant now, const std::vector<MemberRecord>& records, std::size_t bytes)
{
    chargeTableBytes(bytes);
    hasSynced_ = true;
    isConverged_ = false;
    nextSync_ = std::min(nextSync_, now + resyncDelay);
    for (const auto& record : records) {
        merge(now, record);
        // Records in another node's table have been disseminated already.
        if (record.node == self_.node)
            continue;
        recordUpdates_.erase(record.node);
        stateUpdates_.erase(record.node);
    }
}

std::optional<std::vector<MemberRecord>> Swim::provideTable(Instant now)
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

} // namespace balsamreel::Membership
