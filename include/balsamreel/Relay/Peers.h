// Connections to the other nodes, the state of their servers, and the attempts sent to and received from them.
#pragma once

#include "balsamreel/Relay/AttemptCodec.h"
#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/Guard.h"
#include "balsamreel/Relay/NodeMemory.h"
#include "balsamreel/Relay/PeerConnection.h"
#include "balsamreel/Relay/PeerMessages.h"
#include "balsamreel/Relay/WatcherSelection.h"
#include "balsamreel/Support/Random.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace balsamreel::Relay {

/// A server beside another node.
struct PeerServer {
    NodeRecord node;
    std::uint64_t incarnation = 0;
    ServerStatus status;
};

/// Keeps one outbound connection to each known node, to send attempts and to receive their replies and the status of the
/// node's server. Inbound connections from other nodes carry attempts for the local guard.
class Peers {
public:
    /// Access to the state of the local node, and callbacks to it.
    struct Host {
        std::function<std::uint64_t()> configVersion;
        std::function<std::string()> configText;
        std::function<void(const std::string&)> onConfigText; ///< a peer has sent a newer configuration
        std::function<bool()> isFollowingStore;
        std::function<const EvacuationDocument&()> evacuations;
        std::function<void(const EvacuationDocument&)> onEvacuations; ///< a peer has sent its document, which may be no newer
        std::function<void()> onServersChanged;
        std::function<void(const std::string& node, const Support::Endpoint& server, bool isSlowed)> onSlowdownChange; ///< only for nodes of the same failure domain
        std::function<Quota::TokenReply(const Quota::TokenRequest&)> onTokenRequest;
        std::function<void(const std::string& node, const Quota::TokenReply&)> onTokenReply;
        std::function<std::uint64_t()> storeEra; ///< the newest era of the store that this node has learned of
        std::function<void(std::uint64_t era)> onStoreEra; ///< the era that a peer has learned of
        std::shared_ptr<NodeMemory> memory;
    };

    Peers(Loop&, const NodeSettings&, std::uint64_t incarnation, Guard&, EventLog&, Host);

    void listen();

    /// Adds or updates nodes that the store or another node has listed, and connects to them.
    void addNodes(const std::vector<NodeRecord>&);

    /// Removes unreachable nodes that are not in the store's listing.
    void removeUnlisted(const std::vector<NodeRecord>&);

    std::vector<PeerServer> servers() const;
    std::size_t knownCount() const { return peers_.size(); }

    /// Names of the known nodes, reachable or not, in ascending order.
    std::vector<std::string> knownNames() const;

    /// Changes whenever knownNames() does.
    std::uint64_t knownRevision() const { return knownRevision_; }

    /// Whether a connected node has sent the list of its peers.
    bool hasReceivedList() const { return hasReceivedList_; }

    /// Sends a message to a connected node. Returns false if the node is not connected.
    bool send(const std::string& node, const PeerMessage&);

    /// Sends an attempt. The callback is called once, unless the attempt is cancelled. If the connection is lost, the outcome of
    /// an idempotent attempt is Unknown; that of any other is queried until its deadline.
    void sendAttempt(const std::string& node, const AttemptRequest&, Guard::Done);
    void cancel(const std::string& node, std::uint64_t serial);

    /// Nodes that are reachable, or have not been found to be unreachable.
    std::vector<WatchCandidate> watchCandidates() const;

    /// Announces the version of the configuration and the era of the store to some nodes, which announce them in turn if they
    /// are new to them.
    void publishVersion();

    /// Compares the version with one node, for nodes that missed an announcement.
    void compareVersion();

    /// Sends the evacuated failure domains to some nodes, which send them on in turn.
    void publishEvacuations();

    /// Sends the evacuated failure domains to one node, for nodes that missed an update.
    void compareEvacuations();

    /// Reports to all nodes whether this one follows the store.
    void publishFollowing();

    /// Reports the status of the local server to all nodes.
    void publishStatus();

    /// Reports to the nodes of this failure domain that use the local server whether it is slowed down.
    void publishSlowdown();

    /// Requests a newer configuration and the list of nodes from one node.
    void queryState();

    /// Handles timeouts: pings, lost connections, redials, and outcome queries past their deadline.
    void tick(Instant now);

    void close();

private:
    struct PendingAttempt {
        Guard::Done done;
        Instant sentAt;
        bool isIdempotent = false;
        Instant deadline;
        bool isOutcomeQueried = false; ///< the connection was lost; the outcome is queried on the next one
    };
    /// A reply whose response has not arrived completely.
    struct IncompleteReply {
        AttemptReply reply;
        BodyReceiver body;
        std::size_t bodyBytes = 0; ///< of the complete body
    };
    struct Peer {
        NodeRecord record;
        std::shared_ptr<PeerConnection> connection;
        AttemptEncoder encoder; ///< state of this connection
        bool isConnecting = false;
        bool isHandshakeDone = false;
        std::uint64_t configVersion = 0; ///< highest version announced by the peer
        bool isFollowingStore = false;
        std::uint64_t incarnation = 0;
        ServerStatus status;
        unsigned failures = 0; ///< consecutive dials that led to no handshake
        Instant nextDial;
        Instant pingedAt;
        std::map<std::uint64_t, PendingAttempt> pending; ///< by serial
        std::map<std::uint64_t, IncompleteReply> incompleteReplies; ///< by serial
    };
    using PeerPointer = std::shared_ptr<Peer>;

