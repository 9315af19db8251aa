// Messages that nodes exchange over TCP. Each is sent as one frame of limited size.
#pragma once

#include "balsamreel/Admission/SaturationDetector.h"
#include "balsamreel/Quota/AccountLimiter.h"
#include "balsamreel/Relay/Evacuations.h"
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

constexpr std::uint8_t peerProtocolVersion = 6;
/// Size of the length field that precedes each frame.
constexpr std::size_t frameHeaderBytes = 4;
/// Leaves room for the largest configuration that the store holds, and for the headers of a request.
constexpr std::size_t maximumFrameBytes = 2U * 1024 * 1024;
/// Limit on a frame of a connection that has not sent its Hello.
constexpr std::size_t maximumFirstFrameBytes = 16 * 1024;
/// Limit on the bodies that are sent in parts.
constexpr std::size_t maximumSplitBodyBytes = 80U * 1024 * 1024;

/// How other nodes reach a node.
struct NodeRecord {
    std::string name;
    Support::Endpoint peerAddress;
    std::string domain;

    bool operator==(const NodeRecord&) const = default;
};

/// What a node knows of its server that has to survive a restart of the node.
struct PersistedServerState {
    Admission::SlotVerdict lastSlotVerdict = Admission::SlotVerdict::Unknown;
    std::string departedInstance; ///< the last server process that announced that it leaves

    bool operator==(const PersistedServerState&) const = default;
};

/// A node's record in the store.
struct StoredNodeRecord {
    NodeRecord node;
    PersistedServerState persistedState;
};

/// The server beside a node, as that node reports it to its peers.
struct ServerStatus {
    std::string service;
    std::string instance; ///< empty: there is no server here that accepts attempts
    Support::Endpoint address;
    std::uint32_t slots = 0;
    bool isCold = false;

    bool operator==(const ServerStatus&) const = default;
};

/// Handshake: the first message in both directions.
struct Hello {
    std::uint8_t protocol = peerProtocolVersion;
    NodeRecord sender;
    std::uint64_t incarnation = 0; ///< differs in each run of the sender's process
    std::uint64_t configVersion = 0;
    bool isFollowingStore = false;
    ServerStatus status;
};

struct StatusUpdate {
    ServerStatus status;
};

/// The sender's server has become slow or normal again; sent only within a failure domain.
struct SlowdownUpdate {
    bool isSlowed = false;
};

/// The sender now uses this version of the configuration, and has learned of this era of the store.
struct VersionUpdate {
    std::uint64_t configVersion = 0;
    std::uint64_t storeEra = 0; ///< 0: unknown
};

/// The sender has started to receive responses to its watch of the store, or receives them no longer.
struct FollowingUpdate {
    bool isFollowingStore = false;
};

/// Requests the receiver's configuration if it is newer.
struct ConfigQuery {
    std::uint64_t configVersion = 0;
};

/// Requests the nodes that the receiver is connected to, and its configuration if it is newer.
struct StateQuery {
    std::uint64_t configVersion = 0;
};

struct PeerList {
    std::vector<NodeRecord> peers;
};

/// An accepted configuration: the text from the store, compressed.
struct ConfigDocument {
    std::uint64_t configVersion = 0;
    std::string compressedText;
};

/// The evacuated failure domains that the sender knows of. The receiver replies with its own if they are newer.
struct EvacuationUpdate {
    EvacuationDocument document;
};

/// Requests one attempt at the server beside the receiver.
struct AttemptRequest {
    std::uint64_t serial = 0; ///< unique per incarnation of the sender
    std::string instance; ///< the only server process that may run the attempt
    std::string route;
    std::uint32_t priority = 0;
    bool isIdempotent = false;
    bool canGoElsewhere = false; ///< the sender can try another server
    std::uint32_t timeoutMicros = 0; ///< time left until the caller stops waiting
    std::uint32_t latencyTargetMicros = 0; ///< time left until the target time, after which the response has lost most of its value
    std::string originService; ///< service of the VM where the request originated
    std::string account; ///< client account of the request; empty: none
    Request request;
};

/// Fields that many attempts on one connection have in common.
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

/// Assigns a context to a slot: later attempt requests on this connection refer to it by the slot.
struct ContextDefinition {
    std::uint8_t slot = 0;
    AttemptContext context;
};

/// An attempt request without the fields of its context.
struct CompactAttemptRequest {
    std::uint64_t serial = 0;
    std::uint8_t contextSlot = 0;
    bool canGoElsewhere = false;
    std::uint32_t timeoutMicros = 0;
    std::uint32_t latencyTargetMicros = 0;
    std::string callerAttemptId;
    std::string account;
    std::string target;
    std::string body;
};

/// A request whose body follows in parts, so that it does not hold up other messages.
struct LongAttemptRequest {
    CompactAttemptRequest request; ///< without a body
    std::uint32_t bodyBytes = 0;
};

/// The next part of the body of a LongAttemptRequest or a LongAttemptReply.
struct BodyPart {
    std::uint64_t serial = 0; ///< of the attempt
    std::string bytes;
};

/// The outcome of an attempt, with the load of the guard.
struct AttemptReply {
    std::uint64_t serial = 0;
    Outcome outcome;
    Wire::LoadStamp stamp;
};

/// A reply with a response whose body follows in parts.
struct LongAttemptReply {
    AttemptReply reply; ///< its response has no body
    std::uint32_t bodyBytes = 0;
};

/// Cancels an attempt: the caller has left, or the response is no longer needed.
struct Cancel {
    std::uint64_t serial = 0;
};

/// Queries the outcome of an attempt whose connection was lost. The guard sends an AttemptReply. If it has never seen
/// the attempt, it refuses it from then on.
struct OutcomeQuery {
    std::uint64_t senderIncarnation = 0;
    std::uint64_t serial = 0;
    std::uint32_t timeoutMicros = 0; ///< time left until the sender stops waiting for the outcome
};

struct Ping { };

struct Pong { };

using PeerMessage = std::variant<Hello, StatusUpdate, StateQuery, PeerList, ConfigDocument, ContextDefinition, CompactAttemptRequest, AttemptReply, Cancel, OutcomeQuery, Ping, Pong, SlowdownUpdate, VersionUpdate, FollowingUpdate, ConfigQuery, Quota::TokenRequest, Quota::TokenReply, EvacuationUpdate, LongAttemptRequest, BodyPart, LongAttemptReply>;

/// Returns a complete frame, including its length field.
std::string encodeFrame(const PeerMessage&);

/// Decodes a frame without its length field; nullopt if it is malformed.
std::optional<PeerMessage> decodeFrame(std::string_view content);

/// Decodes the length field, which is the number of bytes that follow it; nullopt if it exceeds the limit.
std::optional<std::size_t> frameLength(std::string_view header, std::size_t limit = maximumFrameBytes);

} // namespace balsamreel::Relay
