#include "balsamreel/Relay/Node.h"

#include "balsamreel/Relay/HttpText.h"
#include "balsamreel/Support/Random.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <csignal>

namespace balsamreel::Relay {

namespace {

constexpr std::uint32_t ok = 200;
constexpr std::uint32_t badRequest = 400;
constexpr std::uint32_t notFound = 404;
constexpr std::uint32_t serviceUnavailable = 503;
constexpr auto tickInterval = std::chrono::milliseconds(100);
// Changes that come together are told by one watch; each has to be in force soon.
constexpr Duration configPause = std::chrono::milliseconds(50);
constexpr Duration stateQueryInterval = std::chrono::milliseconds(500);
constexpr Duration versionComparisonInterval = std::chrono::seconds(1);
constexpr Duration watcherSelectionInterval = std::chrono::milliseconds(500);
// A node that starts knows the others by then, unless the store does not answer.
constexpr Duration longestWaitForNodes = std::chrono::seconds(3);
// Until there is a configuration, the store is asked for it this often. What it answers may not be stale: a node that is
// started again would follow a version that was replaced before.
constexpr Duration pollInterval = std::chrono::seconds(1);
// A node that starts beside running ones has their configuration by then.
constexpr Duration firstPollDelay = std::chrono::milliseconds(500);
constexpr Duration stateQueryDelay = std::chrono::milliseconds(250);
// Callers are still sent here until the platform has seen that the node is not ready.
constexpr Duration shortestShutdown = std::chrono::milliseconds(2500);
// A request that is taken later than this after the start of a shutdown might not end before the process does.
constexpr Duration shutdownIntake = std::chrono::milliseconds(3000);
constexpr Duration shutdownReserve = std::chrono::milliseconds(400);
constexpr auto shutdownCheckInterval = std::chrono::milliseconds(50);
constexpr std::int64_t unknownRevision = -1; // of the settings: they are read again
constexpr Duration settingsCheckInterval = std::chrono::seconds(1);
// Clocks are read one after the other, so a short difference is none.
constexpr Duration shortestSuspension = std::chrono::milliseconds(50);
// After an accept that failed, mostly for want of descriptors.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);
// The rest is for other nodes, the server, the store and the log.
constexpr double callerDescriptorShare = 0.5;
constexpr std::string_view metricsPath = "/metrics";

ServerResponse plainAnswer(std::uint32_t status)
{
    ServerResponse respond;
    respond.status = status;
    return respond;
}

} // namespace

Node::Node(Loop& loop, NodeSettings settings, PlatformCodec codec, SettingsSource settingsSource)
    : loop_(loop)
    , settings_(std::move(settings))
    , codec_(std::move(codec))
    , settingsSource_(std::move(settingsSource))
    , incarnation_(Support::randomSeed() | 1U)
    , log_(loop, settings_.name, settings_.logDescriptor)
    , guard_(loop, settings_, codec_.headers, codec_.readLoad, log_)
    , peers_(loop, settings_, incarnation_, guard_, log_, {[this] { return configVersion_; }, [this] { return configContent_; }, [this](const std::string& content) { takeConfig(content, "peer"); }, [this] { return configFollower_.isConnected(); }, [this] { entry_.serversChanged(); }, [this](const std::string& node, const Support::Endpoint& server, bool isSlowed) { entry_.slowdownChanged({node, server}, isSlowed); }})
    , entry_(loop, settings_, codec_.headers, incarnation_, guard_, peers_, log_, metrics_)
    , storeCalls_(loop, settings_.store)
    , configFollower_(loop, storeCalls_, codec_.store, Collection::Configuration, configPause, incarnation_ + 2, log_, {[this](const std::vector<StoredObject>& objects) {
        for (const auto& object : objects)
            if (object.name == codec_.configName)
                takeConfig(object.content, "store"); }, [this](const StoredObject& object) {
        if (object.name == codec_.configName && !object.isDeleted)
            takeConfig(object.content, "store"); }})
    , directory_(loop, storeCalls_, codec_.store, settings_.name, ownRecord(), incarnation_ + 3, log_, {[this](const std::vector<StoredObject>& objects) { takeNodes(objects); }, [this](const std::optional<std::string>& content) { restore(content); }})
    , watcherSelection_(settings_.name, settings_.domain)
    , callerAcceptor_(loop)
    , readinessAcceptor_(loop)
    , announcementAcceptor_(loop)
    , metricsAcceptor_(loop)
    , signals_(loop, SIGTERM, SIGINT, SIGHUP)
    , tick_(loop)
    , shutdownTimer_(loop)
    , acceptTimer_(loop)
{
    guard_.onStatusChange = [this] {
        peers_.publishStatus();
        entry_.serversChanged();
    };
    guard_.onPersistedStateChange = [this] { directory_.setContent(ownRecord()); };
    guard_.onSlowdownChange = [this] {
        peers_.publishSlowdown();
        entry_.slowdownChanged({settings_.name, settings_.server}, guard_.isSlowed());
    };
}

void Node::start()
{
    log_.line(LogClass::Notable, "start", "service={} domain={} boot={} store={}", settings_.service, settings_.domain, incarnation_, settings_.store.text());
    listen(callerAcceptor_, settings_.callerAddress);
    accept(callerAcceptor_, callerHandlers());
    listen(readinessAcceptor_, settings_.readinessAddress);
    accept(readinessAcceptor_, controlHandlers());
    listen(announcementAcceptor_, settings_.announcementAddress);
    accept(announcementAcceptor_, controlHandlers());
    listen(metricsAcceptor_, settings_.metricsAddress);
    accept(metricsAcceptor_, controlHandlers());
    peers_.listen();
    startedAt_ = Support::monotonicNow();
    directory_.start();
    waitForSignals();
    storeSeenAt_ = startedAt_;
    settingsCheckedAt_ = startedAt_;
    settingsRevision_ = settingsSource_.revision();
    suspended_ = Support::suspendedTime();
    tick();
}

void Node::listen(boost::asio::ip::tcp::acceptor& acceptor, const Support::Endpoint& endpoint)
{
    boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(endpoint.host), endpoint.port);
    acceptor.open(address.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen();
}

void Node::accept(boost::asio::ip::tcp::acceptor& acceptor, const CallerConnection::Handlers& host)
{
    acceptor.async_accept([this, &acceptor, host](const boost::system::error_code& error, Socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error) {
            log_.line(LogClass::Notable, "accept-failed", "address={} error=\"{}\"", settings_.callerAddress.text(), error.message());
            acceptTimer_.expires_after(acceptRetryDelay);
            acceptTimer_.async_wait([this, &acceptor, host](const boost::system::error_code&) { accept(acceptor, host); });
            return;
        }
        boost::system::error_code ignored; // delays small answers at worst
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        closeIdleCallerIfFull();
        auto connection = std::make_shared<CallerConnection>(std::move(socket), host);
        callers_.insert(connection);
        connection->start();
        accept(acceptor, host);
    });
}

