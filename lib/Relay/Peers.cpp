#include "balsamreel/Relay/Peers.h"

#include "balsamreel/Support/Compression.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <set>

namespace balsamreel::Relay {

namespace {

namespace tcp = boost::asio::ip;

constexpr Duration firstRedialDelay = std::chrono::milliseconds(150);
constexpr Duration maximumRedialDelay = std::chrono::milliseconds(1200);
// A node that most others can be reached from is not cut off: a peer that it can't reach is gone, or dials it when it is back.
constexpr Duration maximumRedialDelayIfConnected = std::chrono::milliseconds(4800);
constexpr unsigned maximumDoublings = 5;
// The store holds no larger values.
constexpr std::size_t maximumConfigBytes = 16 * 1024 * 1024;
constexpr Duration configQueryInterval = std::chrono::milliseconds(300);
constexpr Duration dialTimeout = std::chrono::seconds(1);
// With offers open and nothing heard, the other side is asked for a sign of life, and then given up.
constexpr Duration pingSilence = std::chrono::milliseconds(250);
constexpr Duration lossSilence = std::chrono::milliseconds(700);
// A node that sent no offer for this long is not told the server's pace: it would hear of it a hundred times for each call.
constexpr Duration slowdownUpdateWindow = std::chrono::seconds(1);
constexpr std::size_t maximumVersionReceivers = 16;
// After an accept that failed, mostly for want of descriptors.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

boost::asio::ip::tcp::endpoint endpointOf(const Support::Endpoint& endpoint)
{
    return {tcp::make_address(endpoint.host), endpoint.port};
}

} // namespace

Peers::Peers(Loop& loop, const NodeSettings& settings, std::uint64_t incarnation, Guard& guard, EventLog& log, Host host)
    : loop_(loop)
    , settings_(settings)
    , incarnation_(incarnation)
    , guard_(guard)
    , log_(log)
    , host_(std::move(host))
    , self_{settings.name, settings.peerAddress, settings.domain}
    , acceptor_(loop)
    , acceptTimer_(loop)
    , random_(incarnation)
{
}

void Peers::listen()
{
    auto endpoint = endpointOf(settings_.peerBindAddress);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    accept();
}

void Peers::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code& error, Socket socket) {
        if (isClosed_)
            return;
        if (!error) {
            startInbound(std::move(socket));
            return accept();
        }
        log_.line(LogClass::Notable, "accept-failed", "address={} error=\"{}\"", settings_.peerBindAddress.text(), error.message());
        acceptTimer_.expires_after(acceptRetryDelay);
        acceptTimer_.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled)
                accept();
        });
    });
}

void Peers::startInbound(Socket socket)
{
    tuneSocket(socket);
    auto inbound = std::make_shared<InboundPeer>();
    inbound->connection = std::make_shared<PeerConnection>(std::move(socket));
    inboundPeers_.insert(inbound);
    // The guest owns the link, so the link does not own the guest.
    std::weak_ptr<InboundPeer> weak = inbound;
    PeerConnection::Handlers handlers;
    handlers.onMessage = [this, weak](PeerMessage&& message) {
        if (auto strong = weak.lock())
            onInboundMessage(strong, std::move(message));
    };
    handlers.onClosed = [this, weak](const std::string&) {
        if (auto strong = weak.lock())
            onInboundLost(strong);
    };
    inbound->connection->start(std::move(handlers));
}

// The sender lets idempotent offers of a lost link go, and asks for the outcome of the others. So idempotent work is
// stopped, and what waits is revoked: it would take a slot for a caller that is gone or is served elsewhere.
void Peers::onInboundLost(const InboundPeerPointer& inbound)
{
    if (isClosed_)
        return;
    inboundPeers_.erase(inbound);
    auto open = std::move(inbound->openAttempts);
    inbound->openAttempts.clear();
    if (!open.empty())
        log_.line(LogClass::Notable, "guest-lost", "boot={} offers={}", inbound->incarnation, open.size());
    for (auto serial : open)
        guard_.cancel({inbound->incarnation, serial});
}

