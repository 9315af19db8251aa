// What nodes report to each other: versions of the configuration, evacuations, the state of their servers.
#include "balsamreel/Relay/Peers.h"

#include "balsamreel/Support/Compression.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

// The store holds no larger objects.
constexpr std::size_t maximumConfigBytes = 16 * 1024 * 1024;
constexpr Duration configQueryInterval = std::chrono::milliseconds(300);
// A node that has sent no attempt for this long gets no slowdown updates: it would receive a hundred for each call.
constexpr Duration slowdownUpdateWindow = std::chrono::seconds(1);
constexpr std::size_t maximumGossipReceivers = 16;

} // namespace

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
    // A node begins to serve with its first configuration.
    shareEvacuations(*connection);
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
    publishToSome(VersionUpdate{host_.configVersion(), host_.storeEra()});
}

void Peers::publishToSome(const PeerMessage& message)
{
    auto frame = encodeFrame(message);
    std::vector<std::shared_ptr<PeerConnection>> connections;
    for (const auto& inbound : inboundPeers_)
        connections.push_back(inbound->connection);
    for (std::size_t sent = 0; sent < connections.size() && sent < maximumGossipReceivers; ++sent) {
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
        peer->connection->send(VersionUpdate{host_.configVersion(), host_.storeEra()});
}

// The document is small, so it is sent whole instead of its version.
void Peers::publishEvacuations()
{
    publishToSome(EvacuationUpdate{host_.evacuations()});
}

void Peers::compareEvacuations()
{
    if (auto peer = randomReachable())
        peer->connection->send(EvacuationUpdate{host_.evacuations()});
}

void Peers::applyEvacuations(PeerConnection& connection, const EvacuationUpdate& update)
{
    if (update.document.position < host_.evacuations().position)
        return connection.send(EvacuationUpdate{host_.evacuations()});
    host_.onEvacuations(update.document);
}

// A node that has just started, or was cut off, learns of an evacuation before it gets an attempt on the connection.
void Peers::shareEvacuations(PeerConnection& connection) const
{
    if (!host_.evacuations().domains.empty())
        connection.send(EvacuationUpdate{host_.evacuations()});
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

} // namespace balsamreel::Relay
