// Who is there: failure detection and dissemination in the manner of SWIM, without sockets or clocks.
#pragma once

#include "balsamreel/Membership/ByteBudget.h"
#include "balsamreel/Membership/GossipQueue.h"
#include "balsamreel/Membership/MemberTable.h"
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
    Support::Duration pingTimeout = std::chrono::milliseconds(300); ///< until others are asked to ping
    Support::Duration suspicionTimeout = std::chrono::seconds(4); ///< time to refute in a small table; grows with its logarithm
    Support::Duration gossipInterval = std::chrono::milliseconds(200); ///< between datagrams of news, while there are any
    Support::Duration syncInterval = std::chrono::seconds(10);
    Support::Duration joinInterval = std::chrono::milliseconds(250); ///< between syncs until the table has settled
    Support::Duration deadPingInterval = std::chrono::seconds(20); ///< between pings to members taken for dead
    Support::Duration deadRetention = std::chrono::hours(2); ///< longer than regions lose each other
    Support::Duration leftRetention = std::chrono::minutes(10); ///< so that old news can't bring a member back that left
    Support::Duration pauseThreshold = std::chrono::seconds(2); ///< a longer gap between ticks was a pause of this process
    unsigned indirectPings = 3;
    unsigned gossipFanout = 2;
    unsigned retransmitFactor = 2; ///< each news is sent this many times log2 of the table's size
    double updateBytesPerSecond = 800; ///< sent; on average as much is received
    double updateBurstBytes = 1500;
    double repairBytesPerSecond = 500; ///< digests and the records they ask for, sent
    double repairBurstBytes = 3000;
    double tableBytesPerSecond = 700; ///< whole tables fetched and given, on average
    double tableBurstBytes = 6000; ///< a larger table goes out at once and is paid for afterwards
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

/// What the protocol has done, for metrics.
struct SwimCounts {
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0; ///< of this process, seen by the gap between ticks
    std::uint64_t deferred = 0; ///< datagrams not sent, or sent without news, since the budget was spent
    std::uint64_t tableFetches = 0;
    std::uint64_t tableRefusals = 0; ///< tables not given, since the budget was spent
    std::uint64_t nameConflicts = 0; ///< records of a later start under this node's name at another address
};

/// One node's view of all members. Not thread-safe.
class Swim {
public:
    Swim(SwimOptions, Wire::MemberRecord self, std::uint64_t seed);

    /// Addresses to try while no member is known, and now and then later.
    void setSeeds(std::vector<Support::Endpoint> seeds) { seeds_ = std::move(seeds); }

    /// What this node's servers are now; news only if it differs.
    void setServers(std::vector<Wire::ServerRecord>);

    /// Announces that this node leaves.
    void leave();

    /// The configuration this node follows. A higher one is told to others at once.
    void setGeneration(std::uint64_t);

    std::vector<Outgoing> tick(Support::Instant now, Support::HybridTime);
    std::vector<Outgoing> receive(Support::Instant now, const Support::Endpoint& from, const Wire::Message&, Support::HybridTime);

    /// When tick() has something to do next.
    Support::Instant nextDue() const;

    /// A node whose whole table shall be fetched; answer with onTable(). Nothing if none is wanted or the budget is spent.
    std::optional<Support::Endpoint> takeTableRequest(Support::Instant now);
    void onTable(Support::Instant now, const std::vector<Wire::MemberRecord>&, std::size_t bytes);

    /// The whole table for another node; nothing if the budget is spent.
    std::optional<std::vector<Wire::MemberRecord>> provideTable(Support::Instant now);
    void chargeTableBytes(std::size_t bytes) { tableBudget_.spend(static_cast<double>(bytes)); }

    const std::map<std::string, Member>& members() const { return table_.members(); }
    const Wire::MemberRecord& self() const { return self_; }

    /// Raised when who is live, or a live member's record, changes.
    std::uint64_t revision() const { return revision_; }
    std::vector<MemberChange> takeChanges();
    const SwimCounts& counts() const { return counts_; }
    unsigned healthPenalty() const { return healthPenalty_; }
    std::size_t pendingUpdateCount() const { return recordUpdates_.size() + stateUpdates_.size(); }

    /// The same on all nodes that hold the same live members.
    std::uint32_t tableHash() const;