void Peers::onInboundMessage(const InboundPeerPointer& inbound, PeerMessage&& message)
{
    const auto& connection = inbound->connection;
    if (const auto* hello = std::get_if<Hello>(&message)) {
        onInboundHello(inbound, *hello);
    } else if (auto* definition = std::get_if<ContextDefinition>(&message)) {
        if (!inbound->decoder.define(std::move(*definition)))
            connection->fail("context slot that does not exist");
    } else if (auto* offer = std::get_if<CompactAttemptRequest>(&message))
        onAttemptRequest(inbound, std::move(*offer));
    else if (const auto* cancel = std::get_if<Cancel>(&message)) {
        inbound->openAttempts.erase(cancel->serial);
        guard_.cancel({inbound->incarnation, cancel->serial});
    } else if (const auto* inquiry = std::get_if<OutcomeQuery>(&message))
        onOutcomeQuery(inbound, *inquiry);
    else if (const auto* query = std::get_if<StateQuery>(&message))
        shareState(connection, query->configVersion);
    else if (const auto* configQuery = std::get_if<ConfigQuery>(&message))
        shareConfig(connection, configQuery->configVersion);
    else if (const auto* update = std::get_if<VersionUpdate>(&message))
        onInboundVersion(*inbound, update->configVersion);
    else if (std::holds_alternative<Ping>(message))
        connection->send(Pong());
}

// The node that dials is alive, so it is dialled at once, however often that failed before.
void Peers::onInboundHello(const InboundPeerPointer& inbound, const Hello& hello)
{
    if (hello.protocol != peerProtocolVersion) {
        log_.line(LogClass::Notable, "peer-version", "peer={} version={}", hello.sender.name, hello.protocol);
        return inbound->connection->close();
    }
    inbound->incarnation = hello.incarnation;
    inbound->name = hello.sender.name;
    if (hello.sender.domain == self_.domain)
        sameDomainPeers_.push_back(inbound);
    inbound->connection->send(makeHello());
    if (auto known = peers_.find(hello.sender.name); known != peers_.end())
        known->second->failures = 0;
    addNodes({hello.sender});
}

// Tells the one of the two that is behind.
void Peers::onInboundVersion(const InboundPeer& inbound, std::uint64_t version)
{
    if (version < host_.configVersion())
        return inbound.connection->send(VersionUpdate{host_.configVersion()});
    auto known = peers_.find(inbound.name);
    if (known != peers_.end())
        recordVersion(*known->second, version);
}

Guard::Done Peers::replyCallback(const InboundPeerPointer& inbound, std::uint64_t serial)
{
    inbound->openAttempts.insert(serial);
    return [inbound, serial](const Outcome& outcome, const Wire::LoadStamp& stamp) {
        inbound->openAttempts.erase(serial);
        inbound->connection->send(AttemptReply{serial, outcome, stamp});
    };
}

void Peers::onAttemptRequest(const InboundPeerPointer& inbound, CompactAttemptRequest&& message)
{
    auto offer = inbound->decoder.decode(std::move(message));
    if (!offer)
        return inbound->connection->fail("offer without its context");
    inbound->lastAttemptAt = Support::monotonicNow();
    guard_.submit({inbound->incarnation, offer->serial}, *offer, replyCallback(inbound, offer->serial));
}

// The end of the link that brought the offer may be seen only after the inquiry on the new one.
void Peers::onOutcomeQuery(const InboundPeerPointer& inbound, const OutcomeQuery& inquiry)
{
    for (const auto& other : inboundPeers_) {
        if (other->incarnation == inquiry.senderIncarnation)
            other->openAttempts.erase(inquiry.serial);
    }
    guard_.queryOutcome({inquiry.senderIncarnation, inquiry.serial}, replyCallback(inbound, inquiry.serial));
}

