#include "balsamreel/Relay/RequestPipeline.h"

#include "balsamreel/Relay/HttpText.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace balsamreel::Relay {

namespace {

CallerLimits limits()
{
    CallerLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 5000;
    return limits;
}

bool isView(const IncomingRequest& incoming)
{
    return incoming.request.target.starts_with("/view/");
}

RequestPipeline pipeline()
{
    return RequestPipeline({limits, isView});
}

std::string get(const std::string& target, const std::string& more = {})
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n{}\r\n", target, more);
}

std::string post(const std::string& target, const std::string& body)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nContent-Length: {}\r\n\r\n{}", target, body.size(), body);
}

std::string chunked(const std::string& target, const std::string& body)
{
    auto half = body.size() / 2;
    auto chunk = [](const std::string& part) { return part.empty() ? std::string() : fmt::format("{:x};e=1\r\n{}\r\n", part.size(), part); };
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n{}{}0\r\n\r\n", target, chunk(body.substr(0, half)), chunk(body.substr(half)));
}

std::vector<std::string> takeTargets(RequestPipeline& requests)
{
    std::vector<std::string> targets;
    while (auto next = requests.takeNext())
        targets.push_back(next->incoming.request.target);
    return targets;
}

/// A request and the response that is expected for it.
struct SentRequest {
    std::string bytes;
    std::string target;
    std::string body;

    ServerResponse response() const { return {200, {}, "answer to " + target + body}; }
};

SentRequest makeSentRequest(std::size_t index, unsigned kind, unsigned size)
{
    auto target = fmt::format("/{}/{}", kind % 4 == 3 ? "book" : "view", index);
    std::string body(size, static_cast<char>('a' + index % 26));
    if (kind % 4 == 0)
        return {get(target), target, {}};
    return {kind % 4 == 1 ? chunked(target, body) : post(target, body), target, body};
}

/// Drives a pipeline with random splits of the input and random orders of the responses, and checks it against processing
/// one request after the other.
struct PipelineDriver {
    RequestPipeline requests = pipeline();
    std::vector<SentRequest> sent;
    std::string unread;
    std::string written;
    std::map<RequestNumber, std::size_t> open; ///< index in sent
    std::size_t takenCount = 0;

    void sendBytes(std::size_t size)
    {
        size = requests.wantsInput() ? std::min(size, unread.size()) : 0;
        requests.receive(std::string_view(unread).substr(0, size));
        unread.erase(0, size);
    }

    void takeNext()
    {
        while (auto next = requests.takeNext()) {
            RC_ASSERT(takenCount < sent.size());
            const auto& expected = sent[takenCount];
            RC_ASSERT(next->incoming.request.target == expected.target);
            RC_ASSERT(next->incoming.request.body.text() == expected.body);
            bool isView = expected.target.starts_with("/view/");
            for (const auto& [number, index] : open)
                RC_ASSERT(isView && sent[index].target.starts_with("/view/"));
            open[next->number] = takenCount++;
        }
    }

    void respondToOne(std::size_t choice)
    {
        if (open.empty())
            return;
        auto entry = std::next(open.begin(), static_cast<std::ptrdiff_t>(choice % open.size()));
        requests.respond(entry->first, sent[entry->second].response(), false);
        open.erase(entry);
    }

    void step(unsigned action, std::size_t amount)
    {
        if (action % 4 == 0)
            sendBytes(amount);
        else if (action % 4 == 1)
            takeNext();
        else if (action % 4 == 2)
            respondToOne(amount);
        else
            written += requests.takeOutput();
    }

    bool isDone() const { return takenCount == sent.size() && open.empty() && unread.empty(); }
};

} // namespace

