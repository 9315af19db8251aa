#include "balsamreel/AtMostOnce/Claims.h"
#include "balsamreel/Wire/Bounded.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace balsamreel::Wire {

template <typename Archive>
void serialize(Archive& archive, AttemptId& id)
{
    archive(id.incarnation, id.counter);
}

} // namespace balsamreel::Wire

namespace balsamreel::AtMostOnce {

namespace {

constexpr std::uint8_t formatVersion = 1;
constexpr std::size_t maximumClaims = 100'000;
constexpr std::size_t maximumHeaders = 64;

struct MalformedValue : std::runtime_error {
    using std::runtime_error::runtime_error;
};

template <typename Archive, typename Enum>
void serializeEnum(Archive& archive, Enum& value, Enum last)
{
    auto raw = static_cast<std::uint8_t>(value);
    archive(raw);
    if (raw > static_cast<std::uint8_t>(last))
        throw MalformedValue("enumerator out of range");
    value = static_cast<Enum>(raw);
}

struct Header {
    std::string name;
    std::string value;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        Wire::serializeText(archive, name, maximumClaimResponseBytes);
        Wire::serializeText(archive, value, maximumClaimResponseBytes);
    }
};

template <typename Archive>
void serializeResponse(Archive& archive, std::optional<RetainedResponse>& response)
{
    bool hasResponse = response.has_value();
    archive(hasResponse);
    if (!hasResponse)
        return;
    if (!response)
        response.emplace();
    std::vector<Header> headers;
    for (const auto& [name, value] : response->headers)
        headers.push_back({name, value});
    archive(response->status);
    Wire::serializeList(archive, headers, maximumHeaders);
    Wire::serializeText(archive, response->body, maximumClaimResponseBytes);
    response->headers.clear();
    for (auto& header : headers)
        response->headers.emplace_back(std::move(header.name), std::move(header.value));
}

} // namespace

template <typename Archive>
void serialize(Archive& archive, Claim& claim)
{
    archive(claim.token);
    serializeEnum(archive, claim.state, ClaimState::Unknown);
    archive(claim.fingerprint, claim.deadline, claim.expiry);
    serializeResponse(archive, claim.answer);
}

template <typename Archive>
void serialize(Archive& archive, ClaimRequest& request)
{
    Wire::serializeText(archive, request.key, maximumKeyBytes);
    archive(request.token, request.fingerprint, request.deadline);
}

template <typename Archive>
void serialize(Archive& archive, Completion& completion)
{
    Wire::serializeText(archive, completion.key, maximumKeyBytes);
    archive(completion.token);
    serializeEnum(archive, completion.state, ClaimState::Unknown);
    serializeResponse(archive, completion.answer);
}

template <typename Archive>
void serialize(Archive& archive, ClaimReply& reply)
{
    serializeEnum(archive, reply.result, ClaimResult::Unavailable);
    serializeResponse(archive, reply.answer);
}

template <typename Archive>
void serialize(Archive& archive, ClaimMap& claims)
{
    auto count = Wire::serializeSize(archive, claims.size(), maximumClaims);
    if constexpr (Archive::is_loading::value) {
        for (std::size_t index = 0; index < count; ++index) {
            std::string key;
            Wire::serializeText(archive, key, maximumKeyBytes);
            archive(claims[key]);
        }
    } else {
        for (auto& [key, claim] : claims) {
            auto copy = key;
            Wire::serializeText(archive, copy, maximumKeyBytes);
            archive(claim);
        }
    }
}

namespace {

template <typename Value>
std::string encode(Value value)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(formatVersion);
    serialize(archive, value);
    return std::move(stream).str();
}

template <typename Value>
std::optional<Value> decode(const std::string& text)
{
    try {
        std::istringstream stream(text);
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint8_t version = 0;
        archive(version);
        if (version != formatVersion)
            return std::nullopt;
        Value value;
        serialize(archive, value);
        return value;
    } catch (const std::runtime_error&) {
        return std::nullopt;
    }
}

} // namespace

std::string encodeClaims(const ClaimMap& claims)
{
    return encode(claims);
}

std::optional<ClaimMap> decodeClaims(const std::string& text)
{
    return decode<ClaimMap>(text);
}

std::string encodeRequest(const ClaimRequest& request)
{
    return encode(request);
}

std::optional<ClaimRequest> decodeRequest(const std::string& text)
{
    return decode<ClaimRequest>(text);
}

std::string encodeCompletion(const Completion& completion)
{
    return encode(completion);
}

std::optional<Completion> decodeCompletion(const std::string& text)
{
    return decode<Completion>(text);
}

std::string encodeReply(const ClaimReply& reply)
{
    return encode(reply);
}

std::optional<ClaimReply> decodeReply(const std::string& text)
{
    return decode<ClaimReply>(text);
}

} // namespace balsamreel::AtMostOnce
