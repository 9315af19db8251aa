#include "balsamreel/Relay/Peers.h"

#include "balsamreel/Relay/RemainingTime.h"

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
constexpr Duration dialTimeout = std::chrono::seconds(1);
// With attempts pending and nothing received, a peer is first pinged, then treated as lost.
constexpr Duration silenceBeforePing = std::chrono::milliseconds(250);
constexpr Duration silenceBeforeLoss = std::chrono::milliseconds(700);
// accept() mostly fails for lack of file descriptors, so it is retried after a delay.
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

void Peers::addNodes(const std::vector<NodeRecord>& records)
{
    for (const auto& record : records) {
        if (record.name == self_.name || isClosed_)
            continue;
        auto& peer = peers_[record.name];
        if (!peer) {
            peer = std::make_shared<Peer>();
            ++knownRevision_;
        }
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
    auto removed = std::erase_if(peers_, [&](const auto& known) {
        const auto& [name, peer] = known;
        return !listedNames.contains(name) && !peer->connection && !peer->isConnecting && peer->pending.empty() && peer->failures > 0;
    });
    knownRevision_ += removed;
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
    peer->connection = std::make_shared<PeerConnection>(std::move(*socket), host_.memory->sendQueues);
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
    if (auto* reply = std::get_if<AttemptReply>(&message))
        return onAttemptReply(peer, std::move(*reply));
    if (auto* longReply = std::get_if<LongAttemptReply>(&message))
        return onLongAttemptReply(peer, std::move(*longReply));
    if (const auto* part = std::get_if<BodyPart>(&message))
        return onReplyPart(peer, *part);
    if (const auto* update = std::get_if<StatusUpdate>(&message)) {
        peer->status = update->status;
        log_.line(LogClass::Notable, "peer-status", "peer={} service={} instance={}", peer->record.name, update->status.service, update->status.instance);
        return host_.onServersChanged();
    }
    if (const auto* slowdown = std::get_if<SlowdownUpdate>(&message))
        return host_.onSlowdownChange(peer->record.name, peer->status.address, slowdown->isSlowed);
    if (const auto* update = std::get_if<VersionUpdate>(&message)) {
        host_.onStoreEra(update->storeEra);
        return recordVersion(*peer, update->configVersion);
    }
    if (const auto* update = std::get_if<FollowingUpdate>(&message)) {
        peer->isFollowingStore = update->isFollowingStore;
        return;
    }
    if (const auto* reply = std::get_if<Quota::TokenReply>(&message))
        return host_.onTokenReply(peer->record.name, *reply);
    if (const auto* list = std::get_if<PeerList>(&message)) {
        hasReceivedList_ = true;
        return addNodes(list->peers);
    }
    if (const auto* document = std::get_if<ConfigDocument>(&message))
        return applyConfig(*peer, *document);
    const auto* evacuations = std::get_if<EvacuationUpdate>(&message);
    if (evacuations && peer->connection)
        applyEvacuations(*peer->connection, *evacuations);
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
    shareEvacuations(*peer->connection);
    host_.onServersChanged();
}

// The response counts in the budget from here on, or is dropped if there is no room for it.
void Peers::onAttemptReply(const PeerPointer& peer, AttemptReply&& reply)
{
    if (auto* response = std::get_if<ServerResponse>(&reply.outcome)) {
        auto body = response->body.copyInto(host_.memory->responses, Support::monotonicNow());
        if (!body)
            return completeAttempt(*peer, reply.serial, Unknown{Reason::MemoryExhausted}, reply.stamp);
        response->body = std::move(*body);
    }
    completeAttempt(*peer, reply.serial, reply.outcome, reply.stamp);
}

// The parts of a response that nobody waits for any more are ignored.
void Peers::onLongAttemptReply(const PeerPointer& peer, LongAttemptReply&& message)
{
    if (!peer->connection)
        return;
    bool isValid = std::holds_alternative<ServerResponse>(message.reply.outcome) && message.bodyBytes > maximumInlineBodyBytes && message.bodyBytes <= maximumSplitBodyBytes;
    if (!isValid)
        return peer->connection->fail("invalid reply with a long body");
    auto serial = message.reply.serial;
    peer->connection->cancelBody(serial);
    if (peer->pending.contains(serial))
        peer->incompleteReplies[serial] = {std::move(message.reply), BodyReceiver(host_.memory->responses, nullptr), message.bodyBytes};
}

void Peers::onReplyPart(const PeerPointer& peer, const BodyPart& part)
{
    auto found = peer->incompleteReplies.find(part.serial);
    if (found == peer->incompleteReplies.end())
        return;
    auto& incomplete = found->second;
    if (incomplete.body.size() + part.bytes.size() > incomplete.bodyBytes)
        return peer->connection->fail("response body is longer than announced");
    if (!incomplete.body.append(part.bytes, Support::monotonicNow()))
        return dropReply(*peer, part.serial);
    if (incomplete.body.size() < incomplete.bodyBytes)
        return;
    auto reply = std::move(incomplete.reply);
    std::get<ServerResponse>(reply.outcome).body = incomplete.body.finish();
    peer->incompleteReplies.erase(found);
    completeAttempt(*peer, reply.serial, reply.outcome, reply.stamp);
}

void Peers::dropReply(Peer& peer, std::uint64_t serial)
{
    auto stamp = peer.incompleteReplies.at(serial).reply.stamp;
    peer.incompleteReplies.erase(serial);
    peer.connection->send(Cancel{serial});
    completeAttempt(peer, serial, Unknown{Reason::MemoryExhausted}, stamp);
}

void Peers::completeAttempt(Peer& peer, std::uint64_t serial, const Outcome& outcome, const Wire::LoadStamp& stamp)
{
    if (peer.connection)
        peer.connection->cancelBody(serial);
    auto attempt = peer.pending.extract(serial);
    if (!attempt.empty())
        attempt.mapped().done(outcome, stamp);
}

// Idempotent attempts complete as Unknown, so that they can be retried elsewhere. The outcome of the others is queried on the
// next connection.
void Peers::onLost(const PeerPointer& peer, const std::string& cause)
{
    if (isClosed_)
        return;
    log_.line(LogClass::Notable, "peer-lost", "peer={} cause=\"{}\" offers={}", peer->record.name, cause, peer->pending.size());
    peer->connection.reset();
    peer->incompleteReplies.clear();
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

std::vector<std::string> Peers::knownNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : peers_)
        names.push_back(name);
    return names;
}

bool Peers::send(const std::string& node, const PeerMessage& message)
{
    auto known = peers_.find(node);
    if (known == peers_.end() || !known->second->isHandshakeDone || !known->second->connection)
        return false;
    known->second->connection->send(message);
    return true;
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
    peer.incompleteReplies.erase(serial);
    if (peer.pending.erase(serial) == 0 || !peer.connection)
        return;
    peer.connection->cancelBody(serial);
    peer.connection->send(Cancel{serial});
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
