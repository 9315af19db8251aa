// Round trips of messages and headers, and decoding of invalid bytes.
#include "balsamreel/Wire/Messages.h"
#include "balsamreel/Wire/Errors.h"
#include "balsamreel/Wire/Headers.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace balsamreel::Wire {
namespace {

Message sampleMessage()
{
    MemberRecord record;
    record.node = "a-1";
    record.incarnation = 7;
    record.peer = {"127.0.0.1", 9};
    record.servers.push_back({"catalog", {"127.0.0.1", 10}, 9, ServerState::Ready});
    return {{"a-0", {5, 1}, 3}, Ping{4, "a-1"}, {record}, {{7, 8, 9, MemberState::Dead}}};
}

TEST(Messages, RoundTrip)
{
    auto bytes = encode(sampleMessage());
    Message decoded;
    ASSERT_FALSE(decode(bytes, decoded));
    EXPECT_EQ(decoded.updates, sampleMessage().updates);
    EXPECT_EQ(std::get<Ping>(decoded.payload).target, "a-1");
    EXPECT_EQ(decoded.envelope.generation, 3U);
    ASSERT_EQ(decoded.states.size(), 1U);
    EXPECT_EQ(decoded.states.front().version, 9U);
    EXPECT_EQ(decoded.states.front().state, MemberState::Dead);
}

TEST(Messages, TablesRoundTripAndTruncatedTablesAreRejected)
{
    auto text = encodeTable(sampleMessage().updates);
    std::vector<MemberRecord> records;
    ASSERT_FALSE(decodeTable(text, records));
    EXPECT_EQ(records, sampleMessage().updates);
    for (std::size_t size = 0; size < text.size() / 2; ++size)
        EXPECT_TRUE(decodeTable(text.substr(0, size), records)) << size;
}

TEST(Messages, ATableOfTheTargetSizeFitsItsBudget)
{
    std::vector<MemberRecord> records;
    for (unsigned index = 0; index < 1400; ++index) {
        auto host = "10.20." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
        MemberRecord record{"server-" + std::to_string(index), 1'790'000'000'000'000 + index * 7'919'003ULL, index % 5, MemberState::Alive, {host, 7101}, {host, 7102}, "domain-" + std::to_string(index % 6), "region-" + std::to_string(index % 2), {}};
        record.servers.push_back({"service-" + std::to_string(index / 10), {host, 8080}, 9, ServerState::Ready});
        records.push_back(record);
    }
    auto text = encodeTable(records);
    RecordProperty("record_bytes", static_cast<int>(encodedSize(records.back())));
    RecordProperty("table_bytes", static_cast<int>(text.size()));
    EXPECT_LT(text.size(), 40'000U);
    std::vector<MemberRecord> decoded;
    ASSERT_FALSE(decodeTable(text, decoded));
    EXPECT_EQ(decoded, records);
}

TEST(Messages, FingerprintIgnoresVersionAndState)
{
    auto record = sampleMessage().updates.front();
    auto other = record;
    other.version = 5;
    other.state = MemberState::Suspect;
    EXPECT_EQ(fingerprint(record), fingerprint(other));
    other.servers.front().state = ServerState::Draining;
    EXPECT_NE(fingerprint(record), fingerprint(other));
}

TEST(Messages, LoadProbesRoundTrip)
{
    auto message = sampleMessage();
    Message decoded;
    message.payload = LoadProbe{9, {"127.0.0.1", 10}};
    ASSERT_FALSE(decode(encode(message), decoded));
    EXPECT_EQ(std::get<LoadProbe>(decoded.payload).server.port, 10);
    message.payload = LoadReport{9, {1, 2, 3, 4}, 1500};
    ASSERT_FALSE(decode(encode(message), decoded));
    EXPECT_EQ(std::get<LoadReport>(decoded.payload).stamp, (LoadStamp{1, 2, 3, 4}));
    EXPECT_EQ(std::get<LoadReport>(decoded.payload).slowdownPermille, 1500U);
}

TEST(Messages, RejectsEveryTruncation)
{
    for (const Payload& payload : {Payload(Ping{4, "a-1"}), Payload(LoadProbe{9, {"127.0.0.1", 10}}), Payload(LoadReport{9, {1, 2, 3, 4}, 1500})}) {
        auto message = sampleMessage();
        message.payload = payload;
        auto bytes = encode(message);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            Message decoded;
            EXPECT_TRUE(decode({bytes.data(), size}, decoded)) << size;
        }
    }
}

TEST(Messages, ArbitraryBytesNeverThrowOrExhaustMemory)
{
    EXPECT_TRUE(rc::check([](std::vector<std::uint8_t> bytes) {
        if (!bytes.empty() && bytes[0] % 2 == 0)
            bytes[0] = protocolVersion;
        Message decoded;
        (void)decode(bytes, decoded);
    }));
}

TEST(Headers, LoadStampAndAttemptIdRoundTrip)
{
    LoadStamp stamp{1, 2, 3, 4};
    EXPECT_EQ(parseLoadStamp(stamp.text()), stamp);
    AttemptId id{255, 16};
    EXPECT_EQ(parseAttemptId(id.text()), id);
    for (const char* bad : {"", "1/2/3", "1/2/3/4/5", "a/2/3/4", "1/2/3/-4"})
        EXPECT_FALSE(parseLoadStamp(bad)) << bad;
    for (const char* bad : {"", "-", "1-", "-1", "1-x", "11111111111111111-1"})
        EXPECT_FALSE(parseAttemptId(bad)) << bad;
}

} // namespace
} // namespace balsamreel::Wire
