#include "balsamreel/Wire/Messages.h"

#include "balsamreel/Support/Compression.h"
#include "balsamreel/Support/Hash.h"
#include "balsamreel/Wire/Errors.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace balsamreel::Support {

template <typename Archive>
void serialize(Archive& archive, Endpoint& endpoint)
{
    Wire::serializeText(archive, endpoint.host, Wire::maximumHostBytes);
    archive(endpoint.port);
}

template <typename Archive>
void serialize(Archive& archive, HybridTime& time)
{
    archive(time.micros, time.counter);
}

} // namespace balsamreel::Support

namespace balsamreel::Wire {

namespace {

constexpr auto lastMemberState = static_cast<std::uint8_t>(MemberState::Left);
constexpr auto lastServerState = static_cast<std::uint8_t>(ServerState::Gone);

struct MalformedValue : std::runtime_error {
    using std::runtime_error::runtime_error;
};

template <typename Archive, typename Enum>
void serializeEnum(Archive& archive, Enum& value, std::uint8_t last)
{
    auto raw = static_cast<std::uint8_t>(value);
    archive(raw);
    if (raw > last)
        throw MalformedValue("enumerator out of range");
    value = static_cast<Enum>(raw);
}

class WireCategory : public std::error_category {
public:
    const char* name() const noexcept override { return "wire"; }
    std::string message(int value) const override
    {
        switch (static_cast<WireError>(value)) {
        case WireError::Truncated:
            return "message is truncated";
        case WireError::Oversized:
            return "message exceeds a size limit";
        case WireError::UnknownVersion:
            return "message has an unknown protocol version";
        case WireError::UnknownKind:
            return "message is of an unknown kind";
        case WireError::Malformed:
            return "message is malformed";
        }
        return "unknown wire error";
    }
};

} // namespace

std::error_code make_error_code(WireError error)
{
    static const WireCategory category;
    return {static_cast<int>(error), category};
}

namespace {

// Most addresses of a node have the same host, so a host equal to that of the peer address is omitted.
template <typename Archive>
void serializeRelativeToPeer(Archive& archive, Support::Endpoint& endpoint, const Support::Endpoint& peer)
{
    bool hasOtherHost = endpoint.host != peer.host;
    archive(hasOtherHost);
    if (hasOtherHost)
        serializeText(archive, endpoint.host, maximumHostBytes);
    else
        endpoint.host = peer.host;
    archive(endpoint.port);
}

} // namespace

template <typename Archive>
void serialize(Archive& archive, ServerRecord& record)
{
    serializeText(archive, record.service, maximumNameBytes);
    archive(record.slots);
    serializeEnum(archive, record.state, lastServerState);
}

template <typename Archive>
void serialize(Archive& archive, MemberRecord& record)
{
    serializeText(archive, record.node, maximumNameBytes);
    archive(record.incarnation, record.version);
    serializeEnum(archive, record.state, lastMemberState);
    archive(record.peer);
    serializeRelativeToPeer(archive, record.admin, record.peer);
    serializeText(archive, record.domain, maximumNameBytes);
    serializeText(archive, record.region, maximumNameBytes);
    serializeList(archive, record.servers, maximumServersPerMember);
    for (auto& server : record.servers)
        serializeRelativeToPeer(archive, server.address, record.peer);
}

template <typename Archive>
void serialize(Archive& archive, StateUpdate& update)
{
    archive(update.node, update.fingerprint, update.version);
    serializeEnum(archive, update.state, lastMemberState);
}

template <typename Archive>
void serialize(Archive& archive, Envelope& envelope)
{
    serializeText(archive, envelope.sender, maximumNameBytes);
    archive(envelope.time, envelope.generation);
}

template <typename Archive>
void serialize(Archive& archive, Ping& ping)
{
    archive(ping.sequence);
    serializeText(archive, ping.target, maximumNameBytes);
}

template <typename Archive>
void serialize(Archive& archive, Ack& ack)
{
    archive(ack.sequence);
    serializeText(archive, ack.subject, maximumNameBytes);
}

template <typename Archive>
void serialize(Archive& archive, PingRequest& request)
{
    archive(request.sequence);
    serializeText(archive, request.target, maximumNameBytes);
}

template <typename Archive>
void serialize(Archive& archive, Digest& digest)
{
    for (auto& bucket : digest.buckets)
        archive(bucket);
    archive(digest.liveCount, digest.isReply);
}

template <typename Archive>
void serialize(Archive&, Records&)
{
}

template <typename Archive>
void serialize(Archive& archive, LoadProbe& probe)
{
    archive(probe.sequence, probe.server);
}

template <typename Archive>
void serialize(Archive& archive, LoadReport& report)
{
    auto& stamp = report.stamp;
    archive(report.sequence, stamp.running, stamp.queued, stamp.limit, stamp.waitMicros, report.slowdownPermille);
}

namespace {

template <typename Archive, std::size_t... Indices>
void loadPayload(Archive& archive, std::size_t kind, Payload& payload, std::index_sequence<Indices...>)
{
    ((kind == Indices ? archive(payload.emplace<Indices>()) : archive), ...);
}

template <typename Value>
std::string encodeValue(Value value)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
    return std::move(stream).str();
}

void loadMessage(cereal::PortableBinaryInputArchive& archive, Message& message)
{
    std::uint8_t kind = 0;
    archive(message.envelope, kind);
    if (kind >= std::variant_size_v<Payload>)
        throw std::system_error(make_error_code(WireError::UnknownKind));
    loadPayload(archive, kind, message.payload, std::make_index_sequence<std::variant_size_v<Payload>>());
    serializeList(archive, message.updates, maximumRecordsPerMessage);
    serializeList(archive, message.states, maximumStatesPerMessage);
}

} // namespace