// Descriptors that idle callers hold are taken for new ones, so that other nodes, the server and the store stay in reach.
void Node::closeIdleCallerIfFull()
{
    auto maximumCallers = static_cast<std::size_t>(settings_.maximumDescriptors * callerDescriptorShare);
    if (callers_.size() < maximumCallers)
        return;
    auto idle = std::ranges::find_if(callers_, [](const auto& caller) { return caller->isIdle(); });
    if (idle == callers_.end())
        return;
    metrics_.add("balsamreel_idle_callers_closed_total");
    // It leaves the set once it has ended.
    (*idle)->close();
}

CallerConnection::Handlers Node::callerHandlers()
{
    CallerConnection::Handlers host;
    host.onRequest = [this](const CallerRequest& caller, IncomingRequest&& incoming) {
        bool isTooLate = isShuttingDown_ && Support::monotonicNow() - shutdownSince_ > shutdownIntake;
        entry_.handle(caller, std::move(incoming), isTooLate);
    };
    host.onCallerLeft = [this](const auto& caller) { entry_.callerLeft(caller); };
    host.onClosed = [this](const auto& caller) { callers_.erase(caller); };
    host.canRunConcurrently = [this](const IncomingRequest& incoming) { return entry_.canRunConcurrently(incoming); };
    host.limits = [this] { return limits_; };
    host.isShuttingDown = [this] { return isShuttingDown_; };
    return host;
}

CallerConnection::Handlers Node::controlHandlers()
{
    CallerConnection::Handlers host = callerHandlers();
    host.onRequest = [this](const CallerRequest& caller, IncomingRequest&& incoming) { onControl(caller, std::move(incoming)); };
    host.onCallerLeft = [](const auto&) {};
    host.canRunConcurrently = [](const IncomingRequest&) { return false; };
    host.limits = [] { return CallerLimits(); };
    return host;
}

void Node::onControl(const CallerRequest& caller, IncomingRequest&& incoming)
{
    if (incoming.request.target == metricsPath) {
        auto respond = plainAnswer(ok);
        respond.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        respond.body = metricsText();
        return caller.connection->respond(caller.number, std::move(respond));
    }
    caller.connection->respond(caller.number, respondToControl(incoming.request));
}

