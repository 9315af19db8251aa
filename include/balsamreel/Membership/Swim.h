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
    Support::Duration pingTimeout = std::chrono::milliseconds(300); ///< without an ack after this time, other members are asked to ping the target
    Support::Duration suspicionTimeout = std::chrono::seconds(4); ///< time to refute in a small table; grows with the logarithm of the table's size
    Support::Duration gossipInterval = std::chrono::milliseconds(200); ///< between datagrams of updates while any are pending
    Support::Duration syncInterval = std::chrono::seconds(10);
    Support::Duration joinInterval = std::chrono::milliseconds(250); ///< between syncs while the node joins
    Support::Duration deadPingInterval = std::chrono::seconds(20); ///< between pings to members considered dead
    Support::Duration deadRetention = std::chrono::hours(2); ///< exceeds the expected length of partitions between regions
    Support::Duration leftRetention = std::chrono::minutes(10); ///< keeps delayed updates from restoring a member that left
    Support::Duration pauseThreshold = std::chrono::seconds(2); ///< a longer gap between ticks means that this process was paused
    unsigned indirectPings = 3;
    unsigned gossipFanout = 2;
    unsigned retransmitFactor = 2; ///< each update is sent this many times log2 of the table's size
    double updateBytesPerSecond = 800; ///< sent; on average as much is received
    double updateBurstBytes = 1500;
    double repairBytesPerSecond = 500; ///< digests and the records they request, sent
    double repairBurstBytes = 3000;
    double tableBytesPerSecond = 700; ///< whole tables fetched and provided, on average
    double tableBurstBytes = 6000; ///< a larger table is sent at once; its debt delays the next one
};

/// A datagram to send.
struct Outgoing {
    Support::Endpoint to;
    Wire::Message message;
};

/// A change of a member's state as seen by this node.
struct MemberChange {
    std::string node;
    Wire::MemberState state = Wire::MemberState::Alive;
    std::uint64_t incarnation = 0;
};

/// Protocol counters for metrics.
struct SwimCounts {
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0; ///< of this process, detected by the gap between ticks
    std::uint64_t deferred = 0; ///< datagrams not sent, or sent without updates, because the budget was exhausted
    std::uint64_t tableFetches = 0;
    std::uint64_t tableRefusals = 0; ///< tables not provided because the budget was exhausted
    std::uint64_t nameConflicts = 0; ///< records with this node's name, a higher incarnation and another address
};

/// One node's view of all members, with failure detection and dissemination after the SWIM protocol. Uses neither
/// sockets nor clocks; the caller passes in datagrams and time. Not thread-safe.
class Swim {
public:
    Swim(SwimOptions, Wire::MemberRecord self, std::uint64_t seed);

    /// Addresses to contact while no member is known, and occasionally afterwards.
    void setSeeds(std::vector<Support::Endpoint> seeds) { seeds_ = std::move(seeds); }

    /// Sets this node's servers. Other nodes are updated only if they changed.
    void setServers(std::vector<Wire::ServerRecord>);

    /// Announces that this node is leaving.
    void leave();

    /// Sets the generation of the configuration that this node follows. An increase is announced at once.
    void setGeneration(std::uint64_t);

    std::vector<Outgoing> tick(Support::Instant now, Support::HybridTime);
    std::vector<Outgoing> receive(Support::Instant now, const Support::Endpoint& from, const Wire::Message&, Support::HybridTime);

    /// Time at which tick() has to be called next.
    Support::Instant nextDue() const;

    /// The node whose whole table is to be fetched and passed to onTable(). Nothing if no table is needed or the budget is
    /// exhausted.
    std::optional<Support::Endpoint> takeTableRequest(Support::Instant now);
    void onTable(Support::Instant now, const std::vector<Wire::MemberRecord>&, std::size_t bytes);

    /// The whole table for another node; nothing if the budget is exhausted.
    std::optional<std::vector<Wire::MemberRecord>> provideTable(Support::Instant now);
    void chargeTableBytes(std::size_t bytes) { tableBudget_.spend(static_cast<double>(bytes)); }

    const std::map<std::string, Member>& members() const { return table_.members(); }
    const Wire::MemberRecord& self() const { return self_; }

    /// Increases when the set of live members or a live member's record changes.
    std::uint64_t revision() const { return revision_; }
    std::vector<MemberChange> takeChanges();
    const SwimCounts& counts() const { return counts_; }

    /// 0 if this node is healthy. A higher value lengthens its timeouts.
    unsigned healthPenalty() const { return healthPenalty_; }
    std::size_t pendingUpdateCount() const { return recordUpdates_.size() + stateUpdates_.size(); }

    /// Equal on all nodes that hold the same live members at the same versions.
    std::uint32_t tableHash() const;

    /// A live member that follows a higher configuration generation than this node, if one is known.
    std::optional<Wire::MemberRecord> newerPeer() const;

private:
    enum class TrafficClass : std::uint8_t { Detection, ///< pings and acks
        Update,
        Repair ///< digests and the records they request
    };
    struct Probe {
        std::string target;
        Support::Instant sentAt;
        bool isIndirect = false;
    };
    struct RelayedPing {
        Support::Endpoint requester;
        std::uint64_t sequence = 0; ///< of the requester's ping
        Support::Instant sentAt;
    };
    struct EventContext; ///< state of one call to tick() or receive()

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
    std::uint64_t highestGeneration_ = 0; ///< that any member has reported
    unsigned generationAnnouncementsLeft_ = 0; ///< datagrams still to be sent to announce a new generation
    MemberTable table_;
    GossipQueue recordUpdates_; ///< members whose whole records are to be sent
    GossipQueue stateUpdates_; ///< members of which only version and state are to be sent
    std::vector<MemberChange> changes_;
    std::uint64_t revision_ = 1;
    SwimCounts counts_;

    ByteBudget updateBudget_;
    ByteBudget repairBudget_;
    ByteBudget tableBudget_;
    std::optional<Support::Endpoint> tableSource_;
    bool hasSynced_ = false;
    bool isConverged_ = false; ///< no differing digest has come in reply to the last one sent

    std::uint64_t nextSequence_ = 1;
    std::map<std::uint64_t, Probe> probes_;
    std::map<std::uint64_t, RelayedPing> relayedPings_;
    std::vector<std::string> probeOrder_;
    std::deque<std::string> verificationQueue_;
    unsigned healthPenalty_ = 0; ///< 0 if healthy; higher the less reliable this node's own judgement is
    std::optional<Support::Instant> lastTick_;
    Support::Instant nextPing_;
    Support::Instant nextSync_;
    Support::Instant nextGossip_;
    Support::Instant nextDeadPing_;
    Support::Instant nextGoneScan_;
    Support::Instant healingUntil_; ///< until then dead members are pinged more often: one has returned, so others may have
    unsigned joinSyncsLeft_ = joinSyncs;

    static constexpr unsigned joinSyncs = 12;
};

} // namespace balsamreel::Membership
