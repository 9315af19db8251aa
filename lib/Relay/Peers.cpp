#include "balsamreel/Relay/Peers.h"

#include "balsamreel/Support/Compression.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <set>

namespace balsamreel::Relay {

namespace {

namespace tcp = boost::asio::ip;

constexpr Duration firstRedial = std::chrono::milliseconds(150);
constexpr Duration longestRedial = std::chrono::milliseconds(1200);
// A node that most others can be reached from is not cut off: a peer that it can't reach is gone, or dials it when it is back.
constexpr Duration longestRedialOfGone = std::chrono::milliseconds(4800);
constexpr unsigned maximumDoublings = 5;
// The store holds no larger values.
constexpr std::size_t maximumConfigBytes = 16 * 1024 * 1024;
constexpr Duration configQueryInterval = std::chrono::milliseconds(300);
constexpr Duration dialTimeout = std::chrono::seconds(1);
// With offers open and nothing heard, the other side is asked for a sign of life, and then given up.
constexpr Duration pingAfter = std::chrono::milliseconds(250);
constexpr Duration lostAfter = std::chrono::milliseconds(700);
// A node that sent no offer for this long is not told the server's pace: it would hear of it a hundred times for each call.
constexpr Duration paceInterest = std::chrono::seconds(1);
constexpr std::size_t maximumVersionReceivers = 16;
// After an accept that failed, mostly for want of descriptors.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

boost::asio::ip::tcp::endpoint endpointOf(const Support::Endpoint& endpoint)
{
    return {tcp::make_address(endpoint.host), endpoint.port};
}

} // namespace

Peers::Peers(Loop& loop, const NodeSettings& settings, std::uint64_t boot, Guard& guard, EventLog& log, Host host)
    : loop_(loop)
    , settings_(settings)
    , boot_(boot)
    , guard_(guard)
    , log_(log)
    , host_(std::move(host))
    , self_{settings.name, settings.peerAddress, settings.domain}
    , acceptor_(loop)
    , acceptTimer_(loop)
    , random_(boot)
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
            serve(std::move(socket));
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

void Peers::serve(Socket socket)
{
    tuneSocket(socket);
    auto guest = std::make_shared<Guest>();
    guest->link = std::make_shared<PeerLink>(std::move(socket));
    guests_.insert(guest);
    // The guest owns the link, so the link does not own the guest.
    std::weak_ptr<Guest> weak = guest;
    PeerLink::Handlers handlers;
    handlers.onMessage = [this, weak](PeerMessage&& message) {
        if (auto strong = weak.lock())
            onGuestMessage(strong, std::move(message));
    };
    handlers.onClosed = [this, weak](const std::string&) {
        if (auto strong = weak.lock())
            onGuestLost(strong);
    };
    guest->link->start(std::move(handlers));
}

// The sender lets idempotent offers of a lost link go, and asks for the outcome of the others. So idempotent work is
// stopped, and what waits is revoked: it would take a slot for a caller that is gone or is served elsewhere.
void Peers::onGuestLost(const GuestPointer& guest)
{
    if (isClosed_)
        return;
    guests_.erase(guest);
    auto open = std::move(guest->openOffers);
    guest->openOffers.clear();
    if (!open.empty())
        log_.line(LogClass::Notable, "guest-lost", "boot={} offers={}", guest->boot, open.size());
    for (auto serial : open)
        guard_.cancel({guest->boot, serial});
}

void Peers::onGuestMessage(const GuestPointer& guest, PeerMessage&& message)
{
    const auto& link = guest->link;
    if (const auto* greeting = std::get_if<Hello>(&message)) {
        greet(guest, *greeting);
    } else if (auto* definition = std::get_if<ContextDefinition>(&message)) {
        if (!guest->decoder.define(std::move(*definition)))
            link->fail("context slot that does not exist");
    } else if (auto* offer = std::get_if<ShortOffer>(&message))
        serveOffer(guest, std::move(*offer));
    else if (const auto* cancel = std::get_if<Cancel>(&message)) {
        guest->openOffers.erase(cancel->serial);
        guard_.cancel({guest->boot, cancel->serial});
    } else if (const auto* inquiry = std::get_if<Inquiry>(&message))
        serveInquiry(guest, *inquiry);
    else if (const auto* query = std::get_if<StateQuery>(&message))
        shareState(link, query->configVersion);
    else if (const auto* configQuery = std::get_if<ConfigQuery>(&message))
        shareConfig(link, configQuery->configVersion);
    else if (const auto* update = std::get_if<VersionUpdate>(&message))
        onGuestVersion(*guest, update->configVersion);
    else if (std::holds_alternative<Ping>(message))
        link->send(Pong());
}

// The node that dials is alive, so it is dialled at once, however often that failed before.
void Peers::greet(const GuestPointer& guest, const Hello& greeting)
{
    if (greeting.protocol != peerProtocolVersion) {
        log_.line(LogClass::Notable, "peer-version", "peer={} version={}", greeting.sender.name, greeting.protocol);
        return guest->link->close();
    }
    guest->boot = greeting.boot;
    guest->name = greeting.sender.name;
    if (greeting.sender.domain == self_.domain)
        neighbours_.push_back(guest);
    guest->link->send(hello());
    if (auto known = peers_.find(greeting.sender.name); known != peers_.end())
        known->second->failures = 0;
    learn({greeting.sender});
}

// Tells the one of the two that is behind.
void Peers::onGuestVersion(const Guest& guest, std::uint64_t version)
{
    if (version < host_.configVersion())
        return guest.link->send(VersionUpdate{host_.configVersion()});
    auto known = peers_.find(guest.name);
    if (known != peers_.end())
        noteVersion(*known->second, version);
}

Guard::Done Peers::resultTo(const GuestPointer& guest, std::uint64_t serial)
{
    guest->openOffers.insert(serial);
    return [guest, serial](const Outcome& outcome, const Wire::LoadStamp& stamp) {
        guest->openOffers.erase(serial);
        guest->link->send(OfferResult{serial, outcome, stamp});
    };
}

void Peers::serveOffer(const GuestPointer& guest, ShortOffer&& message)
{
    auto offer = guest->decoder.decode(std::move(message));
    if (!offer)
        return guest->link->fail("offer without its context");
    guest->offeredAt = Support::monotonicNow();
    guard_.offer({guest->boot, offer->serial}, *offer, resultTo(guest, offer->serial));
}

// The end of the link that brought the offer may be seen only after the inquiry on the new one.
void Peers::serveInquiry(const GuestPointer& guest, const Inquiry& inquiry)
{
    for (const auto& other : guests_) {
        if (other->boot == inquiry.senderIncarnation)
            other->openOffers.erase(inquiry.serial);
    }
    guard_.queryOutcome({inquiry.senderIncarnation, inquiry.serial}, resultTo(guest, inquiry.serial));
}

Hello Peers::hello() const
{
    Hello greeting;
    greeting.sender = self_;
    greeting.boot = boot_;
    greeting.configVersion = host_.configVersion();
    greeting.isFollowingStore = host_.isFollowingStore();
    greeting.status = guard_.status();
    return greeting;
}

void Peers::shareState(const std::shared_ptr<PeerLink>& link, std::uint64_t otherVersion)
{
    PeerList list;
    for (const auto& [name, peer] : peers_) {
        if (peer->link)
            list.peers.push_back(peer->entry);
    }
    link->send(list);
    shareConfig(link, otherVersion);
}

void Peers::shareConfig(const std::shared_ptr<PeerLink>& link, std::uint64_t otherVersion)
{
    auto version = host_.configVersion();
    if (version <= otherVersion)
        return;
    if (sharedConfig_.configVersion != version)
        sharedConfig_ = {version, Support::compress(host_.configText())};
    link->send(sharedConfig_);
}

// Several peers may give the same version.
void Peers::takeConfig(const Peer& peer, const ConfigDocument& document)
{
    if (document.configVersion <= host_.configVersion())
        return;
    auto text = Support::decompress(document.compressedText, maximumConfigBytes);
    if (!text) {
        log_.line(LogClass::Notable, "config-unreadable", "source={} version={} bytes={}", peer.entry.name, document.configVersion, document.compressedText.size());
        return;
    }
    host_.onConfigText(*text);
}

void Peers::learn(const std::vector<NodeEntry>& entries)
{
    for (const auto& entry : entries) {
        if (entry.name == self_.name || isClosed_)
            continue;
        auto& peer = peers_[entry.name];
        if (!peer)
            peer = std::make_shared<Peer>();
        bool hasMoved = peer->entry.peerAddress != entry.peerAddress;
        peer->entry = entry;
        if (hasMoved && peer->link) {
            peer->link->close();
            onLost(peer, "address changed");
        }
        if (!peer->link && !peer->isConnecting && (hasMoved || peer->failures == 0))
            dial(peer);
    }
}

// A node that has greeted but is not in the listing yet has a link, and stays.
void Peers::forgetAllBut(const std::vector<NodeEntry>& entries)
{
    std::set<std::string> named;
    for (const auto& entry : entries)
        named.insert(entry.name);
    std::erase_if(peers_, [&](const auto& known) {
        const auto& [name, peer] = known;
        return !named.contains(name) && !peer->link && !peer->isConnecting && peer->pending.empty() && peer->failures > 0;
    });
}

void Peers::dial(const PeerPointer& peer)
{
    boost::system::error_code error;
    auto address = tcp::make_address(peer->entry.peerAddress.host, error);
    if (error) {
        log_.line(LogClass::Notable, "peer-address", "peer={} address={} error={}", peer->entry.name, peer->entry.peerAddress.text(), error.message());
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
    socket->async_connect({address, peer->entry.peerAddress.port}, [this, peer, socket, timer](const boost::system::error_code& failure) {
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
    peer->link = std::make_shared<PeerLink>(std::move(*socket));
    peer->encoder = {};
    peer->isGreeted = false;
    PeerLink::Handlers handlers;
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
    peer->link->start(std::move(handlers));
    peer->link->send(hello());
    for (const auto& [serial, offer] : peer->pending)
        peer->link->send(Inquiry{boot_, serial, offer.instance});
}

void Peers::onPeerMessage(const PeerPointer& peer, PeerMessage&& message)
{
    if (const auto* greeting = std::get_if<Hello>(&message))
        return onHello(peer, *greeting);
    if (const auto* result = std::get_if<OfferResult>(&message))
        return onResult(peer, *result);
    if (const auto* update = std::get_if<StatusUpdate>(&message)) {
        peer->status = update->status;
        log_.line(LogClass::Notable, "peer-status", "peer={} service={} instance={}", peer->entry.name, update->status.service, update->status.instance);
        return host_.onServersChanged();
    }
    if (const auto* pace = std::get_if<PaceUpdate>(&message))
        return host_.onPace(peer->entry.name, peer->status.address, pace->isSlowed);
    if (const auto* update = std::get_if<VersionUpdate>(&message))
        return noteVersion(*peer, update->configVersion);
    if (const auto* update = std::get_if<FollowingUpdate>(&message)) {
        peer->isFollowingStore = update->isFollowingStore;
        return;
    }
    if (const auto* list = std::get_if<PeerList>(&message))
        return learn(list->peers);
    if (const auto* document = std::get_if<ConfigDocument>(&message))
        takeConfig(*peer, *document);
}

void Peers::onHello(const PeerPointer& peer, const Hello& greeting)
{
    if (greeting.sender.name != peer->entry.name) {
        // An address of a VM that is gone serves another one now; under two names its server would count twice.
        peer->link->close();
        ++peer->failures;
        onLost(peer, "address belongs to " + greeting.sender.name);
        return learn({greeting.sender});
    }
    if (peer->boot != 0 && peer->boot != greeting.boot) {
        // The process that held the offers is gone, and nothing tells what it ran.
        auto pending = std::move(peer->pending);
        peer->pending.clear();
        for (auto& [serial, offer] : pending)
            offer.done(Unknown{Reason::PeerLost}, {});
    }
    peer->boot = greeting.boot;
    peer->status = greeting.status;
    peer->isGreeted = true;
    peer->failures = 0;
    log_.line(LogClass::Notable, "peer-up", "peer={} boot={} service={} instance={}", peer->entry.name, greeting.boot, greeting.status.service, greeting.status.instance);
    peer->isFollowingStore = greeting.isFollowingStore;
    noteVersion(*peer, greeting.configVersion);
    host_.onServersChanged();
}

void Peers::onResult(const PeerPointer& peer, const OfferResult& result)
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
    log_.line(LogClass::Notable, "peer-lost", "peer={} cause=\"{}\" offers={}", peer->entry.name, cause, peer->pending.size());
    peer->link.reset();
    peer->isGreeted = false;
    peer->isFollowingStore = false;
    peer->nextDial = Support::monotonicNow() + redialDelay(*peer);
    std::vector<Guard::Done> ended;
    for (auto entry = peer->pending.begin(); entry != peer->pending.end();) {
        if (!entry->second.isIdempotent) {
            entry->second.isInquiry = true;
            ++entry;
            continue;
        }
        ended.push_back(std::move(entry->second.done));
        entry = peer->pending.erase(entry);
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
    bool reachesMost = 2 * linkedCount() > peers_.size();
    return std::min(reachesMost ? longestRedialOfGone : longestRedial, firstRedial * (1U << std::min(peer.failures - 1, maximumDoublings)));
}

std::size_t Peers::linkedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(peers_, [](const auto& known) { return known.second->link != nullptr; }));
}

std::vector<WatchCandidate> Peers::watchCandidates() const
{
    std::vector<WatchCandidate> candidates;
    for (const auto& [name, peer] : peers_) {
        if (peer->failures == 0)
            candidates.push_back({name, peer->entry.domain, peer->isFollowingStore});
    }
    return candidates;
}

std::vector<PeerServer> Peers::servers() const
{
    std::vector<PeerServer> servers;
    for (const auto& [name, peer] : peers_) {
        if (peer->isGreeted && peer->link && !peer->status.instance.empty())
            servers.push_back({peer->entry, peer->boot, peer->status});
    }
    return servers;
}

void Peers::offer(const std::string& node, const Offer& offer, Guard::Done done)
{
    auto found = peers_.find(node);
    if (found == peers_.end() || !found->second->link)
        return done(NotRun{Reason::PeerLost, {}, false}, {});
    auto now = Support::monotonicNow();
    auto& peer = *found->second;
    peer.pending[offer.serial] = {std::move(done), now, offer.instance, offer.isIdempotent, now + Duration(offer.timeoutMicros), false};
    auto encoded = peer.encoder.encode(offer);
    if (encoded.definition)
        peer.link->send(std::move(*encoded.definition));
    peer.link->send(std::move(encoded.offer));
}

void Peers::cancel(const std::string& node, std::uint64_t serial)
{
    auto found = peers_.find(node);
    if (found == peers_.end())
        return;
    auto& peer = *found->second;
    if (peer.pending.erase(serial) > 0 && peer.link)
        peer.link->send(Cancel{serial});
}

void Peers::publishPace()
{
    std::erase_if(neighbours_, [](const auto& weak) { return weak.expired(); });
    auto frame = encodeFrame(PaceUpdate{guard_.isSlowed()});
    auto usedSince = Support::monotonicNow() - paceInterest;
    for (const auto& weak : neighbours_) {
        auto neighbour = weak.lock();
        if (neighbour && neighbour->offeredAt >= usedSince)
            neighbour->link->sendFrame(frame);
    }
}

// A change spreads from the nodes that watch the store, each telling some others, wherever it starts.
void Peers::publishVersion()
{
    auto frame = encodeFrame(VersionUpdate{host_.configVersion()});
    std::vector<std::shared_ptr<PeerLink>> links;
    for (const auto& guest : guests_)
        links.push_back(guest->link);
    for (std::size_t told = 0; told < links.size() && told < maximumVersionReceivers; ++told) {
        std::swap(links[told], links[told + random_.below(links.size() - told)]);
        links[told]->sendFrame(frame);
    }
}

void Peers::noteVersion(Peer& peer, std::uint64_t version)
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
        if (peer->configVersion > own && peer->isGreeted && peer->link)
            ahead.push_back(peer);
    }
    if (ahead.empty())
        return;
    lastConfigQuery_ = now;
    ahead[random_.below(ahead.size())]->link->send(ConfigQuery{own});
}

