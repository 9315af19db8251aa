// Starts balsamd as a process with low limits and sends it crowds of callers.
#include "crowd/HostileCallers.h"
#include "crowd/MeasuredProcess.h"

#include "../Node/Deployment.h"

#include <gtest/gtest.h>

namespace balsamreel::Node {

namespace {

constexpr unsigned maximumConnections = 100;
constexpr std::size_t maximumGrowth = 24 * mebibyte;
constexpr std::size_t maximumDescriptors = 400;
constexpr std::size_t crowdSize = 100;
constexpr std::size_t connectionCount = 500; // more than the daemon has descriptors
constexpr auto sendTime = std::chrono::seconds(10);

/// A crowd and its size.
struct SizedCrowd {
    Crowd crowd;
    std::size_t size = crowdSize;
};

void PrintTo(const SizedCrowd& crowd, std::ostream* stream) // NOLINT(readability-identifier-naming): the name that GoogleTest expects
{
    *stream << crowd.crowd.name;
}

std::string header(const std::string& method, const std::string& path, const std::string& fields)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: x\r\n{}\r\n", method, path, fields);
}

std::vector<SizedCrowd> crowds()
{
    constexpr unsigned fieldCount = 90; // POCO accepts a hundred
    constexpr std::size_t fieldBytes = 8000;
    std::string fields;
    for (unsigned index = 0; index < fieldCount; ++index)
        fields += fmt::format("X-Field-{}: {}\r\n", index, std::string(fieldBytes, 'x'));
    auto unfinished = header("GET", "/specs", fields);
    unfinished.resize(unfinished.size() - 2);
    std::string chunk = fmt::format("{:x}\r\n{}\r\n", 4096, std::string(4096, 'x'));
    std::string large = fmt::format("X-Test-Bytes: {}\r\n", 5 * mebibyte);
    return {
        {{"HeadersThatStopShort", "", unfinished, 1, true}},
        {{"WholeHeaders", "", header("GET", "/specs", fields), 4, true}},
        {{"ChunkedBodiesThatStopShort", header("POST", "/release", "Transfer-Encoding: chunked\r\n"), chunk, 512, true}},
        {{"AnnouncedBodiesThatStopShort", header("POST", "/release", fmt::format("Content-Length: {}\r\n", 3 * mebibyte)), std::string(4096, 'x'), 512, true}},
        {{"UnreadResponses", "", header("GET", "/specs", large), 4, true}},
        {{"UnreadResponsesOfAtMostOnceWork", "", header("POST", "/release", large + "Content-Length: 0\r\n"), 4, true}},
        {{"IdleConnections", "", " ", 0, true}, connectionCount},
        {{"ConnectionsThatStopShort", "", "GET /specs HTTP/1.1\r\n", 1, true}, connectionCount},
    };
}

/// balsamd as a process, with a store and a server in this one.
class DaemonProcess : public MeasuredProcess {
public:
    DaemonProcess()
        : MeasuredProcess("balsamd", {maximumGrowth, maximumDescriptors})
        , storeEndpoint_(freeEndpoint())
        , storeService_(storeEndpoint_, [this](auto& request, auto& response) { store_.handle(request, response); })
        , callerAddress_(freeEndpoint())
    {
        storeService_.start();
        Store::Client client(storeEndpoint_);
        std::uint64_t version = 0;
        client.put(Config::filesPrefix("test") + "10.toml", configuration, Store::Always(), version);
        auto admin = freeEndpoint();
        start(BALSAMREEL_DAEMON_PROGRAM, {"--node", "n0", "--deployment", "test", "--listen", callerAddress_.text(), "--peer", freeEndpoint().text(), "--admin", admin.text(), "--store", storeEndpoint_.text(), "--max-connections", std::to_string(maximumConnections)});
        Standins::FakeServerOptions options;
        options.listen = freeEndpoint();
        options.nodeAdmin = admin;
        options.service = "catalog";
        server_ = std::make_unique<Standins::FakeServer>(options);
        server_->start();
    }

    const Support::Endpoint& callerAddress() const { return callerAddress_; }

private:
    static constexpr const char* configuration = "[service.catalog]\n[route.specs]\nservice = \"catalog\"\npath = \"/specs\"\n"
                                                 "[route.release]\nservice = \"catalog\"\npath = \"/release\"\nmethods = [\"POST\"]\nat_most_once = true\n";

    Standins::FakeStore store_{1};
    Support::Endpoint storeEndpoint_;
    Support::HttpService storeService_;
    Support::Endpoint callerAddress_;
    std::unique_ptr<Standins::FakeServer> server_;
};

class DaemonCrowdTest : public testing::TestWithParam<SizedCrowd> { };

} // namespace

TEST_P(DaemonCrowdTest, StaysWithinBoundsAndServesOthersAfterwards)
{
    DaemonProcess daemon;
    auto ordinary = header("GET", "/specs", "X-Test-Id: ordinary\r\n");
    ASSERT_TRUE(isServedInTheEnd(daemon.callerAddress(), ordinary));
    daemon.resetPeak();
    boost::asio::io_context loop;
    auto callers = connectCallers(loop, daemon.callerAddress(), GetParam().crowd, GetParam().size);
    play(callers, true, sendTime);
    waitUntilRead(daemon.callerAddress());

    daemon.expectWithinBounds();
    callers.clear();
    EXPECT_TRUE(isServedInTheEnd(daemon.callerAddress(), ordinary));
    EXPECT_TRUE(daemon.isRunning());
}

INSTANTIATE_TEST_SUITE_P(Crowds, DaemonCrowdTest, testing::ValuesIn(crowds()), [](const auto& info) { return info.param.crowd.name; });

} // namespace balsamreel::Node
