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
// A node that is connected to most others is not cut off: a peer that it can't reach is gone, or dials it when it is back.
constexpr Duration maximumRedialDelayWhenConnected = std::chrono::milliseconds(4800);
constexpr unsigned maximumDoublings = 5;
// The store holds no larger objects.
constexpr std::size_t maximumConfigBytes = 16 * 1024 * 1024;
constexpr Duration configQueryInterval = std::chrono::milliseconds(300);
constexpr Duration dialTimeout = std::chrono::seconds(1);
// With attempts pending and nothing received, a peer is first pinged, then treated as lost.
constexpr Duration silenceBeforePing = std::chrono::milliseconds(250);
constexpr Duration silenceBeforeLoss = std::chrono::milliseconds(700);
// A node that has sent no attempt for this long gets no slowdown updates: it would receive a hundred for each call.
constexpr Duration slowdownUpdateWindow = std::chrono::seconds(1);
constexpr std::size_t maximumVersionReceivers = 16;
// For a body that the node had no memory for.
constexpr Duration bodyRetryDelay = std::chrono::seconds(1);
// accept() mostly fails for lack of file descriptors, so it is retried after a delay.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

std::uint32_t microsUntil(Instant now, Instant deadline)
{
    return static_cast<std::uint32_t>(std::max<Duration::rep>(0, (deadline - now).count()));
}

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
    // The inbound peer owns the connection, so the connection's handlers must not own the inbound peer.
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

// When a connection is lost, the sender abandons its idempotent attempts and queries the outcome of the others. So running
// idempotent attempts are stopped and queued ones are revoked: they would take a slot for a caller that has left or is
// served elsewhere.
void Peers::onInboundLost(const InboundPeerPointer& inbound)
{
    if (isClosed_)
        return;
    inboundPeers_.erase(inbound);
    inbound->incompleteAttempts.clear();
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
            connection->fail("context slot is out of range");
    } else if (auto* request = std::get_if<CompactAttemptRequest>(&message))
        onAttemptRequest(inbound, std::move(*request));
    else if (auto* longRequest = std::get_if<LongAttemptRequest>(&message))
        onLongAttemptRequest(inbound, std::move(*longRequest));
    else if (const auto* part = std::get_if<BodyPart>(&message))
        onBodyPart(inbound, *part);
    else if (const auto* cancel = std::get_if<Cancel>(&message)) {
        inbound->incompleteAttempts.erase(cancel->serial);
        inbound->openAttempts.erase(cancel->serial);
        guard_.cancel({inbound->incarnation, cancel->serial});
    } else if (const auto* outcomeQuery = std::get_if<OutcomeQuery>(&message))
        onOutcomeQuery(inbound, *outcomeQuery);
    else if (const auto* stateQuery = std::get_if<StateQuery>(&message))
        shareState(connection, stateQuery->configVersion);
    else if (const auto* configQuery = std::get_if<ConfigQuery>(&message))
        shareConfig(connection, configQuery->configVersion);
    else if (const auto* update = std::get_if<VersionUpdate>(&message))
        onInboundVersion(*inbound, update->configVersion);
    else if (std::holds_alternative<Ping>(message))
        connection->send(Pong());
}

// A node that connects to this one is alive, so it is dialed at once, even if earlier dials failed.
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

// Sends this node's version if it is newer; otherwise records the peer's.
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
    auto request = inbound->decoder.decode(std::move(message));
    if (!request)
        return inbound->connection->fail("attempt request refers to an undefined context slot");
    inbound->lastAttemptAt = Support::monotonicNow();
    guard_.submit({inbound->incarnation, request->serial}, *request, replyCallback(inbound, request->serial));
}