Hello Peers::makeHello() const
{
    Hello hello;
    hello.sender = self_;
    hello.incarnation = incarnation_;
    hello.configVersion = host_.configVersion();
    hello.isFollowingStore = host_.isFollowingStore();
    hello.status = guard_.status();
    return hello;
}

void Peers::shareState(const std::shared_ptr<PeerConnection>& connection, std::uint64_t otherVersion)
{
    PeerList list;
    for (const auto& [name, peer] : peers_) {
        if (peer->connection)
            list.peers.push_back(peer->record);
    }
    connection->send(list);
    shareConfig(connection, otherVersion);
}

void Peers::shareConfig(const std::shared_ptr<PeerConnection>& connection, std::uint64_t otherVersion)
{
    auto version = host_.configVersion();
    if (version <= otherVersion)
        return;
    if (sharedConfig_.configVersion != version)
        sharedConfig_ = {version, Support::compress(host_.configText())};
    connection->send(sharedConfig_);
}

// Several peers may give the same version.
void Peers::applyConfig(const Peer& peer, const ConfigDocument& document)
{
    if (document.configVersion <= host_.configVersion())
        return;
    auto text = Support::decompress(document.compressedText, maximumConfigBytes);
    if (!text) {
        log_.line(LogClass::Notable, "config-unreadable", "source={} version={} bytes={}", peer.record.name, document.configVersion, document.compressedText.size());
        return;
    }
    host_.onConfigText(*text);
}

void Peers::addNodes(const std::vector<NodeRecord>& records)
{
    for (const auto& record : records) {
        if (record.name == self_.name || isClosed_)
            continue;
        auto& peer = peers_[record.name];
        if (!peer)
            peer = std::make_shared<Peer>();
        bool hasMoved = peer->record.peerAddress != record.peerAddress;
        peer->record = record;
        if (hasMoved && peer->connection) {
            peer->connection->close();
            onLost(peer, "address changed");
        }
        if (!peer->connection && !peer->isConnecting && (hasMoved || peer->failures == 0))
            dial(peer);
    }
}

// A node that has greeted but is not in the listing yet has a link, and stays.
void Peers::removeUnlisted(const std::vector<NodeRecord>& records)
{
    std::set<std::string> named;
    for (const auto& record : records)
        named.insert(record.name);
    std::erase_if(peers_, [&](const auto& known) {
        const auto& [name, peer] = known;
        return !named.contains(name) && !peer->connection && !peer->isConnecting && peer->pending.empty() && peer->failures > 0;
    });
}

void Peers::dial(const PeerPointer& peer)
{
    boost::system::error_code error;
    auto address = tcp::make_address(peer->record.peerAddress.host, error);
    if (error) {
        log_.line(LogClass::Notable, "peer-address", "peer={} address={} error={}", peer->record.name, peer->record.peerAddress.text(), error.message());
        return;
    }
    peer->isConnecting = true;
    auto socket = std::make_shared<Socket>(loop_);
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, dialTimeout);
    timer->async_wait([socket](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored; // the dial ends with an error either way
            socket->close(ignored);
        }
    });
    socket->async_connect({address, peer->record.peerAddress.port}, [this, peer, socket, timer](const boost::system::error_code& failure) {
        timer->cancel();
        if (!isClosed_)
            onDialed(peer, socket, static_cast<bool>(failure) || !socket->is_open());
    });
}

void Peers::onDialed(const PeerPointer& peer, const std::shared_ptr<Socket>& socket, bool isFailed)
{
    peer->isConnecting = false;
    if (isFailed) {
        ++peer->failures;
        peer->nextDial = Support::monotonicNow() + redialDelay(*peer);
        return;
    }
    tuneSocket(*socket);
    peer->connection = std::make_shared<PeerConnection>(std::move(*socket));
    peer->encoder = {};
    peer->isHandshakeDone = false;
    PeerConnection::Handlers handlers;
    // The peer owns the link, so the link does not own the peer.
    std::weak_ptr<Peer> weak = peer;
    handlers.onMessage = [this, weak](PeerMessage&& message) {
        if (auto strong = weak.lock())
            onPeerMessage(strong, std::move(message));
    };
    handlers.onClosed = [this, weak](const std::string& cause) {
        if (auto strong = weak.lock())
            onLost(strong, cause);
    };
    peer->connection->start(std::move(handlers));
    peer->connection->send(makeHello());
    for (const auto& [serial, offer] : peer->pending)
        peer->connection->send(OutcomeQuery{incarnation_, serial, offer.instance});
}