    /// A live member that follows a higher generation than this node, if one is known.
    std::optional<Wire::MemberRecord> newerPeer() const;

private:
    enum class TrafficClass : std::uint8_t { Detection, ///< pings and their answers
        Update,
        Repair ///< digests and what they ask for
    };
    struct Probe {
        std::string target;
        Support::Instant sentAt;
        bool isIndirect = false;
    };
    struct RelayedPing {
        Support::Endpoint requester;
        std::uint64_t sequence = 0; ///< the requester's
        Support::Instant sentAt;
    };
    struct EventContext; ///< one call of tick() or receive()

    Wire::Digest makeDigest(bool isReply) const;
    unsigned retransmitLimit() const;
    void addReceiverState(Wire::Message&, const Member& receiver) const;
    std::size_t fillRecords(Wire::Message&, std::size_t room);
    std::size_t fillStates(Wire::Message&, std::size_t room);
    void fillUpdates(Wire::Message&, std::size_t room);
    bool send(EventContext&, TrafficClass, const Support::Endpoint&, Wire::Payload, const Member* receiver);
    bool push(EventContext&, TrafficClass, const Support::Endpoint&, Wire::Message);

    void enqueueRecord(const std::string& node);
    void enqueueState(const std::string& node);
    void publishSelf(bool isRecordChanged);
    void changeState(Support::Instant now, Member&, Wire::MemberState);
    void merge(Support::Instant now, const Wire::MemberRecord&);
    void mergeState(Support::Instant now, const Wire::StateUpdate&);
    void mergeSelf(const Wire::MemberRecord&);
    void replace(Support::Instant now, Member& known, const Wire::MemberRecord&);
    void queueVerification(Member&);

    Support::Duration suspicionTimeout() const;
    void detectPause(Support::Instant now);
    void raiseHealthPenalty();
    void tickProbes(EventContext&);
    void tickSuspicions(EventContext&);
    bool sendConfirmationPing(EventContext&, Member&, std::size_t membersBeingConfirmed);
    void expireGone(Support::Instant now);
    void tickSync(EventContext&);
    void tickDeadPings(EventContext&);
    void tickGossip(EventContext&);
    void startProbes(EventContext&);
    void sendDigestToSeed(EventContext&);
    void startProbe(EventContext&, const Member&);
    std::optional<std::string> nextTarget();
    Member* nextToVerify();

    void onPing(EventContext&, const Wire::Ping&);
    void onAck(EventContext&, const Wire::Ack&);
    void onPingRequest(EventContext&, const Wire::PingRequest&);
    void onDigest(EventContext&, const Wire::Digest&);
    void sendRecords(EventContext&, const Wire::Digest&);

    SwimOptions options_;
    Wire::MemberRecord self_;
    std::uint32_t selfFingerprint_;
    Support::Random random_;
    std::vector<Support::Endpoint> seeds_;
    std::uint64_t generation_ = 0;
    std::uint64_t highestGeneration_ = 0; ///< that any member has said it follows
    unsigned generationAnnouncementsLeft_ = 0; ///< datagrams still to be sent to tell a new generation
    MemberTable table_;
    GossipQueue recordUpdates_; ///< members whose whole records are told
    GossipQueue stateUpdates_; ///< members of which only version and state are told
    std::vector<MemberChange> changes_;
    std::uint64_t revision_ = 1;
    SwimCounts counts_;

    ByteBudget updateBudget_;
    ByteBudget repairBudget_;
    ByteBudget tableBudget_;
    std::optional<Support::Endpoint> tableSource_;
    bool hasSynced_ = false;
    bool isConverged_ = false; ///< the last digest was not answered by one that differs

    std::uint64_t nextSequence_ = 1;
    std::map<std::uint64_t, Probe> probes_;
    std::map<std::uint64_t, RelayedPing> relayedPings_;
    std::vector<std::string> probeOrder_;
    std::deque<std::string> verificationQueue_;
    unsigned healthPenalty_ = 0; ///< how far to distrust own judgement: 0 is well
    std::optional<Support::Instant> lastTick_;
    Support::Instant nextPing_;
    Support::Instant nextSync_;
    Support::Instant nextGossip_;
    Support::Instant nextDeadPing_;
    Support::Instant nextGoneScan_;
    Support::Instant healingUntil_; ///< dead members have come back, so others may have
    unsigned joinSyncsLeft_ = joinSyncs;

    static constexpr unsigned joinSyncs = 12;
};

} // namespace balsamreel::Membership
