// Messages between nodes: membership over UDP. Versioned and limited in size.
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

constexpr std::uint8_t protocolVersion = 2;

/// Datagrams stay below the usual path limit, so that they are not fragmented.
constexpr std::size_t maximumDatagramBytes = 1400;
/// What IPv4 and UDP add to a datagram.
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

/// A server as its guard announces it to the other nodes.
struct ServerRecord {
    std::string service;
    Support::Endpoint address; ///< where the server listens; names it within its guard
    std::uint32_t slots = 0;
    ServerState state = ServerState::Cold;

    bool operator==(const ServerRecord&) const = default;
};

/// A node as the others know it. A higher (incarnation, version) replaces a lower one.
struct MemberRecord {
    std::string node;
    std::uint64_t incarnation = 0; ///< wall micros at the start of the process
    std::uint32_t version = 0; ///< raised by the member itself with each change or refutation
    MemberState state = MemberState::Alive;
    Support::Endpoint peer; ///< gossip (UDP) and guard (TCP)
    Support::Endpoint admin;
    std::string domain;
    std::string region;
    std::vector<ServerRecord> servers;

    bool operator==(const MemberRecord&) const = default;
};

/// A change of a member's state alone. It holds only where the fingerprint is that of the record already known.
struct StateUpdate {
    std::uint32_t node = 0; ///< hash of the name
    std::uint32_t fingerprint = 0; ///< of the record without version and state
    std::uint32_t version = 0;
    MemberState state = MemberState::Alive;

    static constexpr std::size_t encodedBytes = 13;
};

/// Said with every message: who sends it and what configuration it follows.
struct Envelope {
    std::string sender;
    Support::HybridTime time;
    std::uint64_t generation = 0;
};

struct Ping {
    std::uint64_t sequence = 0;
    std::string target; ///< so that a node restarted under the same address does not answer for another
};

struct Ack {
    std::uint64_t sequence = 0;
    std::string subject; ///< the member that is shown to be alive
};

/// Asks a third node to ping the target on the sender's behalf.
struct PingRequest {
    std::uint64_t sequence = 0;
    std::string target;
};

/// Hashes of the sender's table, a bucket each, to find what differs.
struct Digest {
    static constexpr std::size_t bucketCount = 64;
    std::array<std::uint32_t, bucketCount> buckets{};
    std::uint32_t liveCount = 0; ///< members it sees alive
    bool isReply = false;
};

/// Records of the buckets that differ; also the answer to a Digest.
struct Records { };

/// Asks a guard for the load of one of its servers.
struct LoadProbe {
    std::uint64_t sequence = 0;
    Support::Endpoint server;
};

/// A guard's answer to a LoadProbe.
struct LoadReport {
    std::uint64_t sequence = 0;
    LoadStamp stamp;
    std::uint32_t slowdownPermille = 0; ///< recent latency relative to the usual one; 0: no answer came lately
};

/// Payload kinds. Each datagram also carries member records.
using Payload = std::variant<Ping, Ack, PingRequest, Digest, Records, LoadProbe, LoadReport>;

struct Message {
    Envelope envelope;
    Payload payload;
    std::vector<MemberRecord> updates;
    std::vector<StateUpdate> states;
};

/// Encodes a message.
std::vector<std::uint8_t> encode(const Message&);

/// The encoded size of one record, for filling a datagram.
std::size_t encodedSize(const MemberRecord&);

/// Hash of a name, the same on every node.
std::uint32_t nameHash(const std::string& name);

/// Hash of all of a record but its version and state.
std::uint32_t fingerprint(const MemberRecord&);

/// A whole table in compressed form, for nodes that join or differ in much.
std::string encodeTable(const std::vector<MemberRecord>&);

/// Errors: WireError. The compressed form may unfold to at most maximumTableBytes.
std::error_code decodeTable(const std::string&, std::vector<MemberRecord>&);
constexpr std::size_t maximumTableBytes = 4 * 1024 * 1024;

/// Decodes a datagram. Errors: WireError.
std::error_code decode(std::span<const std::uint8_t>, Message&);

} // namespace balsamreel::Wire