ServerResponse Node::respondToControl(const Request& request)
{
    struct Visitor {
        Node& node;
        const Request& request;

        ServerResponse operator()(const ReadinessQuery&) const { return plainAnswer(node.isReady() ? ok : serviceUnavailable); }
        ServerResponse operator()(const Announcement& announcement) const { return node.onAnnouncement(announcement); }
        ServerResponse operator()(const ServerLeaveRequest& leaves) const { return node.onLeave(leaves); }
        ServerResponse operator()(const MalformedRequest&) const
        {
            node.log_.line(LogClass::Notable, "announcement-malformed", "target={} bytes={}", request.target, request.body.size());
            return plainAnswer(badRequest);
        }
        ServerResponse operator()(const UnknownRequest&) const { return plainAnswer(notFound); }
    };
    return std::visit(Visitor{*this, request}, codec_.readControlRequest(request));
}

ServerResponse Node::onAnnouncement(const Announcement& announcement)
{
    bool isAccepted = guard_.handleAnnouncement(announcement);
    if (!isAccepted)
        log_.line(LogClass::Notable, "announcement-ignored", "instance={} service={} address={} sequence={} born={}", announcement.instance, announcement.service, announcement.address.text(), announcement.sequence, announcement.processStartMillis);
    else
        isServerGone_ = announcement.state == ServerState::Draining;
    return codec_.acknowledge();
}

ServerResponse Node::onLeave(const ServerLeaveRequest& leaves)
{
    log_.line(LogClass::Notable, "server-leaves", "instance={}", leaves.instance);
    guard_.handleLeave(leaves.instance, leaves.processStartMillis);
    isServerGone_ = true;
    return codec_.acknowledge();
}

bool Node::isReady() const
{
    return configVersion_ > 0 && !isShuttingDown_;
}

void Node::takeConfig(const std::string& content, std::string_view source)
{
    if (content == configContent_)
        return;
    std::string error;
    auto config = codec_.readConfig(content, error);
    if (!config) {
        log_.line(LogClass::Notable, "config-unreadable", "source={} error=\"{}\"", source, error);
        return;
    }
    if (config->version <= configVersion_)
        return;
    log_.line(LogClass::Notable, "config-in-force", "version={} before={} source={} routes={}", config->version, configVersion_, source, config->routes.size());
    configVersion_ = config->version;
    configContent_ = content;
    limits_ = config->limits;
    auto routes = std::make_shared<RouteTable>(std::move(*config));
    const auto* own = routes->service(settings_.service);
    guard_.setHealthPath(own ? own->healthPath : std::string());
    entry_.setRoutes(std::move(routes));
    peers_.publishVersion();
}

std::string Node::ownRecord() const
{
    return codec_.writeNode({{settings_.name, settings_.peerAddress, settings_.domain}, guard_.persistedState()});
}

void Node::takeNodes(const std::vector<StoredObject>& objects)
{
    std::vector<NodeRecord> entries;
    for (const auto& object : objects) {
        auto entry = codec_.readNode(object.content);
        if (!entry || entry->node.name != object.name) {
            log_.line(LogClass::Notable, "node-entry-unreadable", "name={}", object.name);
            continue;
        }
        entries.push_back(std::move(entry->node));
    }
    peers_.addNodes(entries);
    peers_.removeUnlisted(entries);
}

// What an earlier process of this node has noted.
void Node::restore(const std::optional<std::string>& content)
{
    auto entry = content ? codec_.readNode(*content) : std::nullopt;
    if (content && !entry)
        log_.line(LogClass::Notable, "node-entry-unreadable", "name={}", settings_.name);
    guard_.restore(entry ? entry->persistedState : PersistedServerState());
    directory_.setContent(ownRecord());
}

void Node::waitForSignals()
{
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            // Read at the next tick, once for all signals until then.
            settingsRevision_ = unknownRevision;
            settingsCheckedAt_ = {};
        } else
            shutDown();
        waitForSignals();
    });
}

void Node::shutDown()
{
    if (isShuttingDown_)
        return;
    isShuttingDown_ = true;
    shutdownSince_ = Support::monotonicNow();
    log_.line(LogClass::Notable, "stop", "open_calls={} guarded={} server_gone={}", entry_.openCount(), guard_.openCount(), isServerGone_);
    guard_.close();
    if (isServerGone_)
        directory_.remove();
    checkShutdown();
}

// Ends when nothing is open and callers have had time to go elsewhere, or shortly before the platform ends the process.
void Node::checkShutdown()
{
    auto elapsed = Support::monotonicNow() - shutdownSince_;
    bool isQuiet = entry_.openCount() == 0 && guard_.openCount() == 0;
    if ((isQuiet && elapsed >= shortestShutdown) || elapsed >= settings_.shutdownGrace - shutdownReserve)
        return end();
    shutdownTimer_.expires_after(shutdownCheckInterval);
    shutdownTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            checkShutdown();
    });
}

void Node::end()
{
    log_.line(LogClass::Notable, "end", "open_calls={} guarded={} lines_left_out={}", entry_.openCount(), guard_.openCount(), log_.droppedLineCount());
    log_.flush();
    peers_.close();
    storeCalls_.close();
    loop_.stop();
}

