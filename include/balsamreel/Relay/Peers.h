// The other nodes: links to all of them, their servers, and the offers that they hold.
#pragma once

#include "balsamreel/Relay/AttemptCodec.h"
#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/Guard.h"
#include "balsamreel/Relay/PeerLink.h"
#include "balsamreel/Relay/PeerMessages.h"
#include "balsamreel/Relay/WatchDuty.h"
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
    NodeEntry node;
    std::uint64_t boot = 0;
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
        std::function<void(const std::string& node, const Support::Endpoint& server, bool isSlowed)> onPace; ///< in the own failure domain
    };

    Peers(Loop&, const NodeSettings&, std::uint64_t boot, Guard&, EventLog&, Host);

    void listen();

    /// Nodes that the store or another node names.
    void learn(const std::vector<NodeEntry>&);

    /// The store names these and no others. Those that it does not name are let go if they can't be reached.
    void forgetAllBut(const std::vector<NodeEntry>&);

    std::vector<PeerServer> servers() const;
    std::size_t knownCount() const { return peers_.size(); }

    /// Sends an offer; the callback comes once unless it is cancelled. An offer whose link is lost ends as unknown.
    void offer(const std::string& node, const Offer&, Guard::Done);
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
    void publishPace();

    /// Asks one node for a newer configuration and for the nodes that it knows.
    void queryState();

    /// Does what is due: pings, lost links, inquiries.
    void tick(Instant now);

    void close();

private:
    struct PendingOffer {
        Guard::Done done;
        Instant sentAt;
        std::string instance;
        bool isIdempotent = false;
        Instant deadline;
        bool isInquiry = false; ///< the link was lost; the outcome is asked for on the next one
    };
    struct Peer {
        NodeEntry entry;
        std::shared_ptr<PeerLink> link;
        AttemptEncoder encoder; ///< of the link
        bool isConnecting = false;
        bool isGreeted = false;
        std::uint64_t configVersion = 0; ///< that it has named
        bool isFollowingStore = false;
        std::uint64_t boot = 0;
        ServerStatus status;
        unsigned failures = 0; ///< dials in a row
        Instant nextDial;
        Instant pingedAt;
        std::unordered_map<std::uint64_t, PendingOffer> pending;
    };
    using PeerPointer = std::shared_ptr<Peer>;

    /// A link that another node has opened, and the offers that it brought.
    struct Guest {
        std::shared_ptr<PeerLink> link;
        std::string name;
        std::uint64_t boot = 0;
        AttemptDecoder decoder;
        std::set<std::uint64_t> openOffers;
        Instant offeredAt; ///< when the last offer came
    };
    using GuestPointer = std::shared_ptr<Guest>;

    void accept();
    void serve(Socket);
    void onGuestMessage(const GuestPointer&, PeerMessage&&);
    void onGuestLost(const GuestPointer&);
    Guard::Done resultTo(const GuestPointer&, std::uint64_t serial);
    void serveOffer(const GuestPointer&, ShortOffer&&);
    void serveInquiry(const GuestPointer&, const Inquiry&);
    void dial(const PeerPointer&);
    void onDialed(const PeerPointer&, const std::shared_ptr<Socket>&, bool isFailed);
    void onPeerMessage(const PeerPointer&, PeerMessage&&);
    void onHello(const PeerPointer&, const Hello&);
    void onResult(const PeerPointer&, const OfferResult&);
    void onLost(const PeerPointer&, const std::string& cause);
    void watch(Instant now, const PeerPointer&);
    Duration redialDelay(const Peer&) const;
    std::size_t linkedCount() const;
    void endExpired(Instant now, const PeerPointer&);
    Hello hello() const;
    void greet(const GuestPointer&, const Hello&);
    void onGuestVersion(const Guest&, std::uint64_t version);
    void shareState(const std::shared_ptr<PeerLink>&, std::uint64_t otherVersion);
    void shareConfig(const std::shared_ptr<PeerLink>&, std::uint64_t otherVersion);
    void takeConfig(const Peer&, const ConfigDocument&);
    void noteVersion(Peer&, std::uint64_t version);
    void queryNewerVersion(Instant now);
    void publish(const PeerMessage&);
    PeerPointer anyReachable();

    Loop& loop_;
    const NodeSettings& settings_;
    std::uint64_t boot_;
    Guard& guard_;
    EventLog& log_;
    Host host_;
    NodeEntry self_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_;
    std::map<std::string, PeerPointer> peers_;
    std::set<GuestPointer> guests_;
    std::vector<std::weak_ptr<Guest>> neighbours_; ///< of the own failure domain
    Support::Random random_;
    ConfigDocument sharedConfig_; ///< the configuration as it was last given to a peer
    std::uint64_t newestVersion_ = 0; ///< of the configuration, that a peer has named
    Instant lastConfigQuery_;
    std::size_t queryTurn_ = 0;
    bool isClosed_ = false;
};

} // namespace balsamreel::Relay
