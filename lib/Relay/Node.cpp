#include "balsamreel/Relay/Node.h"

#include "balsamreel/Relay/HttpText.h"
#include "balsamreel/Support/Random.h"

#include <boost/asio/ip/address.hpp>

#include <fmt/ranges.h>

#include <algorithm>
#include <csignal>
#include <limits>

namespace balsamreel::Relay {

namespace {

constexpr std::uint32_t ok = 200;
constexpr std::uint32_t badRequest = 400;
constexpr std::uint32_t notFound = 404;
constexpr std::uint32_t serviceUnavailable = 503;
constexpr auto tickInterval = std::chrono::milliseconds(100);
// Lets one watch report changes that are made together. Short, because each change has to take effect soon.
constexpr Duration configWatchPause = std::chrono::milliseconds(50);
constexpr Duration stateQueryInterval = std::chrono::milliseconds(500);
constexpr Duration versionComparisonInterval = std::chrono::seconds(1);
constexpr Duration watcherSelectionInterval = std::chrono::milliseconds(500);
// A starting node knows the other nodes by then, unless the store does not respond.
constexpr Duration nodeListingTimeout = std::chrono::seconds(3);
// A store that lists other collections lists the evacuations by then, unless it does not know them.
constexpr Duration evacuationListingTimeout = std::chrono::seconds(3);
// Polling interval of the store until there is a configuration. Its response must not be stale, or a restarted node would
// apply a version that had been replaced before.
constexpr Duration pollInterval = std::chrono::seconds(1);
// A node that starts while others run has received their configuration by then.
constexpr Duration firstPollDelay = std::chrono::milliseconds(500);
constexpr Duration stateQueryDelay = std::chrono::milliseconds(250);
// The platform directs callers to this node until it has noticed that the node is not ready.
constexpr Duration minimumShutdownTime = std::chrono::milliseconds(2500);
// A request accepted later than this after the start of a shutdown might not be completed before the process ends.
constexpr Duration shutdownAcceptTime = std::chrono::milliseconds(3000);
constexpr Duration shutdownMargin = std::chrono::milliseconds(400);
constexpr auto shutdownCheckInterval = std::chrono::milliseconds(50);
constexpr std::int64_t unknownRevision = -1; // makes the next check read the settings again
constexpr Duration settingsCheckInterval = std::chrono::seconds(1);
// The clocks are read one after the other, so shorter differences are not suspensions.
constexpr Duration minimumSuspension = std::chrono::milliseconds(50);
// A failed accept is mostly due to a lack of descriptors.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);
// Shares of the descriptors. The rest is for peers, the server, the store and the log.
constexpr double callerDescriptorShare = 0.5;
constexpr double controlDescriptorShare = 0.0625;
// Announcements are much shorter.
constexpr std::uint64_t maximumControlBodyBytes = 64 * 1024;
constexpr std::string_view metricsPath = "/metrics";

ServerResponse emptyResponse(std::uint32_t status)
{
    ServerResponse response;
    response.status = status;
    return response;
}

} // namespace

Node::Node(Loop& loop, NodeSettings settings, PlatformCodec codec, SettingsSource settingsSource)
    : loop_(loop)
    , settings_(std::move(settings))
    , codec_(std::move(codec))
    , settingsSource_(std::move(settingsSource))
    , incarnation_(Support::randomSeed() | 1U)
    , log_(loop, settings_.name, settings_.logDescriptor)
    , memory_(std::make_shared<NodeMemory>(settings_.maximumMemory))
    , memoryReport_(*memory_)
    , guard_(loop, settings_, codec_.headers, codec_.serverReports, memory_->responses, log_)
    , peers_(loop, settings_, incarnation_, guard_, log_, peersHost())
    , accountLimits_(loop, settings_, incarnation_, peers_, log_, metrics_)
    , entry_(loop, settings_, codec_.headers, incarnation_, guard_, peers_, accountLimits_, log_, metrics_)
    , storeCalls_(loop, settings_.store, codec_.store.eraHeader)
    , configFollower_(loop, storeCalls_, codec_.store, Collection::Configuration, configWatchPause, incarnation_ + 2, log_, {[this](const std::vector<StoredObject>& objects, const StorePosition&) {
        for (const auto& object : objects)
            if (object.name == codec_.configName)
                applyConfig(object.content, "store"); }, [this](const std::vector<StoredObject>& objects, const StorePosition&) {
        for (const auto& object : objects)
            if (object.name == codec_.configName && !object.isDeleted)
                applyConfig(object.content, "store"); }})
    , evacuationFollower_(loop, storeCalls_, codec_.store, Collection::Evacuations, configWatchPause, incarnation_ + 4, log_, {[this](const std::vector<StoredObject>& objects, const StorePosition& position) { applyEvacuationListing(objects, position); }, [this](const std::vector<StoredObject>& objects, const StorePosition& position) { applyEvacuationChanges(objects, position); }})
    , directory_(loop, storeCalls_, codec_.store, settings_.name, ownRecord(), incarnation_ + 3, log_, {[this](const std::vector<StoredObject>& objects, bool isComplete) { applyNodeListing(objects, isComplete); }, [this](const std::optional<std::string>& content) { restore(content); }})
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
    setConnectionLimits();
    guard_.onStatusChange = [this] {
        peers_.publishStatus();
        entry_.serversChanged();
    };
    storeCalls_.onEraRise = [this] {
        log_.line(LogClass::Notable, "store-restored", "era={}", storeCalls_.era());
        directory_.onStoreRestored();
        peers_.publishVersion();
    };
    guard_.onPersistedStateChange = [this] { directory_.setContent(ownRecord()); };
    guard_.onSlowdownChange = [this] {
        peers_.publishSlowdown();
        entry_.slowdownChanged({settings_.name, settings_.server}, guard_.isSlowed());
    };
}

