#include "balsamreel/Relay/AttemptCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Relay {

namespace {

// Returns a typical lookup request of a caller.
AttemptRequest lookup(std::uint64_t serial, const std::string& route)
{
    AttemptRequest request;
    request.serial = serial;
    request.instance = "i-0123456789";
    request.route = route;
    request.originService = "service";
    request.timeoutMicros = 1'000'000;
    request.request = {"0123456789abcdef", "GET", "/prefix/item", "a.example", {{"User-Agent", "client/1.0.0"}, {"Accept", "*/*"}, {"Accept-Encoding", "identity"}}, {}};
    return request;
}

std::size_t frameBytes(const AttemptEncoder::Encoded& encoded)
{
    auto bytes = encodeFrame(encoded.request).size();
    return encoded.definition ? bytes + encodeFrame(*encoded.definition).size() : bytes;
}

} // namespace

TEST(AttemptCodec, SendsTheSharedContextOnce)
{
    // Half of the 284 bytes that this request takes in its full form.
    constexpr std::size_t maximumBytes = 142;
    AttemptEncoder encoder;
    EXPECT_TRUE(encoder.encode(lookup(1, "r-1")).definition);
    auto second = encoder.encode(lookup(2, "r-1"));
    EXPECT_FALSE(second.definition);
    EXPECT_LE(frameBytes(second), maximumBytes);
}

RC_GTEST_PROP(AttemptCodec, RoundTripsMoreContextsThanSlots, ())
{
    AttemptEncoder encoder;
    AttemptDecoder decoder;
    auto routes = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, static_cast<int>(2 * contextSlotCount)));
    std::uint64_t serial = 0;
    for (int route : routes) {
        auto request = lookup(++serial, std::to_string(route));
        auto encoded = encoder.encode(request);
        if (encoded.definition)
            RC_ASSERT(decoder.define(std::move(*encoded.definition)));
        auto decoded = decoder.decode(std::move(encoded.request));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->route == request.route);
        RC_ASSERT(decoded->serial == request.serial);
        RC_ASSERT(decoded->request.headers == request.request.headers);
        RC_ASSERT(decoded->request.target == request.request.target);
    }
}

TEST(AttemptCodec, RejectsUndefinedSlots)
{
    AttemptDecoder decoder;
    EXPECT_FALSE(decoder.decode(CompactAttemptRequest{}));
    EXPECT_FALSE(decoder.define({static_cast<std::uint8_t>(contextSlotCount), {}}));
}

// Callers choose the headers, so long ones must not stay in the slots of all connections.
TEST(AttemptCodec, DropsALongContextAfterItsRequest)
{
    AttemptEncoder encoder;
    AttemptDecoder decoder;
    auto request = lookup(1, "route");
    request.request.headers.push_back({"X-Long", std::string(maximumKeptContextBytes, 'x')});
    for (int round = 0; round < 2; ++round) {
        auto encoded = encoder.encode(request);
        ASSERT_TRUE(encoded.definition);
        EXPECT_EQ(encoded.request.contextSlot, oneTimeSlot);
        ASSERT_TRUE(decoder.define(std::move(*encoded.definition)));
        auto again = encoded.request;
        auto decoded = decoder.decode(std::move(encoded.request));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->request.headers, request.request.headers);
        EXPECT_FALSE(decoder.decode(std::move(again)));
    }
}

} // namespace balsamreel::Relay