void Peers::onPeerMessage(const PeerPointer& peer, PeerMessage&& message)
{
    if (const auto* hello = std::get_if<Hello>(&message))
        return onHello(peer, *hello);
    if (const auto* result = std::get_if<AttemptReply>(&message))
        return onAttemptReply(peer, *result);
    if (const auto* update = std::get_if<StatusUpdate>(&message)) {
        peer->status = update->status;
        log_.line(LogClass::Notable, "peer-status", "peer={} service={} instance={}", peer->record.name, update->status.service, update->status.instance);
        return host_.onServersChanged();
    }
    if (const auto* pace = std::get_if<SlowdownUpdate>(&message))
        return host_.onSlowdownChange(peer->record.name, peer->status.address, pace->isSlowed);
    if (const auto* update = std::get_if<VersionUpdate>(&message))
        return recordVersion(*peer, update->configVersion);
    if (const auto* update = std::get_if<FollowingUpdate>(&message)) {
        peer->isFollowingStore = update->isFollowingStore;
        return;
    }
    if (const auto* list = std::get_if<PeerList>(&message))
        return addNodes(list->peers);
    if (const auto* document = std::get_if<ConfigDocument>(&message))
        applyConfig(*peer, *document);
}

void Peers::onHello(const PeerPointer& peer, const Hello& hello)
{
    if (hello.sender.name != peer->record.name) {
        // An address of a VM that is gone serves another one now; under two names its server would count twice.
        peer->connection->close();
        ++peer->failures;
        onLost(peer, "address belongs to " + hello.sender.name);
        return addNodes({hello.sender});
    }
    if (peer->incarnation != 0 && peer->incarnation != hello.incarnation) {
        // The process that held the offers is gone, and nothing tells what it ran.
        auto pending = std::move(peer->pending);
        peer->pending.clear();
        for (auto& [serial, offer] : pending)
            offer.done(Unknown{Reason::PeerLost}, {});
    }
    peer->incarnation = hello.incarnation;
    peer->status = hello.status;
    peer->isHandshakeDone = true;
    peer->failures = 0;
    log_.line(LogClass::Notable, "peer-up", "peer={} boot={} service={} instance={}", peer->record.name, hello.incarnation, hello.status.service, hello.status.instance);
    peer->isFollowingStore = hello.isFollowingStore;
    recordVersion(*peer, hello.configVersion);
    host_.onServersChanged();
}

void Peers::onAttemptReply(const PeerPointer& peer, const AttemptReply& result)
{
    auto node = peer->pending.extract(result.serial);
    if (!node.empty())
        node.mapped().done(result.outcome, result.stamp);
}

// Idempotent offers end here, so that they can go elsewhere; the outcome of others is asked for on the next link.
void Peers::onLost(const PeerPointer& peer, const std::string& cause)
{
    if (isClosed_)
        return;
    log_.line(LogClass::Notable, "peer-lost", "peer={} cause=\"{}\" offers={}", peer->record.name, cause, peer->pending.size());
    peer->connection.reset();
    peer->isHandshakeDone = false;
    peer->isFollowingStore = false;
    peer->nextDial = Support::monotonicNow() + redialDelay(*peer);
    std::vector<Guard::Done> ended;
    for (auto record = peer->pending.begin(); record != peer->pending.end();) {
        if (!record->second.isIdempotent) {
            record->second.isOutcomeQueried = true;
            ++record;
            continue;
        }
        ended.push_back(std::move(record->second.done));
        record = peer->pending.erase(record);
    }
    host_.onServersChanged();
    for (auto& done : ended)
        done(Unknown{Reason::PeerLost}, {});
    if (peer->failures == 0)
        dial(peer);
}

