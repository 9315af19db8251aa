#include "balsamreel/Relay/AttemptCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Relay {

namespace {

// A lookup as a caller sends it.
AttemptRequest lookup(std::uint64_t serial, const std::string& route)
{
    AttemptRequest offer;
    offer.serial = serial;
    offer.instance = "i-0123456789";
    offer.route = route;
    offer.originService = "service";
    offer.timeoutMicros = 1'000'000;
    offer.request = {"0123456789abcdef", "GET", "/prefix/item", "a.example", {{"User-Agent", "client/1.0.0"}, {"Accept", "*/*"}, {"Accept-Encoding", "identity"}}, ""};
    return offer;
}

std::size_t frameBytes(const AttemptEncoder::Encoded& encoded)
{
    auto bytes = encodeFrame(encoded.request).size();
    return encoded.definition ? bytes + encodeFrame(*encoded.definition).size() : bytes;
}

} // namespace

TEST(AttemptCodec, SendsTheSharedContextOnce)
{
    // Half of the 284 bytes that such an offer takes in full.
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
        auto offer = lookup(++serial, std::to_string(route));
        auto encoded = encoder.encode(offer);
        if (encoded.definition)
            RC_ASSERT(decoder.define(std::move(*encoded.definition)));
        auto decoded = decoder.decode(std::move(encoded.request));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->route == offer.route);
        RC_ASSERT(decoded->serial == offer.serial);
        RC_ASSERT(decoded->request.headers == offer.request.headers);
        RC_ASSERT(decoded->request.target == offer.request.target);
    }
}

TEST(AttemptCodec, RejectsUndefinedSlots)
{
    AttemptDecoder decoder;
    EXPECT_FALSE(decoder.decode(CompactAttemptRequest{}));
    EXPECT_FALSE(decoder.define({static_cast<std::uint8_t>(contextSlotCount), {}}));
}

} // namespace balsamreel::Relay