void Peers::compareVersion()
{
    if (auto peer = anyReachable())
        peer->link->send(VersionUpdate{host_.configVersion()});
}

Peers::PeerPointer Peers::anyReachable()
{
    std::vector<PeerPointer> reachable;
    for (const auto& [name, peer] : peers_) {
        if (peer->isGreeted && peer->link)
            reachable.push_back(peer);
    }
    return reachable.empty() ? nullptr : reachable[random_.below(reachable.size())];
}

void Peers::publish(const PeerMessage& message)
{
    auto frame = encodeFrame(message);
    for (const auto& guest : guests_)
        guest->link->sendFrame(frame);
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
        if (peer->isGreeted && peer->link)
            reachable.push_back(peer);
    }
    if (reachable.empty())
        return;
    std::stable_partition(reachable.begin(), reachable.end(), [this](const PeerPointer& peer) { return peer->entry.domain == self_.domain; });
    reachable[queryTurn_++ % reachable.size()]->link->send(StateQuery{host_.configVersion()});
}

// A peer that holds offers and says nothing may be gone without a reset.
void Peers::watch(Instant now, const PeerPointer& peer)
{
    if (!peer->link || peer->pending.empty())
        return;
    Instant oldest = now;
    for (const auto& [serial, offer] : peer->pending)
        oldest = std::min(oldest, offer.sentAt);
    auto quietSince = std::max(oldest, peer->link->heardAt());
    if (now - quietSince > lostAfter && peer->pingedAt > quietSince) {
        peer->link->close();
        return onLost(peer, "silent");
    }
    if (now - quietSince > pingAfter && peer->pingedAt <= quietSince) {
        peer->pingedAt = now;
        peer->link->send(Ping());
    }
}