// None after a link that was up; longer with each failure in a row.
Duration Peers::redialDelay(const Peer& peer) const
{
    if (peer.failures == 0)
        return Duration::zero();
    bool reachesMost = 2 * connectedCount() > peers_.size();
    return std::min(reachesMost ? maximumRedialDelayIfConnected : maximumRedialDelay, firstRedialDelay * (1U << std::min(peer.failures - 1, maximumDoublings)));
}

std::size_t Peers::connectedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(peers_, [](const auto& known) { return known.second->connection != nullptr; }));
}

std::vector<WatchCandidate> Peers::watchCandidates() const
{
    std::vector<WatchCandidate> candidates;
    for (const auto& [name, peer] : peers_) {
        if (peer->failures == 0)
            candidates.push_back({name, peer->record.domain, peer->isFollowingStore});
    }
    return candidates;
}

std::vector<PeerServer> Peers::servers() const
{
    std::vector<PeerServer> servers;
    for (const auto& [name, peer] : peers_) {
        if (peer->isHandshakeDone && peer->connection && !peer->status.instance.empty())
            servers.push_back({peer->record, peer->incarnation, peer->status});
    }
    return servers;
}

void Peers::sendAttempt(const std::string& node, const AttemptRequest& offer, Guard::Done done)
{
    auto found = peers_.find(node);
    if (found == peers_.end() || !found->second->connection)
        return done(NotRun{Reason::PeerLost, {}, false}, {});
    auto now = Support::monotonicNow();
    auto& peer = *found->second;
    peer.pending[offer.serial] = {std::move(done), now, offer.instance, offer.isIdempotent, now + Duration(offer.timeoutMicros), false};
    auto encoded = peer.encoder.encode(offer);
    if (encoded.definition)
        peer.connection->send(std::move(*encoded.definition));
    peer.connection->send(std::move(encoded.request));
}

void Peers::cancel(const std::string& node, std::uint64_t serial)
{
    auto found = peers_.find(node);
    if (found == peers_.end())
        return;
    auto& peer = *found->second;
    if (peer.pending.erase(serial) > 0 && peer.connection)
        peer.connection->send(Cancel{serial});
}

void Peers::publishSlowdown()
{
    std::erase_if(sameDomainPeers_, [](const auto& weak) { return weak.expired(); });
    auto frame = encodeFrame(SlowdownUpdate{guard_.isSlowed()});
    auto usedSince = Support::monotonicNow() - slowdownUpdateWindow;
    for (const auto& weak : sameDomainPeers_) {
        auto inbound = weak.lock();
        if (inbound && inbound->lastAttemptAt >= usedSince)
            inbound->connection->sendFrame(frame);
    }
}

// A change spreads from the nodes that watch the store, each telling some others, wherever it starts.
void Peers::publishVersion()
{
    auto frame = encodeFrame(VersionUpdate{host_.configVersion()});
    std::vector<std::shared_ptr<PeerConnection>> connections;
    for (const auto& inbound : inboundPeers_)
        connections.push_back(inbound->connection);
    for (std::size_t told = 0; told < connections.size() && told < maximumVersionReceivers; ++told) {
        std::swap(connections[told], connections[told + random_.below(connections.size() - told)]);
        connections[told]->sendFrame(frame);
    }
}

void Peers::recordVersion(Peer& peer, std::uint64_t version)
{
    peer.configVersion = std::max(peer.configVersion, version);
    newestVersion_ = std::max(newestVersion_, version);
    queryNewerVersion(Support::monotonicNow());
}

