#include "balsamreel/Relay/PeerMessages.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace balsamreel::Wire {

template <typename Archive>
void serialize(Archive& archive, LoadStamp& stamp)
{
    archive(stamp.running, stamp.queued, stamp.limit, stamp.waitMicros);
}

} // namespace balsamreel::Wire

namespace balsamreel::Relay {

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
void serialize(Archive& archive, OfferResult& result)
{
    archive(result.serial, result.outcome, result.stamp);
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

std::optional<std::size_t> frameLength(std::string_view header)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < frameHeaderBytes; ++index)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(header[index])) << (8 * index);
    if (length > maximumFrameBytes)
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
        // Sizes inside are untrusted: cereal reports too few bytes, the containers sizes they can't take.
        return std::nullopt;
    }
    return message;
}

} // namespace balsamreel::Relay
