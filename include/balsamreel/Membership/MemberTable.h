#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Random.h"
#include "balsamreel/Wire/Messages.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamreel::Membership {

/// Alive or suspect. A suspected member still takes part and receives calls.
constexpr bool isLive(Wire::MemberState state)
{
    return state == Wire::MemberState::Alive || state == Wire::MemberState::Suspect;
}

struct Member {
    Wire::MemberRecord record;
    Support::Instant stateSince;
    std::uint64_t generation = 0; ///< of the configuration that the member last reported to follow
    std::uint32_t fingerprint = 0; ///< Wire::fingerprint() of the record
    bool needsVerification = false; ///< reported dead by another node, or a ping of this node failed; this node will ping it
    bool isLocallySuspected = false; ///< suspected because this node's own ping was not acknowledged
    unsigned confirmationPings = 0; ///< pings sent after its suspicion timed out, before it is declared dead
    std::size_t position = 0; ///< index in the list that random members are drawn from
};

/// All members except this node, with indexes for lookups that would otherwise scan the whole table. References remain
/// valid until their member is erased.
class MemberTable {
public:
    using Buckets = std::array<std::uint32_t, Wire::Digest::bucketCount>;

    const std::map<std::string, Member>& members() const { return members_; }
    Member* find(const std::string& node);
    Member* find(std::uint32_t nameHash);

    /// Adds the record, or replaces the known one.
    Member& put(Support::Instant now, const Wire::MemberRecord&);
    void setState(Support::Instant now, Member&, Wire::MemberState);
    void erase(const std::string& node);

    /// A random member; null if the table is empty.
    Member* random(Support::Random&);

    /// Up to count distinct random live members, without the excluded one.
    std::vector<const Member*> randomLive(Support::Random&, std::size_t count, const std::string& excluded);

    const std::set<std::string>& suspects() const { return suspects_; }

    /// Members that are dead or have left.
    const std::set<std::string>& gone() const { return gone_; }
    std::size_t liveCount() const { return members_.size() - gone_.size(); }

    /// For each bucket, the XOR of hashOf() over its live members.
    const Buckets& buckets() const { return buckets_; }

    static std::size_t bucketOf(const std::string& node);
    static std::uint32_t hashOf(const Wire::MemberRecord&);

private:
    void index(Member&);
    void unindex(const Member&);

    std::map<std::string, Member> members_;
    std::unordered_map<std::uint32_t, Member*> byNameHash_;
    std::vector<Member*> list_;
    std::set<std::string> suspects_;
    std::set<std::string> gone_;
    Buckets buckets_{};
};

} // namespace balsamreel::Membership