std::vector<std::uint8_t> encode(const Message& message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        Message copy = message;
        auto kind = static_cast<std::uint8_t>(message.payload.index());
        std::uint8_t version = protocolVersion;
        archive(version, copy.envelope, kind);
        std::visit([&](auto& payload) { archive(payload); }, copy.payload);
        serializeList(archive, copy.updates, maximumRecordsPerMessage);
        serializeList(archive, copy.states, maximumStatesPerMessage);
    }
    auto text = std::move(stream).str();
    return {text.begin(), text.end()};
}

std::size_t encodedSize(const MemberRecord& record)
{
    return encodeValue(record).size();
}

std::uint32_t nameHash(const std::string& name)
{
    return Support::stableHash(name);
}

std::uint32_t fingerprint(const MemberRecord& record)
{
    MemberRecord content = record;
    content.version = 0;
    content.state = MemberState::Alive;
    return Support::stableHash(encodeValue(std::move(content)));
}

namespace {

// Checks the version, runs the reader on the rest, and converts exceptions to WireError codes.
template <typename Reader>
std::error_code decodeVersioned(std::string bytes, Reader reader)
{
    try {
        std::istringstream stream(std::move(bytes));
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint8_t version = 0;
        archive(version);
        if (version != protocolVersion)
            return WireError::UnknownVersion;
        reader(archive);
    } catch (const SizeLimitExceeded&) {
        return WireError::Oversized;
    } catch (const MalformedValue&) {
        return WireError::Malformed;
    } catch (const std::system_error& error) {
        return error.code();
    } catch (const cereal::Exception&) {
        return WireError::Truncated;
    }
    return {};
}

} // namespace

std::string encodeTable(const std::vector<MemberRecord>& records)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        auto copy = records;
        std::uint8_t version = protocolVersion;
        archive(version);
        serializeList(archive, copy, maximumMembers);
    }
    return Support::compress(std::move(stream).str());
}

std::error_code decodeTable(const std::string& bytes, std::vector<MemberRecord>& records)
{
    auto text = Support::decompress(bytes, maximumTableBytes);
    if (!text)
        return WireError::Malformed;
    return decodeVersioned(std::move(*text), [&](auto& archive) { serializeList(archive, records, maximumMembers); });
}

std::error_code decode(std::span<const std::uint8_t> bytes, Message& message)
{
    if (bytes.size() > maximumDatagramBytes)
        return WireError::Oversized;
    return decodeVersioned({bytes.begin(), bytes.end()}, [&](auto& archive) { loadMessage(archive, message); });
}

} // namespace balsamreel::Wire
