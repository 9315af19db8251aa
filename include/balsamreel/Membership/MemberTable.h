// The table of members, with what the protocol would otherwise have to search all of it for.
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

/// Alive or suspect: takes part and is offered work.
constexpr bool isLive(Wire::MemberState state)
{
    return state == Wire::MemberState::Alive || state == Wire::MemberState::Suspect;
}

struct Member {
    Wire::MemberRecord record;
    Support::Instant stateSince;
    std::uint64_t generation = 0; ///< of the configuration it last said it follows
    std::uint32_t fingerprint = 0; ///< of the record
    bool needsVerification = false; ///< another node takes it for dead; it will be pinged
    bool isLocallySuspected = false; ///< this node's own ping went unanswered
    unsigned confirmationPings = 0; ///< pings at the end of its suspicion
    std::size_t position = 0; ///< in the list that random choices are made from
};

/// All members but this node itself. References stay good until their member is erased.
class MemberTable {
public:
    using Buckets = std::array<std::uint32_t, Wire::Digest::bucketCount>;

    const std::map<std::string, Member>& members() const { return members_; }
    Member* find(const std::string& node);
    Member* find(std::uint32_t nameHash);

    /// Puts a record in place of the known one, or adds it.
    Member& put(Support::Instant now, const Wire::MemberRecord&);
    void setState(Support::Instant now, Member&, Wire::MemberState);
    void erase(const std::string& node);

    /// Any member; null if there is none.
    Member* random(Support::Random&);

    /// Up to count different members that are live, without the excluded one.
    std::vector<const Member*> randomLive(Support::Random&, std::size_t count, const std::string& excluded);

    const std::set<std::string>& suspects() const { return suspects_; }
    const std::set<std::string>& gone() const { return gone_; }
    std::size_t liveCount() const { return members_.size() - gone_.size(); }

    /// Sums of hashes over live members, a bucket each.
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