Peers::Host Node::peersHost()
{
    Peers::Host host;
    host.configVersion = [this] { return configVersion_; };
    host.configText = [this] { return configContent_; };
    host.onConfigText = [this](const std::string& content) { applyConfig(content, "peer"); };
    host.isFollowingStore = [this] { return configFollower_.isConnected(); };
    host.evacuations = [this]() -> const EvacuationDocument& { return evacuations_.document(); };
    host.onEvacuations = [this](const EvacuationDocument& document) { applyEvacuations(document, "peer"); };
    host.memory = memory_;
    host.onServersChanged = [this] { entry_.serversChanged(); };
    host.onSlowdownChange = [this](const std::string& node, const Support::Endpoint& server, bool isSlowed) { entry_.slowdownChanged({node, server}, isSlowed); };
    host.onTokenRequest = [this](const Quota::TokenRequest& request) { return accountLimits_.onRequest(request); };
    host.storeEra = [this] { return storeCalls_.era(); };
    host.onStoreEra = [this](std::uint64_t era) { storeCalls_.recordEra(era); };
    host.onTokenReply = [this](const std::string& node, const Quota::TokenReply& reply) { accountLimits_.onReply(node, reply); };
    return host;
}

void Node::start()
{
    log_.line(LogClass::Notable, "start", "service={} domain={} boot={} store={}", settings_.service, settings_.domain, incarnation_, settings_.store.text());
    listen(callerAcceptor_, settings_.callerAddress);
    accept(callerAcceptor_, callers_, callerHandlers());
    listen(readinessAcceptor_, settings_.readinessAddress);
    accept(readinessAcceptor_, controls_, controlHandlers());
    listen(announcementAcceptor_, settings_.announcementAddress);
    accept(announcementAcceptor_, controls_, controlHandlers());
    listen(metricsAcceptor_, settings_.metricsAddress);
    accept(metricsAcceptor_, controls_, controlHandlers());
    peers_.listen();
    startedAt_ = Support::monotonicNow();
    directory_.start();
    waitForSignals();
    storeCurrentAt_ = startedAt_;
    settingsCheckedAt_ = startedAt_;
    settingsRevision_ = settingsSource_.revision();
    suspendedTime_ = Support::suspendedTime();
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

void Node::accept(boost::asio::ip::tcp::acceptor& acceptor, CallerConnections& connections, const CallerConnection::Handlers& handlers)
{
    acceptor.async_accept([this, &acceptor, &connections, handlers](const boost::system::error_code& error, Socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error) {
            log_.line(LogClass::Notable, "accept-failed", "address={} error=\"{}\"", settings_.callerAddress.text(), error.message());
            acceptTimer_.expires_after(acceptRetryDelay);
            acceptTimer_.async_wait([this, &acceptor, &connections, handlers](const boost::system::error_code&) { accept(acceptor, connections, handlers); });
            return;
        }
        if (!makeRoom(connections))
            return accept(acceptor, connections, handlers); // the new socket is closed unread
        boost::system::error_code ignored; // a failure only delays small responses
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        auto connection = std::make_shared<CallerConnection>(std::move(socket), handlers);
        connections.add(connection);
        connection->start();
        accept(acceptor, connections, handlers);
    });
}

