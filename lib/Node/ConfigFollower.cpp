#include "balsamreel/Node/ConfigFollower.h"

#include "balsamreel/Support/Http.h"
#include "balsamreel/Support/Log.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

namespace balsamreel::Node {

using Support::Duration;

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(200);
constexpr Duration watchWait = std::chrono::seconds(5);
constexpr Duration retryDelay = std::chrono::milliseconds(500);
// Peers are asked first; a node reads the store by itself only if none has answered by then.
constexpr Duration peerPatience = std::chrono::milliseconds(1500);
constexpr std::size_t maximumHeadBytes = Store::maximumValueBytes;

} // namespace

ConfigFollower::ConfigFollower(Context& context, Gossip& gossip)
    : context_(context)
    , gossip_(gossip)
{
    if (!context.settings.store)
        return;
    store_.emplace(*context.settings.store);
    acceptor_.emplace(*store_, context.settings.deployment);
}

ConfigFollower::~ConfigFollower()
{
    {
        std::lock_guard lock(mutex_);
        isEnding_ = true;
    }
    ending_.notify_all();
    if (peerThread_.joinable())
        peerThread_.join();
    if (storeThread_.joinable())
        storeThread_.join();
}

void ConfigFollower::start()
{
    peerThread_ = std::thread([this] { runPeers(); });
    if (store_)
        storeThread_ = std::thread([this] { runStore(); });
}

std::vector<Config::Diagnostic> ConfigFollower::diagnostics() const
{
    std::lock_guard lock(mutex_);
    return diagnostics_;
}

bool ConfigFollower::sleep(Duration duration)
{
    std::unique_lock lock(mutex_);
    return !ending_.wait_for(lock, duration, [&] { return isEnding_; });
}

void ConfigFollower::apply(const Config::Head& head, const std::string& source)
{
    if (head.generation == 0 || !context_.config.apply(head))
        return;
    context_.timeline.record("config", fmt::format("generation={} source={}", head.generation, source));
    context_.metrics.set("balsam_config_generation", static_cast<double>(head.generation));
    Support::log(Support::LogLevel::Info, "config-in-force", "generation={} source={}", head.generation, source);
}

void ConfigFollower::fetchFrom(const Support::Endpoint& peer)
{
    try {
        Session session(peer.host, peer.port);
        session.setTimeout(Poco::Timespan(1, 0));
        Poco::Net::HTTPRequest request("GET", "/balsam/head", "HTTP/1.1");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string text;
        auto& stream = session.receiveResponse(response);
        bool isWhole = Support::readBody(stream, maximumHeadBytes, text) && response.getContentLength64() == static_cast<Poco::Int64>(text.size());
        auto head = isWhole && response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK ? Config::decodeHead(text) : std::nullopt;
        if (head)
            apply(*head, "peer");
    } catch (const Poco::Exception&) {
        context_.metrics.add("balsam_config_peer_errors_total");
    }
}

void ConfigFollower::runPeers()
{
    while (sleep(pollInterval)) {
        if (auto peer = gossip_.newerPeer())
            fetchFrom(peer->peer);
    }
}

void ConfigFollower::watchOnce()
{
    auto result = acceptor_->accept(context_.config.get() ? context_.config.get()->head.generation : 0);
    context_.metrics.set("balsam_store_calls", static_cast<double>(store_->calls()));
    if (result.error) {
        context_.metrics.add("balsam_config_store_errors_total");
        sleep(retryDelay);
        return;
    }
    {
        std::lock_guard lock(mutex_);
        diagnostics_ = result.diagnostics;
    }
    if (result.isNew)
        context_.timeline.record("config-accepted", fmt::format("generation={}", result.head.generation));
    apply(result.head, "store");
    auto newest = revision_;
    auto error = store_->watch(Config::configPrefix(context_.settings.deployment), revision_, watchWait, newest);
    revision_ = newest;
    if (error)
        sleep(retryDelay);
}

void ConfigFollower::runStore()
{
    sleep(peerPatience);
    while (sleep(Duration::zero())) {
        if (gossip_.isWatcher() || !context_.config.get())
            watchOnce();
        else
            sleep(retryDelay);
    }
}

} // namespace balsamreel::Node