void Peers::endExpired(Instant now, const PeerPointer& peer)
{
    std::vector<Guard::Done> ended;
    for (auto entry = peer->pending.begin(); entry != peer->pending.end();) {
        if (!entry->second.isInquiry || now < entry->second.deadline) {
            ++entry;
            continue;
        }
        ended.push_back(std::move(entry->second.done));
        entry = peer->pending.erase(entry);
    }
    for (auto& done : ended)
        done(Unknown{Reason::PeerLost}, {});
}

void Peers::tick(Instant now)
{
    queryNewerVersion(now);
    std::vector<PeerPointer> due;
    for (const auto& [name, peer] : peers_) {
        bool isDialDue = !peer->link && !peer->isConnecting && now >= peer->nextDial;
        if (isDialDue || !peer->pending.empty())
            due.push_back(peer);
    }
    for (const auto& peer : due) {
        watch(now, peer);
        endExpired(now, peer);
        if (!peer->link && !peer->isConnecting && now >= peer->nextDial)
            dial(peer);
    }
}

void Peers::close()
{
    isClosed_ = true;
    boost::system::error_code ignored; // the process ends
    acceptor_.close(ignored);
    for (const auto& guest : guests_)
        guest->link->close();
    for (const auto& [name, peer] : peers_) {
        if (peer->link)
            peer->link->close();
    }
}

} // namespace balsamreel::Relay