// One node at a time is asked for a newer configuration; the next one where no answer comes.
void Peers::queryNewerVersion(Instant now)
{
    auto own = host_.configVersion();
    if (newestVersion_ <= own || now - lastConfigQuery_ < configQueryInterval)
        return;
    std::vector<PeerPointer> ahead;
    for (const auto& [name, peer] : peers_) {
        if (peer->configVersion > own && peer->isHandshakeDone && peer->connection)
            ahead.push_back(peer);
    }
    if (ahead.empty())
        return;
    lastConfigQuery_ = now;
    ahead[random_.below(ahead.size())]->connection->send(ConfigQuery{own});
}

void Peers::compareVersion()
{
    if (auto peer = anyReachable())
        peer->connection->send(VersionUpdate{host_.configVersion()});
}

Peers::PeerPointer Peers::anyReachable()
{
    std::vector<PeerPointer> reachable;
    for (const auto& [name, peer] : peers_) {
        if (peer->isHandshakeDone && peer->connection)
            reachable.push_back(peer);
    }
    return reachable.empty() ? nullptr : reachable[random_.below(reachable.size())];
}

void Peers::publish(const PeerMessage& message)
{
    auto frame = encodeFrame(message);
    for (const auto& inbound : inboundPeers_)
        inbound->connection->sendFrame(frame);
}

void Peers::publishFollowing()
{
    publish(FollowingUpdate{host_.isFollowingStore()});
}

void Peers::publishStatus()
{
    publish(StatusUpdate{guard_.status()});
}

// Peers of the own failure domain first, then each in turn.
void Peers::queryState()
{
    std::vector<PeerPointer> reachable;
    for (const auto& [name, peer] : peers_) {
        if (peer->isHandshakeDone && peer->connection)
            reachable.push_back(peer);
    }
    if (reachable.empty())
        return;
    std::stable_partition(reachable.begin(), reachable.end(), [this](const PeerPointer& peer) { return peer->record.domain == self_.domain; });
    reachable[nextStateQueryPeer_++ % reachable.size()]->connection->send(StateQuery{host_.configVersion()});
}

// A peer that holds offers and says nothing may be gone without a reset.
void Peers::checkLiveness(Instant now, const PeerPointer& peer)
{
    if (!peer->connection || peer->pending.empty())
        return;
    Instant oldest = now;
    for (const auto& [serial, offer] : peer->pending)
        oldest = std::min(oldest, offer.sentAt);
    auto quietSince = std::max(oldest, peer->connection->lastReceivedAt());
    if (now - quietSince > lossSilence && peer->pingedAt > quietSince) {
        peer->connection->close();
        return onLost(peer, "silent");
    }
    if (now - quietSince > pingSilence && peer->pingedAt <= quietSince) {
        peer->pingedAt = now;
        peer->connection->send(Ping());
    }
}

void Peers::expireOutcomeQueries(Instant now, const PeerPointer& peer)
{
    std::vector<Guard::Done> ended;
    for (auto record = peer->pending.begin(); record != peer->pending.end();) {
        if (!record->second.isOutcomeQueried || now < record->second.deadline) {
            ++record;
            continue;
        }
        ended.push_back(std::move(record->second.done));
        record = peer->pending.erase(record);
    }
    for (auto& done : ended)
        done(Unknown{Reason::PeerLost}, {});
}

void Peers::tick(Instant now)
{
    queryNewerVersion(now);
    std::vector<PeerPointer> due;
    for (const auto& [name, peer] : peers_) {
        bool isDialDue = !peer->connection && !peer->isConnecting && now >= peer->nextDial;
        if (isDialDue || !peer->pending.empty())
            due.push_back(peer);
    }
    for (const auto& peer : due) {
        checkLiveness(now, peer);
        expireOutcomeQueries(now, peer);
        if (!peer->connection && !peer->isConnecting && now >= peer->nextDial)
            dial(peer);
    }
}

void Peers::close()
{
    isClosed_ = true;
    boost::system::error_code ignored; // the process ends
    acceptor_.close(ignored);
    for (const auto& inbound : inboundPeers_)
        inbound->connection->close();
    for (const auto& [name, peer] : peers_) {
        if (peer->connection)
            peer->connection->close();
    }
}

} // namespace balsamreel::Relay
