#include "balsamreel/Relay/PeerMessages.h"

#include "balsamreel/Wire/Bounded.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/variant.hpp>

#include <limits>
#include <sstream>

namespace balsamreel::Wire {

template <typename Archive>
void serialize(Archive& archive, LoadStamp& stamp)
{
    archive(stamp.running, stamp.queued, stamp.limit, stamp.waitMicros);
}

} // namespace balsamreel::Wire

namespace balsamreel::Quota {

template <typename Archive>
void serialize(Archive& archive, TokenRequest& request)
{
    archive(request.serial, request.count);
    Wire::serializeText(archive, request.account, std::numeric_limits<std::uint16_t>::max());
}

template <typename Archive>
void serialize(Archive& archive, TokenReply& reply)
{
    archive(reply.serial, reply.count, reply.waitMicros);
    Wire::serializeText(archive, reply.account, std::numeric_limits<std::uint16_t>::max());
}

} // namespace balsamreel::Quota

namespace balsamreel::Relay {

namespace {

constexpr std::size_t maximumShortLength = std::numeric_limits<std::uint16_t>::max();

/// Serializes names, ids and addresses.
template <typename Archive>
void shortText(Archive& archive, std::string& text)
{
    Wire::serializeText(archive, text, maximumShortLength);
}

/// Serializes texts whose length callers and servers choose.
template <typename Archive>
void longText(Archive& archive, std::string& text)
{
    auto size = static_cast<std::uint32_t>(text.size());
    archive(size);
    if (size > maximumFrameBytes)
        throw Wire::SizeLimitExceeded();
    text.resize(size);
    archive(cereal::binary_data(text.data(), text.size()));
}

template <typename Archive>
void endpoint(Archive& archive, Support::Endpoint& address)
{
    shortText(archive, address.host);
    archive(address.port);
}

template <typename Archive>
void headerList(Archive& archive, std::vector<Header>& headers)
{
    Wire::serializeList(archive, headers, maximumShortLength);
}

} // namespace

template <typename Archive>
void serialize(Archive& archive, Header& header)
{
    shortText(archive, header.name);
    longText(archive, header.value);
}

template <typename Archive>
void serialize(Archive& archive, NodeRecord& record)
{
    shortText(archive, record.name);
    endpoint(archive, record.peerAddress);
    shortText(archive, record.domain);
}

template <typename Archive>
void serialize(Archive& archive, ServerStatus& status)
{
    shortText(archive, status.service);
    shortText(archive, status.instance);
    endpoint(archive, status.address);
    archive(status.slots, status.isCold);
}

template <typename Archive>
void serialize(Archive& archive, Hello& hello)
{
    archive(hello.protocol, hello.sender, hello.incarnation, hello.configVersion, hello.isFollowingStore, hello.status);
}

template <typename Archive>
void serialize(Archive& archive, StatusUpdate& update)
{
    archive(update.status);
}

template <typename Archive>
void serialize(Archive& archive, SlowdownUpdate& update)
{
    archive(update.isSlowed);
}

template <typename Archive>
void serialize(Archive& archive, StateQuery& query)
{
    archive(query.configVersion);
}

template <typename Archive>
void serialize(Archive& archive, VersionUpdate& update)
{
    archive(update.configVersion, update.storeEra);
}

template <typename Archive>
void serialize(Archive& archive, FollowingUpdate& update)
{
    archive(update.isFollowingStore);
}

template <typename Archive>
void serialize(Archive& archive, ConfigQuery& query)
{
    archive(query.configVersion);
}

template <typename Archive>
void serialize(Archive& archive, PeerList& list)
{
    Wire::serializeList(archive, list.peers, maximumShortLength);
}

template <typename Archive>
void serialize(Archive& archive, ConfigDocument& document)
{
    archive(document.configVersion);
    longText(archive, document.compressedText);
}

template <typename Archive>
void serialize(Archive& archive, EvacuationUpdate& update)
{
    auto& [position, domains] = update.document;
    archive(position.era, position.revision);
    std::vector<std::string> names(domains.begin(), domains.end());
    names.resize(Wire::serializeSize(archive, names.size(), maximumShortLength));
    for (auto& name : names)
        shortText(archive, name);
    domains = {names.begin(), names.end()};
}

template <typename Archive>
void serialize(Archive& archive, ContextDefinition& definition)
{
    auto& context = definition.context;
    archive(definition.slot, context.priority, context.isIdempotent);
    shortText(archive, context.instance);
    shortText(archive, context.route);
    shortText(archive, context.originService);
    shortText(archive, context.method);
    longText(archive, context.host);
    headerList(archive, context.headers);
}

template <typename Archive>
void serialize(Archive& archive, CompactAttemptRequest& request)
{
    archive(request.serial, request.contextSlot, request.canGoElsewhere, request.timeoutMicros, request.latencyTargetMicros);
    longText(archive, request.callerAttemptId);
    longText(archive, request.account);
    longText(archive, request.target);
    longText(archive, request.body);
}

template <typename Archive>
void serialize(Archive& archive, LongAttemptRequest& message)
{
    archive(message.request, message.bodyBytes);
}

template <typename Archive>
void serialize(Archive& archive, BodyPart& part)
{
    archive(part.serial);
    longText(archive, part.bytes);
}

template <typename Archive>
void serialize(Archive& archive, ServerResponse& response)
{
    archive(response.status);
    headerList(archive, response.headers);
    auto body = response.body.text();
    longText(archive, body);
    if constexpr (Archive::is_loading::value)
        response.body = Body(std::move(body));
}

template <typename Archive>
void save(Archive& archive, const NotRun& outcome)
{
    archive(static_cast<std::uint8_t>(outcome.reason), static_cast<std::int64_t>(outcome.expectedWait.count()), outcome.hasReachedServer);
}

template <typename Archive>
void load(Archive& archive, NotRun& outcome)
{
    std::uint8_t reason = 0;
    std::int64_t wait = 0;
    archive(reason, wait, outcome.hasReachedServer);
    outcome.reason = static_cast<Reason>(reason);
    outcome.expectedWait = Duration(wait);
}

template <typename Archive>
void save(Archive& archive, const Unknown& outcome)
{
    archive(static_cast<std::uint8_t>(outcome.reason));
}

template <typename Archive>
void load(Archive& archive, Unknown& outcome)
{
    std::uint8_t reason = 0;
    archive(reason);
    outcome.reason = static_cast<Reason>(reason);
}

template <typename Archive>
void serialize(Archive& archive, AttemptReply& reply)
{
    archive(reply.serial, reply.outcome, reply.stamp);
}

template <typename Archive>
void serialize(Archive& archive, LongAttemptReply& message)
{
    archive(message.reply, message.bodyBytes);
}

template <typename Archive>
void serialize(Archive& archive, Cancel& cancel)
{
    archive(cancel.serial);
}

template <typename Archive>
void serialize(Archive& archive, OutcomeQuery& query)
{
    archive(query.senderIncarnation, query.serial, query.timeoutMicros);
}

template <typename Archive>
void serialize(Archive& /*archive*/, Ping& /*ping*/)
{
}

template <typename Archive>
void serialize(Archive& /*archive*/, Pong& /*pong*/)
{
}

std::string encodeFrame(const PeerMessage& message)
{
    std::ostringstream stream;
    stream.write("\0\0\0\0", frameHeaderBytes);
    cereal::BinaryOutputArchive archive(stream);
    archive(message);
    auto frame = std::move(stream).str();
    auto length = static_cast<std::uint32_t>(frame.size() - frameHeaderBytes);
    for (std::size_t index = 0; index < frameHeaderBytes; ++index)
        frame[index] = static_cast<char>((length >> (8 * index)) & 0xffU);
    return frame;
}

std::optional<std::size_t> frameLength(std::string_view header, std::size_t limit)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < frameHeaderBytes; ++index)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(header[index])) << (8 * index);
    if (length > limit)
        return std::nullopt;
    return length;
}

std::optional<PeerMessage> decodeFrame(std::string_view content)
{
    std::istringstream stream{std::string(content)};
    PeerMessage message;
    try {
        cereal::BinaryInputArchive archive(stream);
        archive(message);
    } catch (const std::exception&) {
        // Sizes inside the frame are untrusted: cereal throws if bytes are missing, containers if they can't hold a size.
        return std::nullopt;
    }
    return message;
}

} // namespace balsamreel::Relay