void Node::setConnectionLimits()
{
    callers_.setLimit(static_cast<std::size_t>(settings_.maximumDescriptors * callerDescriptorShare));
    controls_.setLimit(static_cast<std::size_t>(settings_.maximumDescriptors * controlDescriptorShare));
}

// Limits the connections, so that descriptors remain for peers, the server and the store.
bool Node::makeRoom(CallerConnections& connections)
{
    switch (connections.makeRoom(Support::monotonicNow())) {
    case RoomResult::Free:
        break;
    case RoomResult::ClosedIdle:
        metrics_.add("balsamreel_idle_callers_closed_total");
        break;
    case RoomResult::ClosedStalled:
        metrics_.add("balsamreel_stalled_callers_closed_total");
        break;
    case RoomResult::Full:
        metrics_.add("balsamreel_callers_refused_total");
        return false;
    }
    return true;
}

CallerConnection::Handlers Node::handlersFor(CallerConnections& connections)
{
    CallerConnection::Handlers handlers;
    handlers.onClosed = [&connections](const auto& caller) { connections.remove(caller); };
    handlers.isShuttingDown = [this] { return isShuttingDown_; };
    handlers.requestMemory = memory_->requests;
    handlers.responseMemory = memory_->responses;
    return handlers;
}

CallerConnection::Handlers Node::callerHandlers()
{
    auto handlers = handlersFor(callers_);
    handlers.onRequest = [this](const CallerRequest& caller, IncomingRequest&& incoming) {
        bool isTooLate = isShuttingDown_ && Support::monotonicNow() - shutdownSince_ > shutdownAcceptTime;
        entry_.handle(caller, std::move(incoming), isTooLate);
    };
    handlers.onCallerLeft = [this](const auto& caller) { entry_.callerLeft(caller); };
    handlers.canRunConcurrently = [this](const IncomingRequest& incoming) { return entry_.canRunConcurrently(incoming); };
    handlers.limits = [this] { return limits_; };
    return handlers;
}

CallerConnection::Handlers Node::controlHandlers()
{
    auto handlers = handlersFor(controls_);
    handlers.onRequest = [this](const CallerRequest& caller, IncomingRequest&& incoming) { onControl(caller, std::move(incoming)); };
    handlers.onCallerLeft = [](const auto&) {};
    handlers.canRunConcurrently = [](const IncomingRequest&) { return false; };
    handlers.limits = [] {
        CallerLimits limits;
        limits.bodyBytes = maximumControlBodyBytes;
        return limits;
    };
    return handlers;
}

void Node::onControl(const CallerRequest& caller, IncomingRequest&& incoming)
{
    if (incoming.request.target == metricsPath) {
        auto response = emptyResponse(ok);
        response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        response.body = metricsText();
        return caller.connection->respond(caller.number, std::move(response));
    }
    caller.connection->respond(caller.number, respondToControl(incoming.request));
}

