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
    AttemptRequest sent;
    sent.serial = *rc::gen::arbitrary<std::uint64_t>();
    sent.instance = *rc::gen::arbitrary<std::string>();
    sent.timeoutMicros = *rc::gen::arbitrary<std::uint32_t>();
    sent.isIdempotent = *rc::gen::arbitrary<bool>();
    sent.request.target = *rc::gen::arbitrary<std::string>();
    sent.request.body = *rc::gen::arbitrary<std::string>();
    sent.request.headers.push_back({*rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::string>()});
    AttemptEncoder encoder;
    AttemptDecoder decoder;
    auto encoded = encoder.encode(sent);
    auto context = roundTrip(*encoded.definition);
    auto compact = roundTrip(encoded.request);
    RC_ASSERT(context.has_value());
    RC_ASSERT(compact.has_value());
    RC_ASSERT(decoder.define(std::get<ContextDefinition>(std::move(*context))));
    auto decoded = decoder.decode(std::get<CompactAttemptRequest>(std::move(*compact)));
    RC_ASSERT(decoded.has_value());
    const auto& received = *decoded;
    RC_ASSERT(received.serial == sent.serial);
    RC_ASSERT(received.instance == sent.instance);
    RC_ASSERT(received.timeoutMicros == sent.timeoutMicros);
    RC_ASSERT(received.isIdempotent == sent.isIdempotent);
    RC_ASSERT(received.request.target == sent.request.target);
    RC_ASSERT(received.request.body == sent.request.body);
    RC_ASSERT(received.request.headers == sent.request.headers);
}

TEST(PeerMessages, RoundTripsEvacuations)
{
    auto back = roundTrip(EvacuationUpdate{{{2, 1ULL << 40U}, {"digha", "puri"}}});
    ASSERT_TRUE(back);
    const auto& document = std::get<EvacuationUpdate>(*back).document;
    EXPECT_EQ(document.position, (StorePosition{2, 1ULL << 40U}));
    EXPECT_EQ(document.domains, (std::set<std::string>{"digha", "puri"}));
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
