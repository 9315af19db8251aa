// The other nodes: links to all of them, their servers, and the offers that they hold.
#pragma once

#include "balsamreel/Relay/AttemptCodec.h"
#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/Guard.h"
#include "balsamreel/Relay/PeerConnection.h"
#include "balsamreel/Relay/PeerMessages.h"
#include "balsamreel/Relay/WatcherSelection.h"
#include "balsamreel/Support/Random.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamreel::Relay {

/// A server beside another node.
struct PeerServer {
    NodeRecord node;
    std::uint64_t incarnation = 0;
    ServerStatus status;
};

/// Keeps one outgoing link to each known node; offers go out on these, and servers' statuses come in.
/// Links that other nodes open bring their offers for the local guard.
class Peers {
public:
    /// What the peers need to know of this node.
    struct Host {
        std::function<std::uint64_t()> configVersion;
        std::function<std::string()> configText;
        std::function<void(const std::string&)> onConfigText; ///< from a peer that has a newer one
        std::function<bool()> isFollowingStore;
        std::function<void()> onServersChanged;
        std::function<void(const std::string& node, const Support::Endpoint& server, bool isSlowed)> onSlowdownChange; ///< in the own failure domain
    };

    Peers(Loop&, const NodeSettings&, std::uint64_t incarnation, Guard&, EventLog&, Host);

    void listen();

    /// Nodes that the store or another node names.
    void addNodes(const std::vector<NodeRecord>&);

    /// The store names these and no others. Those that it does not name are let go if they can't be reached.
    void removeUnlisted(const std::vector<NodeRecord>&);

    std::vector<PeerServer> servers() const;
    std::size_t knownCount() const { return peers_.size(); }

    /// Sends an offer; the callback comes once unless it is cancelled. An offer whose link is lost ends as unknown.
    void sendAttempt(const std::string& node, const AttemptRequest&, Guard::Done);
    void cancel(const std::string& node, std::uint64_t serial);

    /// Other nodes that are in reach, or may be.
    std::vector<WatchCandidate> watchCandidates() const;

    /// Tells some nodes the version of the configuration; what each learns it tells on.
    void publishVersion();

    /// Compares the version with one node, so that one that was not told learns it too.
    void compareVersion();

    /// Tells all nodes whether this one follows the store.
    void publishFollowing();

    /// Tells all nodes the status of the local server.
    void publishStatus();

    /// Tells the nodes of this failure domain that use the local server whether it is slowed down.
    void publishSlowdown();

    /// Asks one node for a newer configuration and for the nodes that it knows.
    void queryState();

    /// Does what is due: pings, lost links, inquiries.
    void tick(Instant now);

    void close();

private:
    struct PendingAttempt {
        Guard::Done done;
        Instant sentAt;
        std::string instance;
        bool isIdempotent = false;
        Instant deadline;
        bool isOutcomeQueried = false; ///< the link was lost; the outcome is asked for on the next one
    };
    struct Peer {
        NodeRecord record;
        std::shared_ptr<PeerConnection> connection;
        AttemptEncoder encoder; ///< of the link
        bool isConnecting = false;
        bool isHandshakeDone = false;
        std::uint64_t configVersion = 0; ///< that it has named
        bool isFollowingStore = false;
        std::uint64_t incarnation = 0;
        ServerStatus status;
        unsigned failures = 0; ///< dials in a row
        Instant nextDial;
        Instant pingedAt;
        std::unordered_map<std::uint64_t, PendingAttempt> pending;
    };
    using PeerPointer = std::shared_ptr<Peer>;

    /// A link that another node has opened, and the offers that it brought.
    struct InboundPeer {
        std::shared_ptr<PeerConnection> connection;
        std::string name;
        std::uint64_t incarnation = 0;
        AttemptDecoder decoder;
        std::set<std::uint64_t> openAttempts;
        Instant lastAttemptAt; ///< when the last offer came
    };
    using InboundPeerPointer = std::shared_ptr<InboundPeer>;

    void accept();
    void startInbound(Socket);
    void onInboundMessage(const InboundPeerPointer&, PeerMessage&&);
    void onInboundLost(const InboundPeerPointer&);
    Guard::Done replyCallback(const InboundPeerPointer&, std::uint64_t serial);
    void onAttemptRequest(const InboundPeerPointer&, CompactAttemptRequest&&);
    void onOutcomeQuery(const InboundPeerPointer&, const OutcomeQuery&);
    void dial(const PeerPointer&);
    void onDialed(const PeerPointer&, const std::shared_ptr<Socket>&, bool isFailed);
    void onPeerMessage(const PeerPointer&, PeerMessage&&);
    void onHello(const PeerPointer&, const Hello&);
    void onAttemptReply(const PeerPointer&, const AttemptReply&);
    void onLost(const PeerPointer&, const std::string& cause);
    void checkLiveness(Instant now, const PeerPointer&);
    Duration redialDelay(const Peer&) const;
    std::size_t connectedCount() const;
    void expireOutcomeQueries(Instant now, const PeerPointer&);
    Hello makeHello() const;
    void onInboundHello(const InboundPeerPointer&, const Hello&);
    void onInboundVersion(const InboundPeer&, std::uint64_t version);
    void shareState(const std::shared_ptr<PeerConnection>&, std::uint64_t otherVersion);
    void shareConfig(const std::shared_ptr<PeerConnection>&, std::uint64_t otherVersion);
    void applyConfig(const Peer&, const ConfigDocument&);
    void recordVersion(Peer&, std::uint64_t version);
    void queryNewerVersion(Instant now);
    void publish(const PeerMessage&);
    PeerPointer anyReachable();

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
    std::vector<std::weak_ptr<InboundPeer>> sameDomainPeers_; ///< of the own failure domain
    Support::Random random_;
    ConfigDocument sharedConfig_; ///< the configuration as it was last given to a peer
    std::uint64_t newestVersion_ = 0; ///< of the configuration, that a peer has named
    Instant lastConfigQuery_;
    std::size_t nextStateQueryPeer_ = 0;
    bool isClosed_ = false;
};

} // namespace balsamreel::Relay
