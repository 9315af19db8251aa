// Who is there: failure detection and dissemination in the manner of SWIM, without sockets or clocks.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Random.h"
#include "balsamreel/Wire/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Membership {

struct SwimOptions {
    Support::Duration pingInterval = std::chrono::seconds(1);
    Support::Duration pingTimeout = std::chrono::milliseconds(300);
    Support::Duration suspicionTimeout = std::chrono::seconds(4); ///< time to refute
    Support::Duration syncInterval = std::chrono::seconds(10);
    Support::Duration joinInterval = std::chrono::milliseconds(250); ///< between syncs until the table has settled
    Support::Duration deadRetention = std::chrono::seconds(120); ///< so that old news can't bring a dead member back
    unsigned indirectPings = 3;
    unsigned retransmitFactor = 3; ///< each news is sent this many times log2 of the table's size
};

/// A datagram to send.
struct Outgoing {
    Support::Endpoint to;
    Wire::Message message;
};

/// A member's state changed as this node sees it.
struct MemberChange {
    std::string node;
    Wire::MemberState state = Wire::MemberState::Alive;
    std::uint64_t incarnation = 0;
};

struct Member {
    Wire::MemberRecord record;
    Support::Instant stateSince;
    std::uint64_t generation = 0; ///< of the configuration it last said it follows
};

/// One node's view of all members. Not thread-safe.
class Swim {
public:
    Swim(SwimOptions, Wire::MemberRecord self, std::uint64_t seed);

    /// Addresses to try while no member is known.
    void setSeeds(std::vector<Support::Endpoint> seeds) { seeds_ = std::move(seeds); }

    /// What this node's servers are now; news only if it differs.
    void setServers(std::vector<Wire::ServerRecord>);

    /// Announces that this node leaves.
    void leave();

    void setGeneration(std::uint64_t generation) { generation_ = generation; }

    std::vector<Outgoing> tick(Support::Instant now, Support::HybridTime);
    std::vector<Outgoing> receive(Support::Instant now, const Support::Endpoint& from, const Wire::Message&, Support::HybridTime);

    const std::map<std::string, Member>& members() const { return members_; }
    const Wire::MemberRecord& self() const { return self_; }

    /// Raised with each change of the table.
    std::uint64_t revision() const { return revision_; }
    std::vector<MemberChange> takeChanges();

    /// A live member that follows a higher generation than this node, if one is known.
    std::optional<Wire::MemberRecord> newerPeer() const;

private:
    struct Probe {
        std::string target;
        Support::Instant sentAt;
        bool isIndirect = false;
    };
    struct Relay {
        Support::Endpoint requester;
        std::uint64_t sequence = 0; ///< the requester's
        Support::Instant sentAt;
    };
    struct News {
        std::string node;
        unsigned sentCount = 0;
    };

    Wire::Message makeMessage(Wire::Payload, Support::HybridTime);
    void fillUpdates(Wire::Message&);
    void merge(Support::Instant now, const Wire::MemberRecord&);
    void refute();
    void changeState(Support::Instant now, Member&, Wire::MemberState);
    void spread(const std::string& node);
    std::optional<std::string> nextTarget();
    std::vector<const Member*> randomMembers(std::size_t count, const std::string& excluded);

    void tickProbes(Support::Instant now, Support::HybridTime, std::vector<Outgoing>&);
    void tickSuspicions(Support::Instant now);
    void tickSync(Support::Instant now, Support::HybridTime, std::vector<Outgoing>&);
    void startProbe(Support::Instant now, Support::HybridTime, std::vector<Outgoing>&);

    void onPing(const Support::Endpoint& from, const Wire::Ping&, Support::HybridTime, std::vector<Outgoing>&);
    void onAck(const Wire::Ack&, Support::HybridTime, std::vector<Outgoing>&);
    void onPingRequest(Support::Instant now, const Support::Endpoint& from, const Wire::PingRequest&, Support::HybridTime, std::vector<Outgoing>&);
    void onDigest(const Support::Endpoint& from, const Wire::Digest&, Support::HybridTime, std::vector<Outgoing>&);
    Wire::Digest makeDigest(bool isReply) const;

    SwimOptions options_;
    Wire::MemberRecord self_;
    Support::Random random_;
    std::vector<Support::Endpoint> seeds_;
    std::uint64_t generation_ = 0;
    std::map<std::string, Member> members_; ///< without this node itself
    std::deque<News> news_;
    std::vector<MemberChange> changes_;
    std::uint64_t revision_ = 1;

    std::uint64_t nextSequence_ = 1;
    std::map<std::uint64_t, Probe> probes_;
    std::map<std::uint64_t, Relay> relays_;
    std::vector<std::string> probeOrder_;
    Support::Instant nextPing_;
    Support::Instant nextSync_;
    unsigned syncsLeftToJoin_ = joinSyncs;

    static constexpr unsigned joinSyncs = 12;
};

} // namespace balsamreel::Membership