RC_GTEST_PROP(RequestPipelineTest, RespondsInRequestOrder, ())
{
    PipelineDriver driver;
    auto count = *rc::gen::inRange<std::size_t>(1, 40);
    std::string expected;
    for (std::size_t index = 0; index < count; ++index) {
        auto kind = *rc::gen::inRange(0U, 8U);
        auto size = *rc::gen::inRange(0U, 3000U);
        driver.sent.push_back(makeSentRequest(index, kind, size));
        driver.unread += driver.sent.back().bytes;
        expected += serializeResponse(driver.sent.back().response(), false, false);
    }
    auto actions = *rc::gen::container<std::vector<std::pair<unsigned, std::size_t>>>(rc::gen::pair(rc::gen::inRange(0U, 4U), rc::gen::inRange<std::size_t>(1, 4000)));
    for (const auto& [action, amount] : actions)
        driver.step(action, amount);
    for (std::size_t round = 0; !driver.isDone(); ++round) {
        RC_ASSERT(round < 100'000U);
        driver.step(static_cast<unsigned>(round), 1 + round % 97);
    }
    driver.written += driver.requests.takeOutput();
    RC_ASSERT(driver.written == expected);
    RC_ASSERT(!driver.requests.hasOpenRequests());
    RC_ASSERT(driver.requests.phase() == ReadPhase::Idle);
}

TEST(RequestPipelineTest, ReturnsTogetherOnlyConcurrentRequests)
{
    auto requests = pipeline();
    requests.receive(get("/view/1") + get("/view/2") + get("/book/3") + get("/view/4"));
    EXPECT_EQ(takeTargets(requests), (std::vector<std::string>{"/view/1", "/view/2"}));
    requests.respond(1, {200, {}, "one"}, false);
    EXPECT_TRUE(takeTargets(requests).empty()) << "the second request is still open";
    requests.respond(2, {200, {}, "two"}, false);
    EXPECT_EQ(takeTargets(requests), std::vector<std::string>{"/book/3"}) << "a request that may run only once runs alone";
    requests.respond(3, {200, {}, "three"}, false);
    EXPECT_EQ(takeTargets(requests), std::vector<std::string>{"/view/4"});
}

TEST(RequestPipelineTest, ReturnsNoRequestAfterConnectionClose)
{
    auto requests = pipeline();
    requests.receive(get("/view/1") + get("/view/2", "Connection: close\r\n") + get("/view/3"));
    EXPECT_EQ(takeTargets(requests), (std::vector<std::string>{"/view/1", "/view/2"}));
    requests.respond(2, {200, {}, "two"}, false);
    EXPECT_TRUE(requests.takeOutput().empty()) << "the first response is still missing";
    EXPECT_FALSE(requests.hasEnded());
    requests.respond(1, {200, {}, "one"}, false);
    EXPECT_TRUE(requests.hasEnded());
    EXPECT_TRUE(takeTargets(requests).empty());
    auto output = requests.takeOutput();
    EXPECT_LT(output.find("one"), output.find("Connection: close"));
    EXPECT_LT(output.find("Connection: close"), output.find("two"));
}

TEST(RequestPipelineTest, ShutdownRespondsToStartedRequestsAndReadsNoMore)
{
    auto requests = pipeline();
    requests.receive(get("/view/1") + get("/view/2"));
    EXPECT_EQ(takeTargets(requests).size(), 2U);
    requests.respond(1, {200, {}, "one"}, true);
    EXPECT_EQ(requests.takeOutput().find("Connection: close"), std::string::npos) << "the second response would be cut off";
    requests.receive(get("/view/3"));
    EXPECT_TRUE(takeTargets(requests).empty());
    requests.respond(2, {200, {}, "two"}, true);
    EXPECT_NE(requests.takeOutput().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(requests.hasEnded());
}

TEST(RequestPipelineTest, RejectionFollowsEarlierResponses)
{
    auto requests = pipeline();
    requests.receive(get("/view/1") + "GET /view/2 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" + get("/view/3"));
    EXPECT_EQ(takeTargets(requests), std::vector<std::string>{"/view/1"});
    EXPECT_TRUE(requests.takeOutput().empty());
    requests.respond(1, {200, {}, "one"}, false);
    auto output = requests.takeOutput();
    EXPECT_LT(output.find("one"), output.find("HTTP/1.1 400"));
    EXPECT_TRUE(requests.hasEnded());
    EXPECT_TRUE(takeTargets(requests).empty());
}

TEST(RequestPipelineTest, SendsContinueOnlyInRequestOrder)
{
    auto requests = pipeline();
    requests.receive(get("/view/1") + "POST /view/2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    EXPECT_EQ(takeTargets(requests), std::vector<std::string>{"/view/1"});
    requests.receive("");
    EXPECT_TRUE(requests.takeOutput().empty());
    requests.respond(1, {200, {}, "one"}, false);
    takeTargets(requests);
    auto output = requests.takeOutput();
    EXPECT_LT(output.find("one"), output.find("HTTP/1.1 100 Continue"));
    EXPECT_EQ(requests.phase(), ReadPhase::Body);
    requests.receive("ok");
    EXPECT_EQ(takeTargets(requests), std::vector<std::string>{"/view/2"});
}

TEST(RequestPipelineTest, BoundsBufferedPipelinedInput)
{
    constexpr std::size_t bound = 256 * 1024;
    auto requests = pipeline();
    std::size_t kept = 0;
    while (requests.wantsInput() && kept < bound) {
        auto bytes = post("/book/1", std::string(2000, 'x'));
        requests.receive(bytes);
        kept += bytes.size();
        requests.takeNext();
    }
    EXPECT_FALSE(requests.wantsInput());
    EXPECT_LT(kept, bound);
}

TEST(RequestPipelineTest, RejectsEndlessInputWithinBound)
{
    const std::string chunkedHead = "POST /view/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> endless{
        {"GET /view/", "x"},
        {"GET /view/1 HTTP/1.1\r\nHost: a\r\n", "X-More: 1\r\n"},
        {chunkedHead + "5;", "extension"},
        {chunkedHead + "0\r\n", "X-Trailer: 1\r\n"},
        {chunkedHead, "1;e=eeeeeeeeeeeeeeee\r\nx\r\n"},
        {"POST /view/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n", "body"},
    };
    for (const auto& [start, more] : endless) {
        auto requests = pipeline();
        requests.receive(start);
        std::size_t sent = 0;
        constexpr std::size_t bound = 1024 * 1024;
        while (!requests.hasEnded() && sent < bound) {
            requests.receive(more);
            sent += more.size();
        }
        EXPECT_TRUE(requests.hasEnded()) << start;
        EXPECT_FALSE(requests.takeNext()) << start;
        EXPECT_EQ(requests.takeOutput().substr(0, 10), "HTTP/1.1 4") << start;
    }
}

TEST(RequestPipeline, ReturnsALongResponseInPieces)
{
    auto requests = pipeline();
    requests.receive(get("/view/1"));
    auto next = requests.takeNext();
    ASSERT_TRUE(next);
    BodyReceiver receiver;
    receiver.append(std::string(1024 * 1024, 'x'), Support::monotonicNow());
    auto body = receiver.finish();
    requests.respond(next->number, {200, {}, body}, false);
    std::string written;
    for (auto piece = requests.takeOutput(); !piece.empty(); piece = requests.takeOutput()) {
        EXPECT_LT(piece.size(), 128U * 1024);
        written += piece;
    }
    EXPECT_EQ(written, serializeResponse({200, {}, body}, false, false));
}

// The budget has room for the headers of a few requests. The others are refused, and their memory is given back.
TEST(RequestPipeline, RefusesRequestsWhoseHeadersHaveNoMemory)
{
    auto memory = std::make_shared<MemoryBudget>(16 * 1024);
    std::vector<std::unique_ptr<RequestPipeline>> connections;
    std::vector<RequestPipeline::NumberedRequest> taken;
    for (int index = 0; index < 20; ++index) {
        connections.push_back(std::make_unique<RequestPipeline>(RequestPipeline::Handlers{limits, isView, memory}));
        connections.back()->receive(get("/view/1", fmt::format("X-Long: {}\r\n", std::string(800, 'x'))));
        if (auto next = connections.back()->takeNext())
            taken.push_back(std::move(*next));
        EXPECT_LE(memory->heldBytes(), memory->limit());
    }
    EXPECT_GT(taken.size(), 0U);
    EXPECT_LT(taken.size(), 10U);
    EXPECT_TRUE(connections.back()->takeOutput().starts_with("HTTP/1.1 503"));
    connections.clear();
    taken.clear();
    EXPECT_EQ(memory->heldBytes(), 0U);
}

} // namespace balsamreel::Relay