ServerResponse Node::respondToControl(const Request& request)
{
    struct Visitor {
        Node& node;
        const Request& request;

        ServerResponse operator()(const ReadinessQuery&) const { return emptyResponse(node.isReady() ? ok : serviceUnavailable); }
        ServerResponse operator()(const Announcement& announcement) const { return node.onAnnouncement(announcement); }
        ServerResponse operator()(const ServerLeaveRequest& leave) const { return node.onLeave(leave); }
        ServerResponse operator()(const MalformedRequest&) const
        {
            node.log_.line(LogClass::Notable, "announcement-malformed", "target={} bytes={}", request.target, request.body.size());
            return emptyResponse(badRequest);
        }
        ServerResponse operator()(const UnknownRequest&) const { return emptyResponse(notFound); }
    };
    return std::visit(Visitor{*this, request}, codec_.readControlRequest(request));
}

ServerResponse Node::onAnnouncement(const Announcement& announcement)
{
    bool isAccepted = guard_.handleAnnouncement(announcement);
    if (!isAccepted)
        log_.line(LogClass::Notable, "announcement-ignored", "instance={} service={} address={} sequence={} born={}", announcement.instance, announcement.service, announcement.address.text(), announcement.sequence, announcement.processStartMillis);
    return codec_.acknowledge();
}

ServerResponse Node::onLeave(const ServerLeaveRequest& leave)
{
    log_.line(LogClass::Notable, "server-leaves", "instance={}", leave.instance);
    guard_.handleLeave(leave.instance, leave.processStartMillis);
    return codec_.acknowledge();
}

bool Node::isReady() const
{
    return configVersion_ > 0 && !isShuttingDown_;
}

void Node::applyConfig(const std::string& content, std::string_view source)
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
    const auto* ownService = routes->service(settings_.service);
    guard_.setServiceConfig(ownService ? *ownService : ServiceConfig());
    accountLimits_.setAccounts(routes->config().accounts);
    entry_.setRoutes(std::move(routes));
    peers_.publishVersion();
}

void Node::applyEvacuations(EvacuationDocument document, std::string_view source)
{
    auto now = Support::monotonicNow();
    bool hasChanged = evacuations_.apply(now, std::move(document), settings_.storeRecoveryTime);
    guard_.setEvacuated(evacuations_.isEvacuated(now, settings_.domain));
    if (!hasChanged)
        return;
    const auto& current = evacuations_.document();
    log_.line(LogClass::Notable, "evacuations-changed", "source={} domains={} era={} revision={}", source, fmt::join(current.domains, ","), current.position.era, current.position.revision);
    peers_.publishEvacuations();
}

void Node::applyEvacuationListing(const std::vector<StoredObject>& objects, const StorePosition& position)
{
    EvacuationDocument document{position, {}};
    for (const auto& object : objects)
        document.domains.insert(object.name);
    applyEvacuations(std::move(document), "store");
    if (hasListedEvacuations_)
        return;
    hasListedEvacuations_ = true;
    // The configuration may be loaded now, so this does not wait for the next interval.
    lastWatcherSelection_ = {};
    lastPoll_ = {};
}

// The document may be newer than the start of the watch, because another node has sent it. Each object's last change is
// what counts, so changes that the document contains already do no harm.
void Node::applyEvacuationChanges(const std::vector<StoredObject>& objects, const StorePosition& position)
{
    EvacuationDocument document{position, evacuations_.document().domains};
    for (const auto& object : objects) {
        if (object.isDeleted)
            document.domains.erase(object.name);
        else
            document.domains.insert(object.name);
    }
    applyEvacuations(std::move(document), "store");
}

std::string Node::ownRecord() const
{
    return codec_.writeNode({{settings_.name, settings_.peerAddress, settings_.domain}, guard_.persistedState()});
}

void Node::applyNodeListing(const std::vector<StoredObject>& objects, bool isComplete)
{
    std::vector<NodeRecord> records;
    for (const auto& object : objects) {
        auto record = codec_.readNode(object.content);
        if (!record || record->node.name != object.name) {
            log_.line(LogClass::Notable, "node-entry-unreadable", "name={}", object.name);
            continue;
        }
        records.push_back(std::move(record->node));
    }
    peers_.addNodes(records);
    if (isComplete)
        peers_.removeUnlisted(records);
}