    /// An attempt whose body has not arrived completely. The guard does not know of it yet.
    struct IncompleteAttempt {
        AttemptRequest request;
        BodyReceiver body;
        std::size_t bodyBytes = 0; ///< of the complete body
        Instant deadline;
    };

    /// A connection that another node has opened, and the attempts received on it.
    struct InboundPeer {
        std::shared_ptr<PeerConnection> connection;
        std::string name; ///< empty until the Hello has arrived
        std::uint64_t incarnation = 0;
        AttemptDecoder decoder;
        std::set<std::uint64_t> openAttempts;
        std::map<std::uint64_t, IncompleteAttempt> incompleteAttempts; ///< by serial
        Instant lastAttemptAt; ///< when the last attempt was received
    };
    using InboundPeerPointer = std::shared_ptr<InboundPeer>;

    void accept();
    void startInbound(Socket);
    void closeSilentInbound();
    void onInboundMessage(const InboundPeerPointer&, PeerMessage&&);
    void onInboundLost(const InboundPeerPointer&);
    Guard::Done replyCallback(const InboundPeerPointer&, std::uint64_t serial);
    void onAttemptRequest(const InboundPeerPointer&, CompactAttemptRequest&&);
    void onLongAttemptRequest(const InboundPeerPointer&, LongAttemptRequest&&);
    void onBodyPart(const InboundPeerPointer&, const BodyPart&);
    void submit(const InboundPeerPointer&, AttemptRequest&&);
    void refuseForMemory(InboundPeer&, std::uint64_t serial) const;
    void onOutcomeQuery(const InboundPeerPointer&, const OutcomeQuery&);
    void dial(const PeerPointer&);
    void onDialed(const PeerPointer&, const std::shared_ptr<Socket>&, bool isFailed);
    void onPeerMessage(const PeerPointer&, PeerMessage&&);
    void onHello(const PeerPointer&, const Hello&);
    void onAttemptReply(const PeerPointer&, AttemptReply&&);
    void onLongAttemptReply(const PeerPointer&, LongAttemptReply&&);
    void onReplyPart(const PeerPointer&, const BodyPart&);
    void completeAttempt(Peer&, std::uint64_t serial, const Outcome&, const Wire::LoadStamp&);
    void dropReply(Peer&, std::uint64_t serial);
    void onLost(const PeerPointer&, const std::string& cause);
    void queryOutcomes(const Peer&) const;
    void checkLiveness(Instant now, const PeerPointer&);
    Duration redialDelay(const Peer&) const;
    std::size_t connectedCount() const;
    void expireOutcomeQueries(Instant now, const PeerPointer&);
    Hello makeHello() const;
    void onInboundHello(const InboundPeerPointer&, const Hello&);
    void onInboundVersion(const InboundPeer&, const VersionUpdate&);
    void shareState(const std::shared_ptr<PeerConnection>&, std::uint64_t otherVersion);
    void shareConfig(const std::shared_ptr<PeerConnection>&, std::uint64_t otherVersion);
    void applyConfig(const Peer&, const ConfigDocument&);
    void recordVersion(Peer&, std::uint64_t version);
    void queryNewerVersion(Instant now);
    void applyEvacuations(PeerConnection&, const EvacuationUpdate&);
    void shareEvacuations(PeerConnection&) const;
    void publish(const PeerMessage&);
    void publishToSome(const PeerMessage&);
    PeerPointer randomReachable();

    Loop& loop_;
    const NodeSettings& settings_;
    std::uint64_t incarnation_;
    Guard& guard_;
    EventLog& log_;
    Host host_;
    NodeRecord self_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_;
    std::map<std::string, PeerPointer> peers_;
    std::set<InboundPeerPointer> inboundPeers_;
    std::deque<std::weak_ptr<InboundPeer>> silentInbound_; ///< connections that had no Hello when they were opened, oldest first
    std::vector<std::weak_ptr<InboundPeer>> sameDomainPeers_; ///< those in this node's failure domain
    Support::Random random_;
    ConfigDocument sharedConfig_; ///< cached compressed form, as last sent to a peer
    std::uint64_t newestVersion_ = 0; ///< highest configuration version announced by any peer
    Instant lastConfigQuery_;
    std::size_t nextStateQueryPeer_ = 0;
    std::uint64_t knownRevision_ = 0;
    bool hasReceivedList_ = false;
    bool isClosed_ = false;
};

} // namespace balsamreel::Relay
