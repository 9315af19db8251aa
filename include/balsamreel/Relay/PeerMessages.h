// Messages between nodes over TCP: typed, framed, limited in size.
#pragma once

#include "balsamreel/Admission/SaturationDetector.h"
#include "balsamreel/Relay/Model.h"
#include "balsamreel/Wire/Headers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

namespace balsamreel::Relay {

constexpr std::uint8_t peerProtocolVersion = 3;
/// Length in front of each frame.
constexpr std::size_t frameHeaderBytes = 4;
/// Larger than the largest body a caller may send, with its headers.
constexpr std::size_t maximumFrameBytes = 80U * 1024 * 1024;

/// How other nodes reach a node.
struct NodeRecord {
    std::string name;
    Support::Endpoint peerAddress;
    std::string domain;

    bool operator==(const NodeRecord&) const = default;
};

/// What a node remembers of its server beyond its own process.
struct PersistedServerState {
    Admission::SlotVerdict lastSlotVerdict = Admission::SlotVerdict::Unknown;
    std::string departedInstance; ///< the last server process that said that it leaves

    bool operator==(const PersistedServerState&) const = default;
};

/// What the store holds of a node.
struct StoredNodeRecord {
    NodeRecord node;
    PersistedServerState persistedState;
};

/// The server beside a node, as that node tells the others.
struct ServerStatus {
    std::string service;
    std::string instance; ///< empty: no server gets work here
    Support::Endpoint address;
    std::uint32_t slots = 0;
    bool isCold = false;

    bool operator==(const ServerStatus&) const = default;
};

/// First message in both directions.
struct Hello {
    std::uint8_t protocol = peerProtocolVersion;
    NodeRecord sender;
    std::uint64_t incarnation = 0; ///< differs in each start of the process
    std::uint64_t configVersion = 0;
    bool isFollowingStore = false;
    ServerStatus status;
};

struct StatusUpdate {
    ServerStatus status;
};

/// The pace of the sender's server has changed; sent within a failure domain only.
struct SlowdownUpdate {
    bool isSlowed = false;
};

/// The sender follows another version now.
struct VersionUpdate {
    std::uint64_t configVersion = 0;
};

/// The sender watches the store now and gets answers, or no longer.
struct FollowingUpdate {
    bool isFollowingStore = false;
};

/// Asks for the receiver's configuration if that is newer.
struct ConfigQuery {
    std::uint64_t configVersion = 0;
};

/// Asks for the nodes that the receiver knows, and for its configuration if that is newer.
struct StateQuery {
    std::uint64_t configVersion = 0;
};

struct PeerList {
    std::vector<NodeRecord> peers;
};

/// An accepted configuration in the form in which the store holds it, compressed.
struct ConfigDocument {
    std::uint64_t configVersion = 0;
    std::string compressedText;
};

/// One attempt at the server beside the receiver.
struct AttemptRequest {
    std::uint64_t serial = 0; ///< unique per sender and boot
    std::string instance; ///< the only server process that may run it
    std::string route;
    std::uint32_t priority = 0;
    bool isIdempotent = false;
    bool canGoElsewhere = false; ///< the sender has another server for it
    std::uint32_t timeoutMicros = 0; ///< left until nobody waits any more
    std::uint32_t latencyTargetMicros = 0; ///< left until the answer loses most of its value
    std::string originService; ///< of the VM where the request began
    Request request;
};

/// What many offers on one link have in common.
struct AttemptContext {
    std::string instance;
    std::string route;
    std::uint32_t priority = 0;
    bool isIdempotent = false;
    std::string originService;
    std::string method;
    std::string host;
    std::vector<Header> headers;

    auto operator<=>(const AttemptContext&) const = default;
};

/// Offers on this link that name the slot from now on have this in common.
struct ContextDefinition {
    std::uint8_t slot = 0;
    AttemptContext context;
};

/// An offer without what its context tells.
struct CompactAttemptRequest {
    std::uint64_t serial = 0;
    std::uint8_t contextSlot = 0;
    bool canGoElsewhere = false;
    std::uint32_t timeoutMicros = 0;
    std::uint32_t latencyTargetMicros = 0;
    std::string callerAttemptId;
    std::string target;
    std::string body;
};

/// The end of an offer, with the load of the guard.
struct AttemptReply {
    std::uint64_t serial = 0;
    Outcome outcome;
    Wire::LoadStamp stamp;
};

/// The caller has left, or the answer is no longer needed.
struct Cancel {
    std::uint64_t serial = 0;
};

/// Asks for the outcome of an offer whose link was lost. The guard answers with an AttemptReply; an
/// offer that it has never seen is refused from then on.
struct OutcomeQuery {
    std::uint64_t senderIncarnation = 0;
    std::uint64_t serial = 0;
    std::string instance;
};

struct Ping { };

struct Pong { };

using PeerMessage = std::variant<Hello, StatusUpdate, StateQuery, PeerList, ConfigDocument, ContextDefinition, CompactAttemptRequest, AttemptReply, Cancel, OutcomeQuery, Ping, Pong, SlowdownUpdate, VersionUpdate, FollowingUpdate, ConfigQuery>;

/// A whole frame with its length.
std::string encodeFrame(const PeerMessage&);

/// The content of a frame, without its length; nothing if it can't be read.
std::optional<PeerMessage> decodeFrame(std::string_view content);

/// Length of the content that follows; nothing if it is over the limit.
std::optional<std::size_t> frameLength(std::string_view header);

} // namespace balsamreel::Relay