// The guard learns of the attempt only with its whole body, so an attempt whose connection is lost before has not run.
void Peers::onLongAttemptRequest(const InboundPeerPointer& inbound, LongAttemptRequest&& message)
{
    auto request = inbound->decoder.decode(std::move(message.request));
    if (!request || message.bodyBytes <= maximumInlineBodyBytes || message.bodyBytes > maximumFrameBytes)
        return inbound->connection->fail("invalid request with a long body");
    auto now = Support::monotonicNow();
    auto serial = request->serial;
    inbound->lastAttemptAt = now;
    std::weak_ptr<InboundPeer> weak = inbound;
    auto onRefused = [this, weak, serial] {
        if (auto strong = weak.lock())
            refuseBody(*strong, serial);
    };
    auto deadline = now + Duration(request->timeoutMicros);
    inbound->incompleteAttempts[serial] = {std::move(*request), BodyReceiver(host_.bodies, std::move(onRefused)), message.bodyBytes, deadline};
}

// Parts of an attempt that was refused or cancelled may still arrive.
void Peers::onBodyPart(const InboundPeerPointer& inbound, const BodyPart& part)
{
    auto found = inbound->incompleteAttempts.find(part.serial);
    if (found == inbound->incompleteAttempts.end())
        return;
    auto now = Support::monotonicNow();
    auto& attempt = found->second;
    if (attempt.body.size() + part.bytes.size() > attempt.bodyBytes)
        return inbound->connection->fail("body is longer than announced");
    if (!attempt.body.append(part.bytes, now))
        return refuseBody(*inbound, part.serial);
    if (attempt.body.size() < attempt.bodyBytes)
        return;
    auto request = std::move(attempt.request);
    request.request.body = attempt.body.finish();
    auto remaining = microsUntil(now, attempt.deadline);
    auto delay = request.timeoutMicros - std::min(request.timeoutMicros, remaining);
    request.timeoutMicros = std::max(1U, remaining);
    request.latencyTargetMicros -= std::min(request.latencyTargetMicros, delay);
    inbound->incompleteAttempts.erase(found);
    guard_.submit({inbound->incarnation, part.serial}, request, replyCallback(inbound, part.serial));
}

void Peers::refuseBody(InboundPeer& inbound, std::uint64_t serial) const
{
    inbound.incompleteAttempts.erase(serial);
    inbound.connection->send(AttemptReply{serial, NotRun{Reason::MemoryExhausted, bodyRetryDelay, false}, guard_.loadStamp()});
}

