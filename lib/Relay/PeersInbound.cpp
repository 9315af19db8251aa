// Connections that other nodes have opened, and the attempts received on them.
#include "balsamreel/Relay/Peers.h"

#include "balsamreel/Relay/RemainingTime.h"

#include <algorithm>
#include <utility>

namespace balsamreel::Relay {

namespace {

// For a request that the node had no memory for.
constexpr Duration memoryRetryDelay = std::chrono::seconds(1);
// Limit on connections whose other end has not said which node it is, so that they can't use up the descriptors.
constexpr std::size_t silentInboundDivisor = 8; // of all descriptors

// Sends a long body in parts, so that it is not copied as a whole.
void sendReply(PeerConnection& connection, AttemptReply reply)
{
    auto* response = std::get_if<ServerResponse>(&reply.outcome);
    if (!response || response->body.size() <= maximumInlineBodyBytes)
        return connection.send(std::move(reply));
    auto serial = reply.serial;
    auto body = std::exchange(response->body, Body());
    connection.send(LongAttemptReply{std::move(reply), static_cast<std::uint32_t>(body.size())});
    connection.sendBody(serial, std::move(body));
}

// The headers of an attempt are held by the request and by the head that is sent to the server.
constexpr std::size_t headerCopies = 2;

std::size_t headerBytes(const Request& request)
{
    auto bytes = request.callerAttemptId.size() + request.target.size();
    for (const auto& header : request.headers)
        bytes += sizeof(Header) + header.name.size() + header.value.size();
    return headerCopies * bytes;
}

// Makes the request count in the budget. Returns false if there is no room.
bool chargeRequest(Request& request, const std::shared_ptr<MemoryBudget>& budget)
{
    auto now = Support::monotonicNow();
    auto memory = std::make_shared<MemoryReservation>(budget);
    if (!memory->tryResize(headerBytes(request), now))
        return false;
    request.headerMemory = std::move(memory);
    auto body = request.body.copyInto(budget, now);
    if (body)
        request.body = std::move(*body);
    return body.has_value();
}

} // namespace

void Peers::startInbound(Socket socket)
{
    tuneSocket(socket);
    auto inbound = std::make_shared<InboundPeer>();
    inbound->connection = std::make_shared<PeerConnection>(std::move(socket), host_.memory->sendQueues);
    inbound->connection->setFrameLimit(maximumFirstFrameBytes);
    inboundPeers_.insert(inbound);
    silentInbound_.push_back(inbound);
    closeSilentInbound();
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

// Closes the oldest connections without a Hello if there are too many.
void Peers::closeSilentInbound()
{
    std::erase_if(silentInbound_, [](const auto& weak) {
        auto inbound = weak.lock();
        return !inbound || !inbound->name.empty();
    });
    while (silentInbound_.size() > std::max<std::size_t>(1, settings_.maximumDescriptors / silentInboundDivisor)) {
        silentInbound_.front().lock()->connection->fail("no handshake");
        silentInbound_.pop_front();
    }
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
        connection->cancelBody(cancel->serial);
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
        onInboundVersion(*inbound, *update);
    else if (const auto* tokenRequest = std::get_if<Quota::TokenRequest>(&message))
        connection->send(host_.onTokenRequest(*tokenRequest));
    else if (const auto* evacuations = std::get_if<EvacuationUpdate>(&message))
        applyEvacuations(*connection, *evacuations);
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
    inbound->connection->setFrameLimit(maximumFrameBytes);
    inbound->incarnation = hello.incarnation;
    inbound->name = hello.sender.name;
    if (hello.sender.domain == self_.domain)
        sameDomainPeers_.push_back(inbound);
    inbound->connection->send(makeHello());
    shareEvacuations(*inbound->connection);
    if (auto known = peers_.find(hello.sender.name); known != peers_.end())
        known->second->failures = 0;
    addNodes({hello.sender});
}

// Sends this node's version if it is newer; otherwise records the peer's.
void Peers::onInboundVersion(const InboundPeer& inbound, const VersionUpdate& update)
{
    host_.onStoreEra(update.storeEra);
    auto version = update.configVersion;
    if (version < host_.configVersion())
        return inbound.connection->send(VersionUpdate{host_.configVersion(), host_.storeEra()});
    auto known = peers_.find(inbound.name);
    if (known != peers_.end())
        recordVersion(*known->second, version);
}

Guard::Done Peers::replyCallback(const InboundPeerPointer& inbound, std::uint64_t serial)
{
    inbound->openAttempts.insert(serial);
    return [inbound, serial](const Outcome& outcome, const Wire::LoadStamp& stamp) {
        inbound->openAttempts.erase(serial);
        sendReply(*inbound->connection, {serial, outcome, stamp});
    };
}

void Peers::onAttemptRequest(const InboundPeerPointer& inbound, CompactAttemptRequest&& message)
{
    auto request = inbound->decoder.decode(std::move(message));
    if (!request)
        return inbound->connection->fail("attempt request refers to an undefined context slot");
    inbound->lastAttemptAt = Support::monotonicNow();
    if (!chargeRequest(request->request, host_.memory->requests))
        return refuseForMemory(*inbound, request->serial);
    submit(inbound, std::move(*request));
}

void Peers::submit(const InboundPeerPointer& inbound, AttemptRequest&& request)
{
    auto serial = request.serial;
    guard_.submit({inbound->incarnation, serial}, request, replyCallback(inbound, serial));
}

// The guard learns of the attempt only with its whole body, so an attempt whose connection is lost before has not run.
void Peers::onLongAttemptRequest(const InboundPeerPointer& inbound, LongAttemptRequest&& message)
{
    auto request = inbound->decoder.decode(std::move(message.request));
    if (!request || message.bodyBytes <= maximumInlineBodyBytes || message.bodyBytes > maximumSplitBodyBytes)
        return inbound->connection->fail("invalid request with a long body");
    auto now = Support::monotonicNow();
    auto serial = request->serial;
    inbound->lastAttemptAt = now;
    std::weak_ptr<InboundPeer> weak = inbound;
    auto onRefused = [this, weak, serial] {
        if (auto strong = weak.lock())
            refuseForMemory(*strong, serial);
    };
    if (!chargeRequest(request->request, host_.memory->requests))
        return refuseForMemory(*inbound, serial);
    auto deadline = now + Duration(request->timeoutMicros);
    inbound->incompleteAttempts[serial] = {std::move(*request), BodyReceiver(host_.memory->requests, std::move(onRefused)), message.bodyBytes, deadline};
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
        return refuseForMemory(*inbound, part.serial);
    if (attempt.body.size() < attempt.bodyBytes)
        return;
    auto request = std::move(attempt.request);
    request.request.body = attempt.body.finish();
    auto remaining = microsUntil(now, attempt.deadline);
    auto delay = request.timeoutMicros - std::min(request.timeoutMicros, remaining);
    request.timeoutMicros = std::max(1U, remaining);
    request.latencyTargetMicros -= std::min(request.latencyTargetMicros, delay);
    inbound->incompleteAttempts.erase(found);
    submit(inbound, std::move(request));
}

void Peers::refuseForMemory(InboundPeer& inbound, std::uint64_t serial) const
{
    inbound.incompleteAttempts.erase(serial);
    inbound.connection->send(AttemptReply{serial, NotRun{Reason::MemoryExhausted, memoryRetryDelay, false}, guard_.loadStamp()});
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

} // namespace balsamreel::Relay
