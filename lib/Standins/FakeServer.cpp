#include "balsamreel/Standins/FakeServer.h"

#include "balsamreel/Standins/Chain.h"
#include "balsamreel/Support/Log.h"
#include "balsamreel/Support/Numbers.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <fmt/format.h>

#include <algorithm>
#include <ostream>
#include <sstream>

namespace balsamreel::Standins {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Support::Duration;
using Support::monotonicNow;
using Support::queryValue;
using Support::sendText;

namespace {

constexpr Duration announceInterval = std::chrono::milliseconds(500);
constexpr int announceLeaseMillis = 2000;
constexpr Duration pollInterval = std::chrono::milliseconds(5);
constexpr Duration noisePeriod = std::chrono::milliseconds(400);
constexpr double coldFactor = 3;
constexpr unsigned announcedConnections = 250;
constexpr const char* idHeader = "X-Test-Id";

std::uint64_t parseNumberOr(const std::string& text, std::uint64_t fallback)
{
    return Support::parseNumber<std::uint64_t>(text).value_or(fallback);
}

bool hasCallerDisconnected(HTTPServerRequest& request)
{
    auto& socket = static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    try {
        char byte = 0;
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
    } catch (const Poco::Exception&) {
        return true;
    }
}

// Writes a body that consists of repetitions of the id, so that a mixed-up or truncated response is detected.
void writePattern(std::ostream& stream, const std::string& id, std::uint64_t bytes)
{
    constexpr std::size_t blockBytes = 64 * 1024;
    std::string block;
    while (block.size() < std::min<std::uint64_t>(bytes, blockBytes))
        block += id + "\n";
    for (std::uint64_t written = 0; written < bytes;) {
        // A block holds whole repetitions only, so that the pattern continues across blocks.
        std::uint64_t count = std::min<std::uint64_t>(bytes - written, block.size());
        stream.write(block.data(), static_cast<std::streamsize>(count));
        written += count;
    }
}

} // namespace

FakeServer::FakeServer(FakeServerOptions options)
    : options_(std::move(options))
    , startedAt_(monotonicNow())
    , random_(options_.seed)
    , http_(options_.listen, [this](auto& request, auto& response) { handle(request, response); })
{
}

FakeServer::~FakeServer()
{
    isEnding_ = true;
    if (announcer_.joinable())
        announcer_.join();
    if (noise_.joinable())
        noise_.join();
    http_.abort();
}

void FakeServer::readExecutionLog()
{
    if (options_.executionLog.empty())
        return;
    std::ifstream earlier(options_.executionLog);
    std::string id;
    while (std::getline(earlier, id))
        ++executions_[id];
    executionLog_.open(options_.executionLog, std::ios::app);
}

void FakeServer::start()
{
    readExecutionLog();
    http_.start();
    announcer_ = std::thread([this] { announceLoop(); });
    noise_ = std::thread([this] { noiseLoop(); });
}

void FakeServer::drain()
{
    isDraining_ = true;
    while (true) {
        // Only the node knows of calls that are still on their way to this server.
        auto inFlight = announce("draining");
        if (callsInProgress_ == 0 && inFlight.value_or(0) == 0)
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    announce("gone");
}

std::optional<unsigned> FakeServer::announce(const std::string& state)
{
    Poco::JSON::Object root;
    root.set("service", options_.service);
    root.set("address", options_.announcedAddress.value_or(options_.listen).text());
    root.set("slots", options_.slots);
    root.set("connections", announcedConnections);
    root.set("state", state);
    root.set("health", "/health");
    root.set("load", "/load");
    root.set("lease_ms", announceLeaseMillis);
    std::ostringstream body;
    root.stringify(body);
    try {
        Poco::Net::HTTPClientSession session(options_.nodeAdmin.host, options_.nodeAdmin.port);
        session.setTimeout(Poco::Timespan(1, 0));
        Poco::Net::HTTPRequest request("POST", "/v1/announce", "HTTP/1.1");
        request.setContentLength(static_cast<std::streamsize>(body.str().size()));
        session.sendRequest(request) << body.str();
        HTTPResponse response;
        std::string text;
        auto& stream = session.receiveResponse(response);
        constexpr std::string_view field = "in_flight=";
        constexpr std::size_t maximumResponseBytes = 256;
        bool isRead = Support::readBody(stream, maximumResponseBytes, text) && response.getStatus() == HTTPResponse::HTTP_OK;
        auto at = text.find(field);
        if (!isRead || at == std::string::npos)
            return std::nullopt;
        return static_cast<unsigned>(std::strtoul(text.c_str() + at + field.size(), nullptr, 10));
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

void FakeServer::announceLoop()
{
    auto next = monotonicNow();
    while (!isEnding_) {
        if (monotonicNow() >= next) {
            bool isCold = monotonicNow() - startedAt_ < options_.coldTime;
            announce(isDraining_ ? "draining" : isCold ? "cold"
                                                       : "ready");
            next = monotonicNow() + announceInterval;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

void FakeServer::noiseLoop()
{
    Support::Random random(options_.seed + 1);
    while (!isEnding_) {
        isNoisy_ = options_.noiseShare > 0 && random.fraction() < options_.noiseShare;
        auto until = monotonicNow() + noisePeriod;
        while (!isEnding_ && monotonicNow() < until)
            std::this_thread::sleep_for(pollInterval);
    }
}

Duration FakeServer::workTimeOf(const HTTPServerRequest& request)
{
    auto mean = parseNumberOr(request.get("X-Test-Work-Us", ""), static_cast<std::uint64_t>(options_.workTime.count()));
    if (mean == 0)
        return Duration::zero();
    std::lock_guard lock(mutex_);
    // Half fixed, half exponential: service times vary, but each call takes at least half the mean.
    double micros = static_cast<double>(mean) / 2 + random_.exponential(std::max(1.0, static_cast<double>(mean) / 2));
    micros *= faults_.slowFactor * (isNoisy_ ? options_.noiseFactor : 1);
    if (monotonicNow() - startedAt_ < options_.coldTime)
        micros *= coldFactor;
    return Duration(static_cast<Duration::rep>(micros));
}

bool FakeServer::simulateWork(Duration duration, const std::function<bool()>& isCancelled)
{
    auto until = monotonicNow() + duration;
    while (monotonicNow() < until) {
        std::this_thread::sleep_for(std::min(pollInterval, until - monotonicNow()));
        if (until - monotonicNow() > pollInterval && isCancelled())
            return false;
    }
    return true;
}

void FakeServer::handle(HTTPServerRequest& request, HTTPServerResponse& response)
{
    auto path = Support::pathOf(request.getURI());
    if (path == "/health")
        return sendText(response, HTTPResponse::HTTP_OK, "text/plain", "ok\n");
    if (path == "/load")
        return handleLoad(response);
    if (path == "/control")
        return handleControl(request, response);
    if (path == "/executions")
        return handleExecutions(response);
    struct ScopedCount {
        std::atomic<unsigned>& count;
        explicit ScopedCount(std::atomic<unsigned>& counter)
            : count(counter)
        {
            ++count;
        }
        ~ScopedCount() { --count; }
    } scopedCount(callsInProgress_);
    handleWork(request, response);
}

void FakeServer::handleWork(HTTPServerRequest& request, HTTPServerResponse& response)
{
    auto id = request.get(idHeader, "-");
    std::uint64_t bodyBytes = 0;
    std::string chunk(64 * 1024, '\0');
    while (request.stream().read(chunk.data(), static_cast<std::streamsize>(chunk.size())) || request.stream().gcount() > 0)
        bodyBytes += static_cast<std::uint64_t>(request.stream().gcount());
    if (request.hasContentLength() && static_cast<std::uint64_t>(request.getContentLength64()) != bodyBytes)
        return;

    auto duration = workTimeOf(request);
    bool neverResponds = false;
    {
        std::unique_lock lock(mutex_);
        if (faults_.failsFast)
            return sendText(response, HTTPResponse::HTTP_INTERNAL_SERVER_ERROR, "text/plain", "failing fast\n");
        ++waiting_;
        slotFree_.wait(lock, [&] { return busy_ < options_.slots; });
        --waiting_;
        ++busy_;
        ++executions_[id];
        if (executionLog_.is_open())
            executionLog_ << id << std::endl;
        neverResponds = faults_.neverResponds;
    }
    auto isCancelled = [&] { return hasCallerDisconnected(request); };
    bool isDone = simulateWork(neverResponds ? std::chrono::hours(1) : duration, isCancelled);
    {
        std::lock_guard lock(mutex_);
        --busy_;
        cancelled_ += isDone ? 0 : 1;
        slotFree_.notify_one();
    }
    if (!isDone)
        return;
    if (options_.entry && !callNextInChain(request, *options_.entry, id))
        return sendText(response, HTTPResponse::HTTP_BAD_GATEWAY, "text/plain", "a call below failed\n");
    auto bytes = parseNumberOr(request.get("X-Test-Bytes", ""), id.size());
    response.set(idHeader, id);
    response.set("X-Test-Received", std::to_string(bodyBytes));
    response.setContentType("text/plain");
    response.setContentLength64(static_cast<Poco::Int64>(bytes));
    writePattern(response.send(), id, bytes);
}

void FakeServer::handleControl(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const auto& uri = request.getURI();
    std::lock_guard lock(mutex_);
    faults_.slowFactor = std::strtod(queryValue(uri, "slow", fmt::format("{}", faults_.slowFactor)).c_str(), nullptr);
    faults_.failsFast = queryValue(uri, "fail_fast", faults_.failsFast ? "1" : "0") == "1";
    faults_.neverResponds = queryValue(uri, "silent", faults_.neverResponds ? "1" : "0") == "1";
    if (queryValue(uri, "drain") == "1" && !isDraining_.exchange(true))
        std::thread([this] { announce("draining"); }).detach();
    if (queryValue(uri, "undrain") == "1")
        isDraining_ = false;
    sendText(response, HTTPResponse::HTTP_OK, "text/plain", "ok\n");
}

void FakeServer::handleExecutions(HTTPServerResponse& response)
{
    std::string text;
    {
        std::lock_guard lock(mutex_);
        for (const auto& [id, count] : executions_)
            text += fmt::format("{} {}\n", id, count);
    }
    sendText(response, HTTPResponse::HTTP_OK, "text/plain", text);
}

void FakeServer::handleLoad(HTTPServerResponse& response)
{
    std::string text;
    {
        std::lock_guard lock(mutex_);
        if (monotonicNow() - loadSampledAt_ >= options_.loadSampleInterval) {
            sampledLoad_ = busy_ + waiting_;
            loadSampledAt_ = monotonicNow();
        }
        text = fmt::format("{{\"busy\":{},\"slots\":{},\"cancelled\":{}}}\n", sampledLoad_, options_.slots, cancelled_);
    }
    sendText(response, HTTPResponse::HTTP_OK, "application/json", text);
}

} // namespace balsamreel::Standins