// The loss of the old connection may be detected only after this query. The attempt is removed from the old connection, so
// that its loss does not cancel the attempt.
void Peers::onOutcomeQuery(const InboundPeerPointer& inbound, const OutcomeQuery& outcomeQuery)
{
    for (const auto& other : inboundPeers_) {
        if (other->incarnation != outcomeQuery.senderIncarnation)
            continue;
        other->openAttempts.erase(outcomeQuery.serial);
        other->incompleteAttempts.erase(outcomeQuery.serial);
    }
    auto deadline = Support::monotonicNow() + Duration(outcomeQuery.timeoutMicros);
    guard_.queryOutcome({outcomeQuery.senderIncarnation, outcomeQuery.serial}, deadline, replyCallback(inbound, outcomeQuery.serial));
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

// Several peers may send the same version; only the first copy is applied.
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

// Keeps connected nodes: one that has completed the handshake may not be in the listing yet.
void Peers::removeUnlisted(const std::vector<NodeRecord>& records)
{
    std::set<std::string> listedNames;
    for (const auto& record : records)
        listedNames.insert(record.name);
    std::erase_if(peers_, [&](const auto& known) {
        const auto& [name, peer] = known;
        return !listedNames.contains(name) && !peer->connection && !peer->isConnecting && peer->pending.empty() && peer->failures > 0;
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
            boost::system::error_code ignored; // the dial fails either way
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
    // The peer owns the connection, so the connection's handlers must not own the peer.
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
    queryOutcomes(*peer);
}

// The queries precede all new attempts on the connection, so a guard that has seen an attempt has also seen the queries for
// all earlier ones.
void Peers::queryOutcomes(const Peer& peer) const
{
    auto now = Support::monotonicNow();
    for (const auto& [serial, attempt] : peer.pending)
        peer.connection->send(OutcomeQuery{incarnation_, serial, microsUntil(now, attempt.deadline)});
}

void Peers::onPeerMessage(const PeerPointer& peer, PeerMessage&& message)
{
    if (const auto* hello = std::get_if<Hello>(&message))
        return onHello(peer, *hello);
    if (const auto* reply = std::get_if<AttemptReply>(&message))
        return onAttemptReply(peer, *reply);
    if (const auto* update = std::get_if<StatusUpdate>(&message)) {
        peer->status = update->status;
        log_.line(LogClass::Notable, "peer-status", "peer={} service={} instance={}", peer->record.name, update->status.service, update->status.instance);
        return host_.onServersChanged();
    }
    if (const auto* slowdown = std::get_if<SlowdownUpdate>(&message))
        return host_.onSlowdownChange(peer->record.name, peer->status.address, slowdown->isSlowed);
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
        // The address of a VM that is gone now belongs to another one, whose server would be counted twice under two names.
        peer->connection->close();
        onLost(peer, "address belongs to " + hello.sender.name);
        return addNodes({hello.sender});
    }
    if (peer->incarnation != 0 && peer->incarnation != hello.incarnation) {
        // The process that held the attempts is gone, so nothing can tell which of them ran.
        auto pending = std::move(peer->pending);
        peer->pending.clear();
        for (auto& [serial, attempt] : pending)
            attempt.done(Unknown{Reason::PeerLost}, {});
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

void Peers::onAttemptReply(const PeerPointer& peer, const AttemptReply& reply)
{
    if (peer->connection)
        peer->connection->cancelBody(reply.serial);
    auto attempt = peer->pending.extract(reply.serial);
    if (!attempt.empty())
        attempt.mapped().done(reply.outcome, reply.stamp);
}

// Idempotent attempts complete as Unknown, so that they can be retried elsewhere. The outcome of the others is queried on the
// next connection.
void Peers::onLost(const PeerPointer& peer, const std::string& cause)
{
    if (isClosed_)
        return;
    log_.line(LogClass::Notable, "peer-lost", "peer={} cause=\"{}\" offers={}", peer->record.name, cause, peer->pending.size());
    peer->connection.reset();
    // Something accepts connections at the address, but not the peer: it counts as a failed dial.
    if (!peer->isHandshakeDone)
        ++peer->failures;
    peer->isHandshakeDone = false;
    peer->isFollowingStore = false;
    peer->nextDial = Support::monotonicNow() + redialDelay(*peer);
    std::vector<Guard::Done> doneCallbacks;
    for (auto attempt = peer->pending.begin(); attempt != peer->pending.end();) {
        if (!attempt->second.isIdempotent) {
            attempt->second.isOutcomeQueried = true;
            ++attempt;
            continue;
        }
        doneCallbacks.push_back(std::move(attempt->second.done));
        attempt = peer->pending.erase(attempt);
    }
    host_.onServersChanged();
    for (auto& done : doneCallbacks)
        done(Unknown{Reason::PeerLost}, {});
    if (peer->failures == 0)
        dial(peer);
}

// No delay after the loss of a connection that had completed its handshake; exponential backoff after consecutive failures.
Duration Peers::redialDelay(const Peer& peer) const
{
    if (peer.failures == 0)
        return Duration::zero();
    bool isConnectedToMost = 2 * connectedCount() > peers_.size();
    return std::min(isConnectedToMost ? maximumRedialDelayWhenConnected : maximumRedialDelay, firstRedialDelay * (1U << std::min(peer.failures - 1, maximumDoublings)));
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

void Peers::sendAttempt(const std::string& node, const AttemptRequest& request, Guard::Done done)
{
    auto found = peers_.find(node);
    if (found == peers_.end() || !found->second->connection)
        return done(NotRun{Reason::PeerLost, {}, false}, {});
    auto now = Support::monotonicNow();
    auto& peer = *found->second;
    peer.pending[request.serial] = {std::move(done), now, request.isIdempotent, now + Duration(request.timeoutMicros), false};
    auto encoded = peer.encoder.encode(request);
    if (encoded.definition)
        peer.connection->send(std::move(*encoded.definition));
    const auto& body = request.request.body;
    if (body.size() <= maximumInlineBodyBytes)
        return peer.connection->send(std::move(encoded.request));
    peer.connection->send(LongAttemptRequest{std::move(encoded.request), static_cast<std::uint32_t>(body.size())});
    peer.connection->sendBody(request.serial, body);
}

void Peers::cancel(const std::string& node, std::uint64_t serial)
{
    auto found = peers_.find(node);
    if (found == peers_.end())
        return;
    auto& peer = *found->second;
    if (peer.pending.erase(serial) == 0 || !peer.connection)
        return;
    peer.connection->cancelBody(serial);
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

// Gossip: each node that applies a new version announces it to a random subset of the others, so that a change reaches all nodes
// from any of those that watch the store.
void Peers::publishVersion()
{
    auto frame = encodeFrame(VersionUpdate{host_.configVersion()});
    std::vector<std::shared_ptr<PeerConnection>> connections;
    for (const auto& inbound : inboundPeers_)
        connections.push_back(inbound->connection);
    for (std::size_t sent = 0; sent < connections.size() && sent < maximumVersionReceivers; ++sent) {
        std::swap(connections[sent], connections[sent + random_.below(connections.size() - sent)]);
        connections[sent]->sendFrame(frame);
    }
}

void Peers::recordVersion(Peer& peer, std::uint64_t version)
{
    peer.configVersion = std::max(peer.configVersion, version);
    newestVersion_ = std::max(newestVersion_, version);
    queryNewerVersion(Support::monotonicNow());
}

// Requests a newer configuration from one node at a time. If it sends none within the interval, another one may be asked.
void Peers::queryNewerVersion(Instant now)
{
    auto own = host_.configVersion();
    if (newestVersion_ <= own || now - lastConfigQuery_ < configQueryInterval)
        return;
    std::vector<PeerPointer> newerPeers;
    for (const auto& [name, peer] : peers_) {
        if (peer->configVersion > own && peer->isHandshakeDone && peer->connection)
            newerPeers.push_back(peer);
    }
    if (newerPeers.empty())
        return;
    lastConfigQuery_ = now;
    newerPeers[random_.below(newerPeers.size())]->connection->send(ConfigQuery{own});
}

void Peers::compareVersion()
{
    if (auto peer = randomReachable())
        peer->connection->send(VersionUpdate{host_.configVersion()});
}

Peers::PeerPointer Peers::randomReachable()
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

// Asks each peer in turn, those of the same failure domain first.
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

// Detects a peer with pending attempts that is gone without a TCP reset.
void Peers::checkLiveness(Instant now, const PeerPointer& peer)
{
    if (!peer->connection || peer->pending.empty())
        return;
    Instant oldest = now;
    for (const auto& [serial, attempt] : peer->pending)
        oldest = std::min(oldest, attempt.sentAt);
    auto silentSince = std::max(oldest, peer->connection->lastReceivedAt());
    if (now - silentSince > silenceBeforeLoss && peer->pingedAt > silentSince) {
        peer->connection->close();
        return onLost(peer, "silent");
    }
    if (now - silentSince > silenceBeforePing && peer->pingedAt <= silentSince) {
        peer->pingedAt = now;
        peer->connection->send(Ping());
    }
}

void Peers::expireOutcomeQueries(Instant now, const PeerPointer& peer)
{
    std::vector<Guard::Done> doneCallbacks;
    for (auto attempt = peer->pending.begin(); attempt != peer->pending.end();) {
        if (!attempt->second.isOutcomeQueried || now < attempt->second.deadline) {
            ++attempt;
            continue;
        }
        doneCallbacks.push_back(std::move(attempt->second.done));
        attempt = peer->pending.erase(attempt);
    }
    for (auto& done : doneCallbacks)
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
