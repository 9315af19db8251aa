// Proxy in front of the node's own server, and the only path to it: admits, runs and completes attempts.
#pragma once

#include "balsamreel/Admission/AdmissionController.h"
#include "balsamreel/Admission/ColdServerLimiter.h"
#include "balsamreel/Admission/RequestRateLimiter.h"
#include "balsamreel/Admission/SaturationDetector.h"
#include "balsamreel/Relay/CompletedAttempts.h"
#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/HttpClientConnection.h"
#include "balsamreel/Relay/LocalServer.h"
#include "balsamreel/Relay/PeerMessages.h"
#include "balsamreel/Relay/QueueDeadline.h"
#include "balsamreel/Relay/StartPolicy.h"

#include <boost/asio/steady_timer.hpp>

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamreel::Relay {

/// Decoders of what a server reports about itself with a response. Each returns null if the report is malformed.
struct ServerReportReaders {
    std::function<std::optional<LoadReport>(std::string_view)> load;
    std::function<std::optional<ServerNotice>(const boost::beast::http::fields&)> notice;
};

class Guard {
public:
    using Done = std::function<void(const Outcome&, const Wire::LoadStamp&)>;

    /// Responses count in the budget as soon as their bytes arrive.
    Guard(Loop&, const NodeSettings&, HeaderNames, ServerReportReaders, std::shared_ptr<MemoryBudget> responseMemory, EventLog&);

    /// Admits, queues or refuses an attempt. Calls back once, possibly before returning, unless the attempt is
    /// cancelled.
    void submit(const AttemptKey&, const AttemptRequest&, Done);

    /// Drops the callback of an attempt. If it is already running, it is aborted if idempotent and runs to completion
    /// otherwise.
    void cancel(const AttemptKey&);

    /// Reports the outcome of an attempt to a sender that lost its peer connection and waits for it until the deadline. An
    /// attempt that was never seen is refused from now on.
    void queryOutcome(const AttemptKey&, Instant deadline, Done);

    /// Applies an announcement of the server. Returns false if it is outdated or about another server.
    bool handleAnnouncement(const Announcement&);
    void handleLeave(const std::string& instance, std::optional<std::int64_t> processStartMillis);

    /// Restores what an earlier process of this node knew about the server. To be called once; the discovery of an
    /// unannounced server waits for it for a limited time.
    void restore(const PersistedServerState&);
    const PersistedServerState& persistedState() const { return persistedState_; }

    /// Completes attempts whose server has not responded although their deadline has passed.
    void tick(Instant now);

    /// To be called when the node's settings have changed.
    void applySettings();

    /// The node is leaving: refuses new attempts, and status() reports no server any more.
    void close();

    /// Sets the configuration of the server's service. The server is not probed while it has no health path.
    void setServiceConfig(const ServiceConfig&);

    /// Sets whether the operator has taken the node's failure domain out of service. If so, queued and new attempts are
    /// refused, and status() reports no server. Afterwards the server counts as cold.
    void setEvacuated(bool isEvacuated);

    ServerStatus status() const;

    /// Whether the last server here has announced or stated that it leaves, and no other has taken its place.
    bool hasServerLeft() const { return !server_.ready() && !persistedState_.departedInstance.empty(); }
    bool isSlowed() const { return isSlowed_; }
    Wire::LoadStamp loadStamp() const;
    std::size_t openCount() const { return attempts_.size(); }

    /// The limit that the server has named, in requests per second.
    std::optional<double> rateLimit() const { return rateLimiter_.limit(); }

    /// Whether the server takes only a limited rate of requests because it is cold.
    bool isServerCold() const { return cold_.isCold(); }

    bool isEvacuated() const { return isEvacuated_; }

    /// Number of requests sent to the server, without health probes.
    std::uint64_t sentCount() const { return sentCount_; }

    /// Called whenever status() has changed.
    std::function<void()> onStatusChange;

    /// Called whenever persistedState() has changed.
    std::function<void()> onPersistedStateChange;

    /// Called whenever isSlowed() has changed.
    std::function<void()> onSlowdownChange;

private:
    struct Attempt {
        AttemptKey key;
        AttemptRequest request;
        ServerProcess process; ///< the server that runs it
        Done done; ///< empty if nobody waits for the outcome
        Instant submittedAt;
        Instant deadline;
        Instant startedAt;
        std::uint32_t runningAtStart = 0; ///< attempts at the server, including this one
        bool hasRateRoom = false; ///< it has taken room under the server's limit
        bool hasColdRoom = false; ///< it has a reservation under the limit of a cold server
        bool wasSlowed = false; ///< whether the server was slowed down when it started
        std::shared_ptr<HttpClientConnection> connection; ///< set once the attempt runs
    };

    void refuse(const AttemptKey&, const AttemptRequest&, Instant deadline, NotRun, const Done&);
    void applyResolutions(const std::vector<Admission::Resolution>&);
    void returnRateRoom(const Attempt&);
    void startOrHold(std::uint64_t ticket);
    void start(std::uint64_t ticket);
    void probeSlowdown();
    void setHealthPath(const std::string&);
    void updateColdOptions();
    void updateColdState();
    void recordColdTime(const Announcement&);
    std::optional<Duration> statedColdTime(const HttpResponse&) const;
    void refuseWaiting(Reason);
    void onProbeResult(const HttpResult&);
    void discover();
    void onDiscoveryResponse(const HttpResult&);
    bool updateSlowdownState(std::string_view load); ///< false if the load header is malformed
    ServerProcess currentProcess() const;
    bool isCurrent(const ServerProcess&) const;
    void updateNotice(std::string_view source, const ServerProcess&, const HttpResponse&);
    void updateNoticeFromHealth(const HttpResponse&);
    void handleLeaveStatement(const ServerProcess&);
    void releaseHeld();
    void onServerResponse(std::uint64_t ticket, HttpResult);
    void complete(std::uint64_t ticket, const Outcome&, bool hasSucceeded);
    Outcome outcomeOf(const Attempt&, HttpResult);
    Outcome outcomeOf(const Attempt&, HttpResponse&&);
    std::vector<Header> addedHeaders(const Attempt&, Instant now) const;
    std::shared_ptr<HttpClientConnection> takeConnection(const AttemptRequest&, Instant now);
    std::shared_ptr<HttpClientConnection> openConnection();
    void onServerChange(const ServerStatus& before);
    void setPersistedState(PersistedServerState);
    void learnUsableSlots(const Attempt&, Instant now);
    void scheduleTick();

    Loop& loop_;
    const NodeSettings& settings_;
    HeaderNames names_;
    ServerReportReaders readers_;
    EventLog& log_;
    LocalServer server_;
    Admission::AdmissionController admission_;
    Admission::RequestRateLimiter rateLimiter_;
    Admission::ColdServerLimiter cold_;
    Admission::SaturationDetector saturation_;
    PersistedServerState persistedState_;
    bool hasRestoredState_ = false;
    std::uint32_t announcedSlots_ = 0;
    std::uint32_t runningAtServer_ = 0;
    ServerNotice serverNotice_;
    std::uint64_t sentCount_ = 0;
    std::uint64_t connectionCount_ = 0; ///< connections opened to the server for attempts
    QueueDeadline queueDeadline_;
    std::uint64_t nextTicket_ = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<Attempt>> attempts_;
    std::map<AttemptKey, std::uint64_t> tickets_;
    CompletedAttempts completed_;
    StartPolicy startPolicy_;
    std::vector<std::uint64_t> held_; ///< tickets of admitted attempts that the start policy holds
    ServiceConfig serviceConfig_;
    std::string healthPath_;
    std::shared_ptr<HttpClientConnection> probeConnection_;
    boost::asio::steady_timer probeTimer_;
    Instant lastProbeAt_;
    bool isProbing_ = false;
    bool isProbeScheduled_ = false;
    bool isSlowed_ = false;
    boost::asio::steady_timer discoveryTimer_;
    std::shared_ptr<HttpClientConnection> discoveryConnection_; ///< queries an unannounced server for its instance id
    std::shared_ptr<MemoryBudget> responseMemory_;
    std::vector<std::shared_ptr<HttpClientConnection>> idleConnections_; ///< most recently used last
    boost::asio::steady_timer tickTimer_;
    bool isTickScheduled_ = false;
    bool isEvacuated_ = false;
    bool isClosed_ = false;
};

} // namespace balsamreel::Relay