void Node::tick()
{
    auto now = Support::monotonicNow();
    handleSuspension(now);
    followSettings(now);
    peers_.tick(now);
    guard_.tick(now);
    followStore(now);
    askPeers(now);
    tick_.expires_after(tickInterval);
    tick_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            tick();
    });
}

// A few nodes watch the store; the others learn from them.
void Node::followStore(Instant now)
{
    bool knowsNodes = directory_.hasSeenOwnRecord() || now - startedAt_ >= longestWaitForNodes;
    if (knowsNodes && now - lastWatcherSelection_ >= watcherSelectionInterval) {
        lastWatcherSelection_ = now;
        configFollower_.follow(watcherSelection_.decide(now, peers_.watchCandidates(), configFollower_.isConnected()));
    }
    if (configFollower_.isConnected() != wasFollowing_) {
        wasFollowing_ = !wasFollowing_;
        peers_.publishFollowing();
    }
    if (configVersion_ > 0 || now - startedAt_ < firstPollDelay || now - lastPoll_ < pollInterval)
        return;
    lastPoll_ = now;
    configFollower_.poll();
}

// The store tells first; peers are asked where it does not, and what one has missed is found by comparing.
void Node::askPeers(Instant now)
{
    bool hasStore = directory_.isConnected() && (configFollower_.isConnected() || !configFollower_.isWanted()) && configVersion_ > 0;
    if (hasStore)
        storeSeenAt_ = now;
    if (now - storeSeenAt_ >= stateQueryDelay && now - lastStateQuery_ >= stateQueryInterval) {
        lastStateQuery_ = now;
        peers_.queryState();
    }
    if (now - lastVersionComparison_ < versionComparisonInterval)
        return;
    lastVersionComparison_ = now;
    peers_.compareVersion();
}

// While the VM is suspended timers stand still, but the time of callers does not.
void Node::handleSuspension(Instant now)
{
    auto suspended = Support::suspendedTime();
    auto added = suspended - suspended_;
    suspended_ = suspended;
    if (added < shortestSuspension)
        return;
    log_.line(LogClass::Notable, "resumed", "suspended_us={} open_calls={}", added.count(), entry_.openCount());
    entry_.timeOutOverdueCalls(now);
}

void Node::followSettings(Instant now)
{
    if (now - settingsCheckedAt_ < settingsCheckInterval)
        return;
    settingsCheckedAt_ = now;
    if (settingsRevision_ == unknownRevision)
        reload("signal");
    else if (settingsSource_.revision() != settingsRevision_)
        reload("file changed");
}

void Node::reload(std::string_view cause)
{
    settingsRevision_ = settingsSource_.revision();
    std::string error;
    auto settings = settingsSource_.read(error);
    log_.line(LogClass::Notable, "reload", "cause=\"{}\" revision={} outcome={} error=\"{}\"", cause, settingsRevision_, settings ? "taken" : "rejected", error);
    if (settings)
        apply(*settings);
}

// Limits change at once. Who the node is and where it listens stays until the process starts again.
void Node::apply(const NodeSettings& settings)
{
    bool needsRestart = settings.name != settings_.name || settings.domain != settings_.domain || settings.service != settings_.service || settings.server != settings_.server || settings.callerAddress != settings_.callerAddress || settings.readinessAddress != settings_.readinessAddress || settings.announcementAddress != settings_.announcementAddress || settings.peerAddress != settings_.peerAddress || settings.store != settings_.store;
    if (needsRestart)
        log_.line(LogClass::Notable, "restart-needed", "name={} server={} caller_address={} peer_address={} store={}", settings.name, settings.server.text(), settings.callerAddress.text(), settings.peerAddress.text(), settings.store.text());
    settings_.shutdownGrace = settings.shutdownGrace;
    settings_.retryRatio = settings.retryRatio;
    settings_.retrySlack = settings.retrySlack;
    settings_.retryWindow = settings.retryWindow;
    settings_.probesPerSecond = settings.probesPerSecond;
    settings_.maximumDescriptors = settings.maximumDescriptors;
    guard_.applySettings();
    entry_.applySettings();
}

std::string Node::metricsText()
{
    metrics_.set("balsamreel_open_calls", static_cast<double>(entry_.openCount()));
    metrics_.set("balsamreel_guarded_calls", static_cast<double>(guard_.openCount()));
    metrics_.set("balsamreel_peers", static_cast<double>(peers_.knownCount()));
    metrics_.set("balsamreel_config_version", static_cast<double>(configVersion_));
    metrics_.set("balsamreel_store_calls", static_cast<double>(storeCalls_.count()));
    metrics_.set("balsamreel_log_lines_left_out", static_cast<double>(log_.droppedLineCount()));
    return metrics_.text();
}

} // namespace balsamreel::Relay
