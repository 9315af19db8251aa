#include "balsamreel/Membership/MemberTable.h"

#include <algorithm>

namespace balsamreel::Membership {

using Wire::MemberState;

std::size_t MemberTable::bucketOf(const std::string& node)
{
    return Wire::nameHash(node) % Wire::Digest::bucketCount;
}

std::uint32_t MemberTable::hashOf(const Wire::MemberRecord& record)
{
    // Suspicion is transient, and nodes drop gone members at different times, so neither may make digests differ. The
    // hash covers only which members are live and which version of each is known.
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15ULL;
    auto hash = Wire::nameHash(record.node) ^ (record.incarnation * multiplier) ^ (static_cast<std::uint64_t>(record.version) << 40U);
    return static_cast<std::uint32_t>((hash * multiplier) >> 32U);
}

Member* MemberTable::find(const std::string& node)
{
    auto found = members_.find(node);
    return found == members_.end() ? nullptr : &found->second;
}

Member* MemberTable::find(std::uint32_t nameHash)
{
    auto found = byNameHash_.find(nameHash);
    return found == byNameHash_.end() ? nullptr : found->second;
}

void MemberTable::index(Member& member)
{
    const auto& record = member.record;
    if (isLive(record.state))
        buckets_[bucketOf(record.node)] ^= hashOf(record);
    else
        gone_.insert(record.node);
    if (record.state == MemberState::Suspect)
        suspects_.insert(record.node);
}

void MemberTable::unindex(const Member& member)
{
    const auto& record = member.record;
    if (isLive(record.state))
        buckets_[bucketOf(record.node)] ^= hashOf(record);
    else
        gone_.erase(record.node);
    suspects_.erase(record.node);
}

Member& MemberTable::put(Support::Instant now, const Wire::MemberRecord& record)
{
    auto [entry, isNew] = members_.try_emplace(record.node);
    auto& member = entry->second;
    if (isNew) {
        member.position = list_.size();
        list_.push_back(&member);
        byNameHash_[Wire::nameHash(record.node)] = &member;
    } else {
        unindex(member);
    }
    if (isNew || member.record.state != record.state)
        member.stateSince = now;
    member.record = record;
    member.fingerprint = Wire::fingerprint(record);
    member.needsVerification = false;
    member.confirmationPings = 0;
    member.isLocallySuspected = false;
    index(member);
    return member;
}

void MemberTable::setState(Support::Instant now, Member& member, MemberState state)
{
    unindex(member);
    member.record.state = state;
    member.confirmationPings = 0;
    member.isLocallySuspected = false;
    member.stateSince = now;
    index(member);
}

void MemberTable::erase(const std::string& node)
{
    auto found = members_.find(node);
    if (found == members_.end())
        return;
    auto& member = found->second;
    unindex(member);
    list_.back()->position = member.position;
    std::swap(list_[member.position], list_.back());
    list_.pop_back();
    auto hashed = byNameHash_.find(Wire::nameHash(node));
    if (hashed != byNameHash_.end() && hashed->second == &member)
        byNameHash_.erase(hashed);
    members_.erase(found);
}

Member* MemberTable::random(Support::Random& random)
{
    return list_.empty() ? nullptr : list_[random.below(list_.size())];
}

std::vector<const Member*> MemberTable::randomLive(Support::Random& random, std::size_t count, const std::string& excluded)
{
    // Draws at random instead of copying the table. Some draws may hit members that are gone or already chosen.
    constexpr std::size_t drawsPerMember = 8;
    std::vector<const Member*> chosen;
    for (std::size_t draw = 0; draw < count * drawsPerMember && chosen.size() < count && !list_.empty(); ++draw) {
        const auto* member = list_[random.below(list_.size())];
        bool isEligible = isLive(member->record.state) && member->record.node != excluded;
        if (isEligible && std::ranges::find(chosen, member) == chosen.end())
            chosen.push_back(member);
    }
    return chosen;
}

} // namespace balsamreel::Membership