// Restores the server's state that an earlier incarnation of this node persisted.
void Node::restore(const std::optional<std::string>& content)
{
    auto record = content ? codec_.readNode(*content) : std::nullopt;
    if (content && !record)
        log_.line(LogClass::Notable, "node-entry-unreadable", "name={}", settings_.name);
    guard_.restore(record ? record->persistedState : PersistedServerState());
    directory_.setContent(ownRecord());
}

void Node::waitForSignals()
{
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            // The settings are read at the next tick, once for all signals received until then.
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
    log_.line(LogClass::Notable, "stop", "open_calls={} guarded={} server_gone={}", entry_.openCount(), guard_.openCount(), guard_.hasServerLeft());
    guard_.close();
    if (guard_.hasServerLeft())
        directory_.remove();
    checkShutdown();
}

// Ends when no call is open and callers have had time to switch to other nodes, or shortly before the platform kills the
// process.
void Node::checkShutdown()
{
    auto elapsed = Support::monotonicNow() - shutdownSince_;
    bool isQuiet = entry_.openCount() == 0 && guard_.openCount() == 0;
    if ((isQuiet && elapsed >= minimumShutdownTime) || elapsed >= settings_.shutdownGrace - shutdownMargin)
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
    accountLimits_.tick(now, directory_.hasSeenOwnRecord() || peers_.hasReceivedList());
    followStore(now);
    queryPeers(now);
    memoryReport_.tick(now, log_);
    tick_.expires_after(tickInterval);
    tick_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            tick();
    });
}

// Only a few nodes watch the store. The others receive changes from them.
void Node::followStore(Instant now)
{
    bool knowsNodes = directory_.hasSeenOwnRecord() || now - startedAt_ >= nodeListingTimeout;
    if (knowsNodes && now - lastWatcherSelection_ >= watcherSelectionInterval) {
        lastWatcherSelection_ = now;
        bool isWatcher = watcherSelection_.decide(now, peers_.watchCandidates(), configFollower_.isConnected());
        configFollower_.follow(isWatcher && mayLoadConfig(now));
        evacuationFollower_.follow(isWatcher && settings_.followsEvacuations);
    }
    if (configFollower_.isConnected() != publishedFollowing_) {
        publishedFollowing_ = !publishedFollowing_;
        peers_.publishFollowing();
    }
    if (configVersion_ > 0 || now - startedAt_ < firstPollDelay || now - lastPoll_ < pollInterval)
        return;
    lastPoll_ = now;
    pollStore(now);
}

// A node without a configuration sends nothing to its server. One that comes from the store has to wait until the store has
// told which failure domains are evacuated; one that comes from a peer is preceded by what that peer knows of them.
bool Node::mayLoadConfig(Instant now) const
{
    return !settings_.followsEvacuations || hasListedEvacuations_ || configVersion_ > 0 || now - startedAt_ >= evacuationListingTimeout;
}

void Node::pollStore(Instant now)
{
    if (settings_.followsEvacuations && !hasListedEvacuations_)
        evacuationFollower_.poll();
    if (mayLoadConfig(now))
        configFollower_.poll();
}

// The store is the first source of nodes and configuration. Peers are queried while it does not supply them, and comparing
// versions with peers finds updates that were missed.
void Node::queryPeers(Instant now)
{
    bool isStoreCurrent = directory_.isConnected() && (configFollower_.isConnected() || !configFollower_.isWanted()) && configVersion_ > 0;
    if (isStoreCurrent)
        storeCurrentAt_ = now;
    if (now - storeCurrentAt_ >= stateQueryDelay && now - lastStateQuery_ >= stateQueryInterval) {
        lastStateQuery_ = now;
        peers_.queryState();
    }
    compareWithPeer(now);
}

