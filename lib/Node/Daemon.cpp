#include "balsamreel/Node/Daemon.h"

#include "balsamreel/Node/HeadExchange.h"
#include "balsamreel/Support/Log.h"
#include "balsamreel/Support/Numbers.h"
#include "balsamreel/Support/Random.h"
#include "balsamreel/Wire/Headers.h"

namespace balsamreel::Node {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Support::Duration;
using Support::monotonicNow;
using Support::sendText;

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(10);
// Without calls in flight the tick only expires leases and idle connections.
constexpr Duration idleTickInterval = std::chrono::milliseconds(50);
// The time without calls before shutdown: a caller may have sent a call just before it learned that its connection
// closes.
constexpr Duration quietPeriod = std::chrono::milliseconds(1000);
// Calls that still arrive at a leaving node are served for this long, then refused.
constexpr Duration serveWhileLeaving = std::chrono::seconds(5);
constexpr int adminConnections = 16;

Support::HttpServerOptions connectionLimit(int maximum)
{
    Support::HttpServerOptions options;
    options.maximumConnections = maximum;
    return options;
}

} // namespace

Daemon::Daemon(NodeSettings settings)
    : context_(std::move(settings), static_cast<std::uint64_t>(Support::wallMicros()), Support::randomSeed())
    , guard_(context_)
    , gossip_(context_, guard_, Support::randomSeed())
    , claims_(context_, [this] { return gossip_.members(); })
    , entry_(context_, claims_)
    , follower_(context_, gossip_)
    , admin_(context_, guard_, gossip_, follower_)
    , callers_(
          context_.settings.listen, [this](auto& request, auto& response) { entry_.handle(request, response); }, connectionLimit(static_cast<int>(context_.settings.maximumCallers)))
    , peers_(
          context_.settings.peerBind.value_or(context_.settings.peer), [this](auto& request, auto& response) { handlePeer(request, response); }, connectionLimit(static_cast<int>(context_.settings.maximumCallers)))
    , operators_(
          context_.settings.admin, [this](auto& request, auto& response) { admin_.handle(request, response); }, connectionLimit(adminConnections))
{
}

Daemon::~Daemon()
{
    isEnding_ = true;
    if (ticker_.joinable())
        ticker_.join();
    callers_.abort();
    peers_.abort();
    operators_.abort();
}

void Daemon::start()
{
    operators_.start();
    peers_.start();
    callers_.start();
    gossip_.start();
    claims_.start();
    follower_.start();
    ticker_ = std::thread([this] { runTicks(); });
    const auto& settings = context_.settings;
    context_.timeline.record("node", "state=started");
    Support::log(Support::LogLevel::Info, "started", "node={} listen={} peer={} admin={}", settings.node, settings.listen.text(), settings.peer.text(), settings.admin.text());
}

void Daemon::handlePeer(HTTPServerRequest& request, HTTPServerResponse& response)
{
    // Callers can't set this header: entries do not forward X-Balsam-* headers of callers.
    if (request.has(Wire::queryHeader) && Support::pathOf(request.getURI()) == "/balsam/claim")
        return claims_.handle(request, response);
    if (request.has(Wire::queryHeader))
        return guard_.handleQuery(request, response);
    if (request.has(Wire::attemptHeader))
        return guard_.handle(request, response);
    auto path = Support::pathOf(request.getURI());
    if (path == "/balsam/members")
        return provideTable(response);
    if (path == newerPath) {
        auto generation = Support::parseNumber<std::uint64_t>(Support::queryValue(request.getURI(), "generation"));
        follower_.onGenerationUpdate(generation.value_or(0), Support::queryValue(request.getURI(), "node"));
        return sendText(response, HTTPResponse::HTTP_OK, "text/plain", "ok\n");
    }
    if (path != headPath)
        return guard_.handle(request, response);
    auto active = context_.config.get();
    if (!active)
        return sendText(response, HTTPResponse::HTTP_NOT_FOUND, "text/plain", "no configuration\n");
    sendText(response, HTTPResponse::HTTP_OK, "text/plain", Config::encodeHead(active->head));
}

void Daemon::provideTable(HTTPServerResponse& response)
{
    if (auto table = gossip_.provideTable())
        return sendText(response, HTTPResponse::HTTP_OK, "application/octet-stream", *table);
    sendText(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain", "too many tables given\n");
}

void Daemon::runTicks()
{
    while (!isEnding_) {
        auto now = monotonicNow();
        guard_.tick(now);
        context_.pool.tick(now);
        std::this_thread::sleep_for(context_.inFlight.count() > 0 ? tickInterval : idleTickInterval);
    }
}

void Daemon::drain()
{
    context_.timeline.record("node", "state=leaving");
    Support::log(Support::LogLevel::Info, "leaving", "in_flight={}", context_.inFlight.count());
    context_.isLeaving = true;
    gossip_.leave();
    guard_.drainAll();
    // Connections are still accepted, and each response closes its own: a connection left in the listen queue would get
    // no response at all.
    auto start = monotonicNow();
    auto end = start + context_.settings.grace;
    auto quietSince = start;
    while (monotonicNow() < end && monotonicNow() - quietSince < quietPeriod) {
        if (context_.inFlight.count() > 0)
            quietSince = monotonicNow();
        context_.refusesCalls = monotonicNow() - start >= serveWhileLeaving;
        std::this_thread::sleep_for(tickInterval);
    }
    callers_.stopAccepting();
    Support::log(Support::LogLevel::Info, "ended", "in_flight={}", context_.inFlight.count());
}

} // namespace balsamreel::Node
