// The event-driven daemon: listeners, store followers, startup and shutdown.
#pragma once

#include "balsamreel/Relay/AccountLimits.h"
#include "balsamreel/Relay/CallerConnections.h"
#include "balsamreel/Relay/Entry.h"
#include "balsamreel/Relay/Evacuations.h"
#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/Guard.h"
#include "balsamreel/Relay/MemoryReport.h"
#include "balsamreel/Relay/NodeDirectory.h"
#include "balsamreel/Relay/NodeMemory.h"
#include "balsamreel/Relay/Peers.h"
#include "balsamreel/Relay/StoreFollower.h"
#include "balsamreel/Relay/WatcherSelection.h"
#include "balsamreel/Support/Metrics.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace balsamreel::Relay {

struct ReadinessQuery { };
struct ServerLeaveRequest {
    std::string instance;
    std::optional<std::int64_t> processStartMillis;
};
struct MalformedRequest { };
struct UnknownRequest { };

/// A parsed request to one of the node's own addresses.
using ControlRequest = std::variant<ReadinessQuery, Announcement, ServerLeaveRequest, MalformedRequest, UnknownRequest>;

/// All platform-specific names and formats, as pure functions.
struct PlatformCodec {
    HeaderNames headers;
    StoreCodec store;
    std::function<std::optional<RoutingConfig>(const std::string& content, std::string& error)> readConfig;
    std::function<std::optional<StoredNodeRecord>(const std::string& content)> readNode;
    std::function<std::string(const StoredNodeRecord&)> writeNode;
    std::function<ControlRequest(const Request&)> readControlRequest;
    std::function<ServerResponse()> acknowledge; ///< the response to announcements and leave requests
    ServerReportReaders serverReports;
    std::string configName; ///< name of the store object that holds the configuration
};

/// Source of the settings, which may be read again while the node runs.
struct SettingsSource {
    std::function<std::optional<NodeSettings>(std::string& error)> read;
    std::function<std::int64_t()> revision; ///< changes whenever the settings may have changed
};

class Node {
public:
    Node(Loop&, NodeSettings, PlatformCodec, SettingsSource);

    /// Opens the listeners and starts to follow the store.
    void start();

private:
    void listen(boost::asio::ip::tcp::acceptor&, const Support::Endpoint&);
    void accept(boost::asio::ip::tcp::acceptor&, CallerConnections&, const CallerConnection::Handlers&);
    Peers::Host peersHost();
    CallerConnection::Handlers handlersFor(CallerConnections&);
    CallerConnection::Handlers callerHandlers();
    CallerConnection::Handlers controlHandlers();
    void onControl(const CallerRequest&, IncomingRequest&&);
    ServerResponse respondToControl(const Request&);
    ServerResponse onAnnouncement(const Announcement&);
    ServerResponse onLeave(const ServerLeaveRequest&);
    bool isReady() const;
    void applyConfig(const std::string& content, std::string_view source);
    void applyEvacuations(EvacuationDocument, std::string_view source);
    void applyEvacuationListing(const std::vector<StoredObject>&, const StorePosition&);
    void applyEvacuationChanges(const std::vector<StoredObject>&, const StorePosition&);
    bool mayLoadConfig(Instant now) const;
    void pollStore(Instant now);
    void compareWithPeer(Instant now);
    void applyNodeListing(const std::vector<StoredObject>&, bool isComplete);
    void restore(const std::optional<std::string>& content);
    std::string ownRecord() const;
    void waitForSignals();
    void shutDown();
    void checkShutdown();
    void end();
    void tick();
    void followStore(Instant now);
    void queryPeers(Instant now);
    void handleSuspension(Instant now);
    void followSettings(Instant now);
    void reload(std::string_view cause);
    void applySettings(const NodeSettings&);
    void setConnectionLimits();
    bool makeRoom(CallerConnections&);
    std::string metricsText();

    Loop& loop_;
    NodeSettings settings_;
    PlatformCodec codec_;
    SettingsSource settingsSource_;
    std::int64_t settingsRevision_ = 0;
    Instant settingsCheckedAt_;
    Duration suspendedTime_;
    std::uint64_t incarnation_;
    Support::Metrics metrics_;
    EventLog log_;
    Evacuations evacuations_;
    std::shared_ptr<NodeMemory> memory_;
    MemoryReport memoryReport_;
    Guard guard_;
    Peers peers_;
    AccountLimits accountLimits_;
    Entry entry_;
    StoreCalls storeCalls_;
    StoreFollower configFollower_;
    StoreFollower evacuationFollower_;
    NodeDirectory directory_;
    WatcherSelection watcherSelection_;
    boost::asio::ip::tcp::acceptor callerAcceptor_;
    boost::asio::ip::tcp::acceptor readinessAcceptor_;
    boost::asio::ip::tcp::acceptor announcementAcceptor_;
    boost::asio::ip::tcp::acceptor metricsAcceptor_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer tick_;
    boost::asio::steady_timer shutdownTimer_;
    boost::asio::steady_timer acceptTimer_;
    CallerConnections callers_;
    CallerConnections controls_; ///< of the other listeners
    std::uint64_t configVersion_ = 0;
    std::string configContent_;
    CallerLimits limits_;
    Instant shutdownSince_;
    Instant startedAt_;
    Instant storeCurrentAt_; ///< last time at which the store supplied all that the node needs from it
    Instant lastStateQuery_;
    Instant lastVersionComparison_;
    Instant lastWatcherSelection_;
    Instant lastPoll_;
    bool hasListedEvacuations_ = false; ///< from the store, since the start
    bool publishedFollowing_ = false; ///< as last published to the peers
    bool isShuttingDown_ = false;
};

} // namespace balsamreel::Relay