void Node::compareWithPeer(Instant now)
{
    if (now - lastVersionComparison_ < versionComparisonInterval)
        return;
    lastVersionComparison_ = now;
    peers_.compareVersion();
    if (!evacuations_.isInUse())
        return;
    peers_.compareEvacuations();
    // An evacuation that an older copy of the store lacks ends with time.
    guard_.setEvacuated(evacuations_.isEvacuated(now, settings_.domain));
}

// Timers stop while the VM is suspended, but the deadlines of callers do not.
void Node::handleSuspension(Instant now)
{
    auto suspendedTime = Support::suspendedTime();
    auto increase = suspendedTime - suspendedTime_;
    suspendedTime_ = suspendedTime;
    if (increase < minimumSuspension)
        return;
    log_.line(LogClass::Notable, "resumed", "suspended_us={} open_calls={}", increase.count(), entry_.openCount());
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
        applySettings(*settings);
}

// Limits take effect immediately. The node's identity and addresses stay the same until the process restarts.
void Node::applySettings(const NodeSettings& settings)
{
    bool needsRestart = settings.name != settings_.name || settings.domain != settings_.domain || settings.service != settings_.service || settings.server != settings_.server || settings.callerAddress != settings_.callerAddress || settings.readinessAddress != settings_.readinessAddress || settings.announcementAddress != settings_.announcementAddress || settings.peerAddress != settings_.peerAddress || settings.store != settings_.store;
    if (needsRestart)
        log_.line(LogClass::Notable, "restart-needed", "name={} server={} caller_address={} peer_address={} store={}", settings.name, settings.server.text(), settings.callerAddress.text(), settings.peerAddress.text(), settings.store.text());
    settings_.shutdownGrace = settings.shutdownGrace;
    settings_.retryRatio = settings.retryRatio;
    settings_.retrySlack = settings.retrySlack;
    settings_.retryWindow = settings.retryWindow;
    settings_.probesPerSecond = settings.probesPerSecond;
    settings_.quotaWindow = settings.quotaWindow;
    settings_.quotaOverage = settings.quotaOverage;
    settings_.quotaSlack = settings.quotaSlack;
    settings_.coldOverage = settings.coldOverage;
    settings_.coldSlack = settings.coldSlack;
    settings_.followsEvacuations = settings.followsEvacuations;
    settings_.storeRecoveryTime = settings.storeRecoveryTime;
    settings_.maximumDescriptors = settings.maximumDescriptors;
    setConnectionLimits();
    guard_.applySettings();
    accountLimits_.applySettings();
    entry_.applySettings();
}

std::string Node::metricsText()
{
    metrics_.set("balsamreel_open_calls", static_cast<double>(entry_.openCount()));
    metrics_.set("balsamreel_guarded_calls", static_cast<double>(guard_.openCount()));
    metrics_.set("balsamreel_server_requests", static_cast<double>(guard_.sentCount()));
    metrics_.set("balsamreel_server_limit_per_second", guard_.rateLimit().value_or(std::numeric_limits<double>::infinity()));
    metrics_.set("balsamreel_server_cold", guard_.isServerCold() ? 1 : 0);
    metrics_.set("balsamreel_domain_evacuated", guard_.isEvacuated() ? 1 : 0);
    metrics_.set("balsamreel_evacuated_domains", static_cast<double>(evacuations_.document().domains.size()));
    metrics_.set("balsamreel_server_leaving", guard_.hasServerLeft() ? 1 : 0);
    metrics_.set("balsamreel_peers", static_cast<double>(peers_.knownCount()));
    memoryReport_.setMetrics(metrics_);
    metrics_.set("balsamreel_config_version", static_cast<double>(configVersion_));
    metrics_.set("balsamreel_store_era", static_cast<double>(storeCalls_.era()));
    metrics_.set("balsamreel_store_calls", static_cast<double>(storeCalls_.count()));
    metrics_.set("balsamreel_log_lines_left_out", static_cast<double>(log_.droppedLineCount()));
    return metrics_.text();
}

} // namespace balsamreel::Relay
