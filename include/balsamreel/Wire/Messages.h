#pragma once

#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/NameTable.h"
#include "balsamreel/Support/Timeline.h"
#include "balsamreel/Wire/Bounded.h"
#include "balsamreel/Wire/Headers.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace balsamreel::Wire {

/// Version of the membership messages that nodes exchange over UDP.
constexpr std::uint8_t protocolVersion = 2;

/// Below the usual path MTU, so that datagrams are not fragmented.
constexpr std::size_t maximumDatagramBytes = 1400;
/// IPv4 and UDP headers of a datagram.
constexpr std::size_t datagramHeaderBytes = 28;
constexpr std::size_t maximumNameBytes = 64;
constexpr std::size_t maximumHostBytes = 45;
constexpr std::size_t maximumRecordsPerMessage = 64;
constexpr std::size_t maximumStatesPerMessage = 128;
constexpr std::size_t maximumServersPerMember = 4;
constexpr std::size_t maximumMembers = 8192; ///< in a table fetched at once

enum class MemberState : std::uint8_t { Alive,
    Suspect,
    Dead,
    Left };

constexpr Support::NameTable<MemberState, 4> memberStateNames{{{MemberState::Alive, "alive"}, {MemberState::Suspect, "suspect"}, {MemberState::Dead, "dead"}, {MemberState::Left, "left"}}};

enum class ServerState : std::uint8_t { Cold,
    Ready,
    Draining,
    Gone };

constexpr Support::NameTable<ServerState, 4> serverStateNames{{{ServerState::Cold, "cold"}, {ServerState::Ready, "ready"}, {ServerState::Draining, "draining"}, {ServerState::Gone, "gone"}}};

/// A server as its guard announces it to other nodes.
struct ServerRecord {
    std::string service;
    Support::Endpoint address; ///< listening address; identifies the server within its guard
    std::uint32_t slots = 0;
    ServerState state = ServerState::Cold;

    bool operator==(const ServerRecord&) const = default;
};

/// A node as other nodes know it. A higher (incarnation, version) replaces a lower one.
struct MemberRecord {
    std::string node;
    std::uint64_t incarnation = 0; ///< wall clock at the start of the process (microseconds)
    std::uint32_t version = 0; ///< incremented by the member itself with each change or refutation
    MemberState state = MemberState::Alive;
    Support::Endpoint peer; ///< gossip (UDP) and guard (TCP)
    Support::Endpoint admin;
    std::string domain;
    std::string region;
    std::vector<ServerRecord> servers;

    bool operator==(const MemberRecord&) const = default;
};

/// A change of a member's state alone. Applies only if the fingerprint matches the record already known.
struct StateUpdate {
    std::uint32_t node = 0; ///< hash of the name
    std::uint32_t fingerprint = 0; ///< of the record without version and state
    std::uint32_t version = 0;
    MemberState state = MemberState::Alive;

    static constexpr std::size_t encodedBytes = 13;
};

/// Sent with every message: the sender and the generation of the configuration it follows.
struct Envelope {
    std::string sender;
    Support::HybridTime time;
    std::uint64_t generation = 0;
};

struct Ping {
    std::uint64_t sequence = 0;
    std::string target; ///< keeps another node that now runs at the same address from answering
};

struct Ack {
    std::uint64_t sequence = 0;
    std::string subject; ///< the member that is confirmed alive
};

/// Asks a third node to ping the target on the sender's behalf.
struct PingRequest {
    std::uint64_t sequence = 0;
    std::string target;
};

/// Hashes of the buckets of the sender's table, to find those that differ.
struct Digest {
    static constexpr std::size_t bucketCount = 64;
    std::array<std::uint32_t, bucketCount> buckets{};
    std::uint32_t liveCount = 0; ///< live members that the sender knows
    bool isReply = false;
};

/// Carries member records only: pending updates, or the reply to a Digest with records of the buckets that differ.
struct Records { };

/// Asks a guard for the load of one of its servers.
struct LoadProbe {
    std::uint64_t sequence = 0;
    Support::Endpoint server;
};

/// A guard's reply to a LoadProbe.
struct LoadReport {
    std::uint64_t sequence = 0;
    LoadStamp stamp;
    std::uint32_t slowdownPermille = 0; ///< recent latency relative to the usual latency; 0 if there was no recent response
};

/// Payload kinds. Each datagram also carries member records.
using Payload = std::variant<Ping, Ack, PingRequest, Digest, Records, LoadProbe, LoadReport>;

struct Message {
    Envelope envelope;
    Payload payload;
    std::vector<MemberRecord> updates;
    std::vector<StateUpdate> states;
};

std::vector<std::uint8_t> encode(const Message&);

/// Encoded size of one record (bytes), for filling a datagram.
std::size_t encodedSize(const MemberRecord&);

/// Hash of a name; the same on every node.
std::uint32_t nameHash(const std::string& name);

/// Hash of a record without its version and state.
std::uint32_t fingerprint(const MemberRecord&);

/// Encodes and compresses a whole table, for nodes that join or whose tables differ widely.
std::string encodeTable(const std::vector<MemberRecord>&);

/// Decodes a table of at most maximumTableBytes uncompressed bytes. Errors: WireError.
std::error_code decodeTable(const std::string&, std::vector<MemberRecord>&);
constexpr std::size_t maximumTableBytes = 4 * 1024 * 1024;

/// Decodes a datagram. Errors: WireError.
std::error_code decode(std::span<const std::uint8_t>, Message&);

} // namespace balsamreel::Wire
