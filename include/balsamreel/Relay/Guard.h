// The only way to the server beside this node: admits, runs and settles offers.
#pragma once

#include "balsamreel/Admission/AdmissionController.h"
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

class Guard {
public:
    using Done = std::function<void(const Outcome&, const Wire::LoadStamp&)>;
    using LoadReader = std::function<std::optional<LoadReport>(std::string_view)>;

    Guard(Loop&, const NodeSettings&, HeaderNames, LoadReader, EventLog&);

    /// Takes an offer; the callback comes once, possibly before this returns, unless the offer is cancelled.
    void submit(const AttemptKey&, const AttemptRequest&, Done);

    /// Nobody waits for the offer any more. Idempotent work is stopped; other work that runs goes on to its end.
    void cancel(const AttemptKey&);

    /// Gives the outcome of an offer to a sender that lost its link; an unknown one will never run.
    void queryOutcome(const AttemptKey&, Done);

    /// An announcement of the server; false if it is not accepted as news of it.
    bool handleAnnouncement(const Announcement&);
    void handleLeave(const std::string& instance, std::optional<std::int64_t> processStartMillis);

    /// What an earlier process of this node knew of the server; to be called once. An unannounced server waits for it a while.
    void restore(const PersistedServerState&);
    const PersistedServerState& persistedState() const { return persistedState_; }

    /// Gives up work that its server has not answered though its time is over.
    void tick(Instant now);

    /// The node's settings have changed.
    void applySettings();

    /// The node leaves: no other node is to offer work any more.
    void close();

    /// Where the server tells its health; empty: it isn't asked.
    void setHealthPath(const std::string& path);

    ServerStatus status() const;
    bool isSlowed() const { return isSlowed_; }
    Wire::LoadStamp loadStamp() const;
    std::size_t openCount() const { return attempts_.size(); }

    /// Called whenever status() has changed.
    std::function<void()> onStatusChange;

    /// Called whenever notes() has changed.
    std::function<void()> onPersistedStateChange;

    /// Called whenever isSlowed() has changed.
    std::function<void()> onSlowdownChange;

private:
    struct Attempt {
        AttemptKey key;
        AttemptRequest offer;
        Done done; ///< empty: nobody waits
        Instant offeredAt;
        Instant deadline;
        Instant startedAt;
        std::uint32_t runningAtStart = 0; ///< at the server, this one included
        bool wasSlowed = false; ///< started while the server was slowed down
        std::shared_ptr<HttpClientConnection> connection; ///< set while it runs
    };

    void refuse(const AttemptKey&, const AttemptRequest&, NotRun, const Done&);
    void resolve(const std::vector<Admission::Resolution>&);
    void startOrHold(std::uint64_t ticket);
    void start(std::uint64_t ticket);
    void probeSlowdown();
    void recordSlowdown(const HttpResult&);
    void discover();
    void onDiscoveryResponse(const HttpResult&);
    bool updateSlowdownState(std::string_view load); ///< false if it can't be read
    void releaseHeld();
    void onServerResponse(std::uint64_t ticket, HttpResult);
    void complete(std::uint64_t ticket, const Outcome&, bool hasSucceeded);
    Outcome outcomeOf(const Attempt&, HttpResult);
    Outcome outcomeOf(const Attempt&, HttpResponse&&);
    std::vector<Header> addedHeaders(const Attempt&, Instant now) const;
    std::shared_ptr<HttpClientConnection> takeConnection(bool isIdempotent, Instant now);
    void onServerChange(const ServerStatus& before);
    void setPersistedState(PersistedServerState);
    void learnUsableSlots(const Attempt&, Instant now);
    void scheduleTick();

    Loop& loop_;
    const NodeSettings& settings_;
    HeaderNames names_;
    LoadReader readLoad_;
    EventLog& log_;
    LocalServer server_;
    Admission::AdmissionController admission_;
    Admission::SaturationDetector saturation_;
    PersistedServerState persistedState_;
    bool hasRestoredState_ = false;
    std::uint32_t announcedSlots_ = 0;
    std::uint32_t runningAtServer_ = 0;
    QueueDeadline queueDeadline_;
    std::uint64_t nextTicket_ = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<Attempt>> attempts_;
    std::map<AttemptKey, std::uint64_t> tickets_;
    CompletedAttempts completed_;
    StartPolicy startPolicy_;
    std::vector<std::uint64_t> held_; ///< admitted, waiting for the server's pace
    std::string healthPath_;
    std::shared_ptr<HttpClientConnection> probeConnection_;
    boost::asio::steady_timer probeTimer_;
    Instant lastProbeAt_;
    bool isProbing_ = false;
    bool isProbeScheduled_ = false;
    bool isSlowed_ = false;
    boost::asio::steady_timer discoveryTimer_;
    std::shared_ptr<HttpClientConnection> discoveryConnection_; ///< asks an unannounced server for its id
    std::shared_ptr<ResponseMemoryBudget> answerMemory_;
    std::vector<std::shared_ptr<HttpClientConnection>> idle_; ///< the last used comes last
    boost::asio::steady_timer tick_;
    bool isTickScheduled_ = false;
    bool isClosed_ = false;
};

} // namespace balsamreel::Relay
