#include "balsamreel/Relay/PeerMessages.h"
#include "balsamreel/Relay/AttemptCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace balsamreel::Relay {

namespace {

std::optional<PeerMessage> roundTrip(const PeerMessage& message)
{
    auto frame = encodeFrame(message);
    EXPECT_EQ(frameLength(frame), frame.size() - frameHeaderBytes);
    return decodeFrame(std::string_view(frame).substr(frameHeaderBytes));
}

} // namespace

RC_GTEST_PROP(PeerMessages, RoundTripsAttemptRequests, ())
{
    AttemptRequest offer;
    offer.serial = *rc::gen::arbitrary<std::uint64_t>();
    offer.instance = *rc::gen::arbitrary<std::string>();
    offer.timeoutMicros = *rc::gen::arbitrary<std::uint32_t>();
    offer.isIdempotent = *rc::gen::arbitrary<bool>();
    offer.request.target = *rc::gen::arbitrary<std::string>();
    offer.request.body = *rc::gen::arbitrary<std::string>();
    offer.request.headers.push_back({*rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::string>()});
    AttemptEncoder encoder;
    AttemptDecoder decoder;
    auto encoded = encoder.encode(offer);
    auto context = roundTrip(*encoded.definition);
    auto back = roundTrip(encoded.request);
    RC_ASSERT(context.has_value());
    RC_ASSERT(back.has_value());
    RC_ASSERT(decoder.define(std::get<ContextDefinition>(std::move(*context))));
    auto decoded = decoder.decode(std::get<CompactAttemptRequest>(std::move(*back)));
    RC_ASSERT(decoded.has_value());
    const auto& read = *decoded;
    RC_ASSERT(read.serial == offer.serial);
    RC_ASSERT(read.instance == offer.instance);
    RC_ASSERT(read.timeoutMicros == offer.timeoutMicros);
    RC_ASSERT(read.isIdempotent == offer.isIdempotent);
    RC_ASSERT(read.request.target == offer.request.target);
    RC_ASSERT(read.request.body == offer.request.body);
    RC_ASSERT(read.request.headers == offer.request.headers);
}

TEST(PeerMessages, RoundTripsAttemptReplies)
{
    AttemptReply result{7, NotRun{Reason::Overloaded, Duration(1234), true}, {1, 2, 3, 4}};
    auto back = roundTrip(result);
    ASSERT_TRUE(back);
    const auto& refused = std::get<NotRun>(std::get<AttemptReply>(*back).outcome);
    EXPECT_EQ(refused.reason, Reason::Overloaded);
    EXPECT_EQ(refused.expectedWait, Duration(1234));
    EXPECT_TRUE(refused.hasReachedServer);
    EXPECT_EQ(std::get<AttemptReply>(*back).stamp, result.stamp);
}

RC_GTEST_PROP(PeerMessages, DecodesOrRejectsArbitraryBytes, ())
{
    auto bytes = *rc::gen::arbitrary<std::string>();
    decodeFrame(bytes);
}

RC_GTEST_PROP(PeerMessages, RejectsTruncatedFrames, ())
{
    PeerList list;
    list.peers.resize(3, {"node", {"10.0.0.1", 1}, "a"});
    auto content = encodeFrame(list).substr(frameHeaderBytes);
    auto length = *rc::gen::inRange<std::size_t>(0, content.size());
    RC_ASSERT(!decodeFrame(std::string_view(content).substr(0, length)));
}

} // namespace balsamreel::Relay
