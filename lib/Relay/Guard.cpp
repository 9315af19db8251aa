#include "balsamreel/Relay/Guard.h"

#include "balsamreel/Relay/AdmissionOptions.h"
#include "balsamreel/Relay/HttpText.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

constexpr std::uint32_t slotsBeforeAnnouncement = 1;
constexpr auto tickInterval = std::chrono::milliseconds(10);
// A request that may run only once isn't sent on a connection that its server may have forgotten.
constexpr Duration freshConnection = std::chrono::seconds(1);
// A server stops work at the deadline that it is given; one that says nothing for this long after it never will.
constexpr Duration silenceAfterDeadline = std::chrono::milliseconds(500);
// What answers that are not whole yet may take of the node's memory; a copy is made when they are handed on.
constexpr std::uint64_t answerMemoryPart = 8;
constexpr Duration shedWait = std::chrono::milliseconds(150);
constexpr std::uint32_t misdirected = 421;
constexpr std::uint32_t ok = 200;
constexpr double microsPerSecond = 1e6;
constexpr auto discoveryInterval = std::chrono::milliseconds(200);
// A server that leaves may say that it is well. An earlier process of the node has noted it, but the store may be away.
constexpr auto longestWaitForNotes = std::chrono::milliseconds(600);
// A server that is slow to tell its pace gets its work without it.
constexpr auto probeTimeout = std::chrono::milliseconds(15);

Reason reasonOf(Admission::RefusalReason reason)
{
    switch (reason) {
    case Admission::RefusalReason::DeadlineTooNear:
        return Reason::DeadlineTooNear;
    case Admission::RefusalReason::Draining:
        return Reason::ServerLeaving;
    case Admission::RefusalReason::Overloaded:
    case Admission::RefusalReason::WaitedTooLong:
        break;
    }
    return Reason::Overloaded;
}

Reason reasonOf(const Outcome& outcome)
{
    if (const auto* notRun = std::get_if<NotRun>(&outcome))
        return notRun->reason;
    if (const auto* unknown = std::get_if<Unknown>(&outcome))
        return unknown->reason;
    return Reason::None;
}

Duration observationInterval(const NodeSettings& settings)
{
    return Duration(static_cast<Duration::rep>(microsPerSecond / std::max(1.0, settings.probesPerSecond)));
}

} // namespace

Guard::Guard(Loop& loop, const NodeSettings& settings, HeaderNames names, LoadReader readLoad, EventLog& log)
    : loop_(loop)
    , settings_(settings)
    , names_(std::move(names))
    , readLoad_(std::move(readLoad))
    , log_(log)
    , server_(settings.service, settings.server)
    , admission_(admissionOptions(slotsBeforeAnnouncement))
    , saturation_(slotsBeforeAnnouncement)
    , startPolicy_(observationInterval(settings))
    , probeTimer_(loop)
    , discoveryTimer_(loop)
    , answerMemory_(std::make_shared<ResponseMemoryBudget>(ResponseMemoryBudget{settings.maximumMemory / answerMemoryPart}))
    , tick_(loop)
{
}

ServerStatus Guard::status() const
{
    ServerStatus status;
    status.service = settings_.service;
    status.address = settings_.server;
    const auto* ready = server_.ready();
    if (!ready || isClosed_)
        return status;
    status.instance = ready->instance;
    status.slots = saturation_.usableSlots();
    status.isCold = ready->coldTime > Duration::zero();
    return status;
}

Wire::LoadStamp Guard::loadStamp() const
{
    auto load = admission_.load(Support::monotonicNow());
    return {load.running, load.queued, load.limit, static_cast<std::uint32_t>(load.expectedWait.count())};
}

void Guard::onServerChange(const ServerStatus& before)
{
    const auto* ready = server_.ready();
    if (ready && (ready->instance != before.instance || ready->slots != announcedSlots_)) {
        announcedSlots_ = ready->slots;
        saturation_ = Admission::SaturationDetector(announcedSlots_);
        saturation_.restore(Support::monotonicNow(), persistedState_.lastSlotVerdict);
    }
    auto now = status();
    if (now == before)
        return;
    admission_.setOptions(admissionOptions(saturation_.usableSlots()));
    if (now.instance != before.instance) {
        log_.line(LogClass::Notable, "server-state", "service={} before={} now={} slots={}", now.service, before.instance, now.instance, now.slots);
        idle_.clear();
        startPolicy_.reset();
    }
    onStatusChange();
}

bool Guard::handleAnnouncement(const Announcement& announcement)
{
    auto before = status();
    bool isAccepted = server_.handleAnnouncement(announcement);
    onServerChange(before);
    if (isAccepted && announcement.state == ServerState::Draining)
        setPersistedState({persistedState_.lastSlotVerdict, announcement.instance});
    return isAccepted;
}

void Guard::setPersistedState(PersistedServerState persistedState)
{
    if (persistedState == persistedState_)
        return;
    persistedState_ = std::move(persistedState);
    if (onPersistedStateChange)
        onPersistedStateChange();
}

// A server that leaves may go on answering that it is well, and says itself that it leaves only once.
void Guard::restore(const PersistedServerState& persistedState)
{
    log_.line(LogClass::Notable, "notes-recalled", "last_slots={} left_instance={}", Support::nameOf(Admission::slotVerdictNames, persistedState.lastSlotVerdict), persistedState.departedInstance);
    auto before = status();
    hasRestoredState_ = true;
    // What was learned in the meantime is newer.
    if (persistedState_.lastSlotVerdict == Admission::SlotVerdict::Unknown)
        persistedState_.lastSlotVerdict = persistedState.lastSlotVerdict;
    if (persistedState_.departedInstance.empty())
        persistedState_.departedInstance = persistedState.departedInstance;
    const auto* current = server_.current();
    if (current && !server_.hasReported() && current->instance == persistedState.departedInstance)
        server_.handleLeave(persistedState.departedInstance, std::nullopt);
    if (saturation_.verdict() == Admission::SlotVerdict::Unknown)
        saturation_.restore(Support::monotonicNow(), persistedState.lastSlotVerdict);
    onServerChange(before);
    if (!healthPath_.empty())
        discover();
}

void Guard::setHealthPath(const std::string& path)
{
    bool isFirst = healthPath_.empty() && !path.empty();
    healthPath_ = path;
    if (!isFirst)
        return;
    if (hasRestoredState_)
        return discover();
    discoveryTimer_.expires_after(longestWaitForNotes);
    discoveryTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            discover();
    });
}

// A node that starts beside a running server asks it who it is: its next announcement may be more than a second away.
// A server that leaves says that it is not healthy.
void Guard::discover()
{
    if (server_.current() || server_.hasReported() || isClosed_)
        return;
    discoveryConnection_ = std::make_shared<HttpClientConnection>(loop_, settings_.server, answerMemory_);
    Request request;
    request.method = "GET";
    request.target = healthPath_;
    request.host = settings_.server.text();
    discoveryConnection_->exchange(serializeRequest(request, {}), {}, false, [this](const HttpResult& result) { onDiscoveryResponse(result); });
    discoveryTimer_.expires_after(discoveryInterval);
    discoveryTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled)
            return;
        discoveryConnection_->close();
        discover();
    });
}

void Guard::onDiscoveryResponse(const HttpResult& result)
{
    const auto* reply = std::get_if<HttpResponse>(&result);
    if (!reply || reply->status != ok || server_.current() || server_.hasReported())
        return;
    auto value = [&](const std::string& name) {
        auto text = reply->fields[boost::beast::string_view(name.data(), name.size())];
        return std::string(text.data(), text.size());
    };
    auto load = readLoad_(value(names_.load));
    auto instance = value(names_.instance);
    if (instance.empty() || instance == persistedState_.departedInstance || !load || load->slots == 0)
        return;
    auto before = status();
    server_.discover(instance, load->slots);
    onServerChange(before);
}

void Guard::handleLeave(const std::string& instance, std::optional<std::int64_t> processStartMillis)
{
    auto before = status();
    server_.handleLeave(instance, processStartMillis);
    onServerChange(before);
    setPersistedState({persistedState_.lastSlotVerdict, instance});
}

void Guard::applySettings()
{
    startPolicy_.setObservationInterval(observationInterval(settings_));
}

void Guard::close()
{
    auto before = status();
    isClosed_ = true;
    onServerChange(before);
}

void Guard::refuse(const AttemptKey& key, const AttemptRequest& offer, NotRun refusal, const Done& done)
{
    auto load = admission_.load(Support::monotonicNow());
    log_.line(LogClass::Notable, "guard-refused", "id={} route={} reason={} wait_us={} left_us={} running={} long={} queued={} limit={}", offer.request.callerAttemptId, offer.route, Support::nameOf(reasonNames, refusal.reason), refusal.expectedWait.count(), offer.timeoutMicros, load.running, load.runningLong, load.queued, load.limit);
    if (!offer.isIdempotent)
        completed_.add(Support::monotonicNow(), key, refusal);
    done(refusal, loadStamp());
}

void Guard::submit(const AttemptKey& key, const AttemptRequest& offer, Done done)
{
    auto now = Support::monotonicNow();
    if (const auto* completed = completed_.find(key))
        return done(*completed, loadStamp());
    const auto* ready = server_.ready();
    if (!ready || isClosed_)
        return refuse(key, offer, {Reason::ServerLeaving, {}, false}, done);
    if (ready->instance != offer.instance)
        return refuse(key, offer, {Reason::WrongServer, {}, false}, done);

    Admission::Ticket ticket;
    ticket.id = nextTicket_++;
    ticket.route = offer.route;
    ticket.priority = offer.priority;
    ticket.deadline = queueDeadline_.deadline(now, offer);
    auto decision = admission_.submit(now, ticket);
    if (const auto* refused = std::get_if<Admission::Refused>(&decision))
        return refuse(key, offer, {reasonOf(refused->reason), refused->expectedWait, false}, done);
    attempts_[ticket.id] = std::make_unique<Attempt>(Attempt{.key = key, .offer = offer, .done = std::move(done), .offeredAt = now, .deadline = now + Duration(offer.timeoutMicros), .startedAt = now});
    tickets_[key] = ticket.id;
    if (std::holds_alternative<Admission::Admitted>(decision))
        startOrHold(ticket.id);
    else
        scheduleTick();
    resolve(admission_.takeEvicted());
}

void Guard::resolve(const std::vector<Admission::Resolution>& resolutions)
{
    for (const auto& resolution : resolutions) {
        if (std::holds_alternative<Admission::Admitted>(resolution.decision)) {
            startOrHold(resolution.ticket);
            continue;
        }
        const auto& refused = std::get<Admission::Refused>(resolution.decision);
        auto node = attempts_.extract(resolution.ticket);
        if (node.empty())
            continue;
        const auto& attempt = *node.mapped();
        tickets_.erase(attempt.key);
        refuse(attempt.key, attempt.offer, {reasonOf(refused.reason), refused.expectedWait, false}, attempt.done);
    }
}

std::shared_ptr<HttpClientConnection> Guard::takeConnection(bool isIdempotent, Instant now)
{
    std::erase_if(idle_, [now](const auto& connection) { return !connection->isReusable(now); });
    if (!idle_.empty() && (isIdempotent || now - idle_.back()->idleSince() < freshConnection)) {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        return connection;
    }
    return std::make_shared<HttpClientConnection>(loop_, settings_.server, answerMemory_);
}

std::vector<Header> Guard::addedHeaders(const Attempt& attempt, Instant now) const
{
    constexpr Duration::rep microsPerMilli = 1000;
    auto left = std::max<Duration::rep>(1, (attempt.deadline - now).count() / microsPerMilli);
    std::vector<Header> headers;
    if (!attempt.offer.request.callerAttemptId.empty())
        headers.push_back({names_.callerAttemptId, attempt.offer.request.callerAttemptId});
    headers.push_back({names_.timeoutMillis, std::to_string(left)});
    headers.push_back({names_.expectedInstance, attempt.offer.instance});
    headers.push_back({names_.originService, attempt.offer.originService});
    return headers;
}

void Guard::startOrHold(std::uint64_t ticket)
{
    auto found = attempts_.find(ticket);
    if (found == attempts_.end())
        return;
    auto& attempt = *found->second;
    StartPolicy::Work work{attempt.offer.route, attempt.offeredAt + Duration(attempt.offer.latencyTargetMicros), attempt.offer.canGoElsewhere};
    switch (startPolicy_.decide(Support::monotonicNow(), work)) {
    case StartDecision::Observe:
    case StartDecision::Hold:
        held_.push_back(ticket);
        return probeSlowdown();
    case StartDecision::SendElsewhere:
        return complete(ticket, NotRun{Reason::ServerSlowed, {}, false}, false);
    case StartDecision::Start:
        break;
    }
    start(ticket);
}

// Asks the server for its pace, as often as the budget allows.
void Guard::probeSlowdown()
{
    if (isProbing_ || isProbeScheduled_)
        return;
    if (healthPath_.empty()) {
        startPolicy_.setUnobservable();
        return releaseHeld();
    }
    auto now = Support::monotonicNow();
    auto next = lastProbeAt_ + startPolicy_.observationInterval();
    if (now < next) {
        isProbeScheduled_ = true;
        probeTimer_.expires_after(next - now);
        probeTimer_.async_wait([this](const boost::system::error_code& cancelled) {
            isProbeScheduled_ = false;
            if (!cancelled && !held_.empty())
                probeSlowdown();
        });
        return;
    }
    lastProbeAt_ = now;
    isProbing_ = true;
    if (!probeConnection_ || !probeConnection_->isReusable(now))
        probeConnection_ = std::make_shared<HttpClientConnection>(loop_, settings_.server, answerMemory_);
    Request request;
    request.method = "GET";
    request.target = healthPath_;
    request.host = settings_.server.text();
    probeTimer_.expires_after(probeTimeout);
    probeTimer_.async_wait([this, connection = probeConnection_](const boost::system::error_code& cancelled) {
        if (cancelled || !isProbing_ || connection != probeConnection_)
            return;
        probeConnection_->close();
        recordSlowdown(HttpFailure::ConnectionLost);
    });
    probeConnection_->exchange(serializeRequest(request, {}), {}, false, [this, connection = probeConnection_.get()](const HttpResult& result) {
        if (connection == probeConnection_.get() && isProbing_)
            recordSlowdown(result);
    });
}

void Guard::recordSlowdown(const HttpResult& result)
{
    isProbing_ = false;
    probeTimer_.cancel();
    const auto* reply = std::get_if<HttpResponse>(&result);
    if (reply) {
        auto load = reply->fields[boost::beast::string_view(names_.load.data(), names_.load.size())];
        if (!updateSlowdownState({load.data(), load.size()}))
            startPolicy_.setUnobservable();
    } else {
        // Without an answer nothing speaks for waiting.
        auto waiting = std::move(held_);
        held_.clear();
        for (auto ticket : waiting)
            start(ticket);
    }
    releaseHeld();
}

bool Guard::updateSlowdownState(std::string_view load)
{
    auto report = readLoad_(load);
    if (!report)
        return false;
    auto now = Support::monotonicNow();
    startPolicy_.recordSlowdown(now, report->slowdownPercent);
    bool isSlowed = startPolicy_.slowdownState(now) == SlowdownState::Slowed;
    if (isSlowed == isSlowed_)
        return true;
    isSlowed_ = isSlowed;
    onSlowdownChange();
    if (!isSlowed)
        releaseHeld();
    return true;
}

void Guard::releaseHeld()
{
    auto waiting = std::move(held_);
    held_.clear();
    for (auto ticket : waiting)
        startOrHold(ticket);
}

// Admission may come after the server has begun to leave or the time has passed: both are checked once more right before sending.
void Guard::start(std::uint64_t ticket)
{
    auto found = attempts_.find(ticket);
    if (found == attempts_.end())
        return;
    auto& attempt = *found->second;
    auto now = Support::monotonicNow();
    const auto* ready = server_.ready();
    if (!ready || ready->instance != attempt.offer.instance)
        return complete(ticket, NotRun{Reason::ServerLeaving, {}, false}, false);
    if (now >= attempt.deadline)
        return complete(ticket, NotRun{Reason::DeadlineTooNear, {}, false}, false);
    attempt.startedAt = now;
    attempt.runningAtStart = ++runningAtServer_;
    admission_.begin(now, ticket);
    attempt.wasSlowed = startPolicy_.slowdownState(now) == SlowdownState::Slowed;
    attempt.connection = takeConnection(attempt.offer.isIdempotent, now);
    auto text = serializeRequest(attempt.offer.request, addedHeaders(attempt, now));
    attempt.connection->exchange(std::move(text), {names_.callerAttemptId, attempt.offer.request.callerAttemptId}, attempt.offer.request.method == "HEAD", [this, ticket](HttpResult result) { onServerResponse(ticket, std::move(result)); });
}

Outcome Guard::outcomeOf(const Attempt& attempt, HttpResponse&& reply)
{
    auto view = [&](const std::string& name) {
        auto value = reply.fields[boost::beast::string_view(name.data(), name.size())];
        return std::string_view(value.data(), value.size());
    };
    if (reply.status == misdirected) {
        log_.line(LogClass::Notable, "server-mistaken", "expected={} found={}", attempt.offer.instance, view(names_.instance));
        auto before = status();
        server_.onInstanceMismatch();
        onServerChange(before);
        return NotRun{Reason::WrongServer, {}, true};
    }
    if (!view(names_.notRun).empty())
        return NotRun{Reason::ServerShed, shedWait, true};
    bool isSuccess = reply.status >= 200 && reply.status < 300;
    bool isEncoded = reply.fields.find(boost::beast::http::field::content_encoding) != reply.fields.end();
    if (isSuccess && (view(names_.responseProof).empty() || view(names_.callerAttemptId) != attempt.offer.request.callerAttemptId || isEncoded))
        return Unknown{Reason::BadResponse};
    return ServerResponse{reply.status, endToEndHeaders(reply.fields, {names_.load, names_.instance, names_.callerAttemptId}), std::move(reply.body)};
}

Outcome Guard::outcomeOf(const Attempt& attempt, HttpResult result)
{
    if (auto* reply = std::get_if<HttpResponse>(&result))
        return outcomeOf(attempt, std::move(*reply));
    switch (std::get<HttpFailure>(result)) {
    case HttpFailure::Unreachable:
        return NotRun{Reason::ServerUnreachable, shedWait, false};
    case HttpFailure::Malformed:
        return Unknown{Reason::BadResponse};
    case HttpFailure::ConnectionLost:
        break;
    }
    return Unknown{Reason::ServerConnectionLost};
}

void Guard::onServerResponse(std::uint64_t ticket, HttpResult result)
{
    auto found = attempts_.find(ticket);
    if (found == attempts_.end())
        return;
    auto& attempt = *found->second;
    if (attempt.connection->isReusable(Support::monotonicNow()))
        idle_.push_back(attempt.connection);
    if (const auto* reply = std::get_if<HttpResponse>(&result)) {
        auto load = reply->fields[boost::beast::string_view(names_.load.data(), names_.load.size())];
        updateSlowdownState({load.data(), load.size()});
    }
    auto outcome = outcomeOf(attempt, std::move(result));
    const auto* answer = std::get_if<ServerResponse>(&outcome);
    complete(ticket, outcome, answer && answer->status < 500);
}

void Guard::complete(std::uint64_t ticket, const Outcome& outcome, bool hasSucceeded)
{
    auto node = attempts_.extract(ticket);
    if (node.empty())
        return;
    const auto& attempt = *node.mapped();
    tickets_.erase(attempt.key);
    auto now = Support::monotonicNow();
    auto next = attempt.connection ? admission_.finish(now, ticket, hasSucceeded) : admission_.withdraw(now, ticket);
    if (attempt.connection)
        --runningAtServer_;
    if (hasSucceeded && !attempt.wasSlowed) {
        startPolicy_.finished(attempt.offer.route, now - attempt.startedAt);
        learnUsableSlots(attempt, now);
    }
    if (!attempt.offer.isIdempotent)
        completed_.add(now, attempt.key, outcome);
    const auto* answer = std::get_if<ServerResponse>(&outcome);
    log_.line(hasSucceeded ? LogClass::Routine : LogClass::Notable, "guard-ran", "id={} route={} status={} reason={} slowed={} queued_us={} ran_us={}", attempt.offer.request.callerAttemptId, attempt.offer.route, answer ? answer->status : 0, Support::nameOf(reasonNames, reasonOf(outcome)), attempt.wasSlowed, (attempt.startedAt - attempt.offeredAt).count(), (now - attempt.startedAt).count());
    if (attempt.done)
        attempt.done(outcome, loadStamp());
    resolve(next);
}

// A cold server's work takes longer whatever else it runs.
void Guard::learnUsableSlots(const Attempt& attempt, Instant now)
{
    auto before = status();
    if (before.instance != attempt.offer.instance || before.isCold)
        return;
    saturation_.finished(now, attempt.offer.route, now - attempt.startedAt, attempt.runningAtStart);
    if (saturation_.verdict() != Admission::SlotVerdict::Unknown)
        setPersistedState({saturation_.verdict(), persistedState_.departedInstance});
    if (saturation_.usableSlots() == before.slots)
        return;
    log_.line(LogClass::Notable, "slots-usable", "instance={} announced={} before={} now={}", before.instance, announcedSlots_, before.slots, saturation_.usableSlots());
    onServerChange(before);
}

void Guard::cancel(const AttemptKey& key)
{
    auto found = tickets_.find(key);
    if (found == tickets_.end())
        return;
    auto ticket = found->second;
    auto& attempt = *attempts_.at(ticket);
    attempt.done = nullptr;
    if (!attempt.connection) {
        admission_.cancel(ticket); // of use if it waits for a slot; conclude() gives back a slot that it has
        return complete(ticket, NotRun{Reason::CallerLeft, {}, false}, false);
    }
    if (!attempt.offer.isIdempotent)
        return;
    attempt.connection->close();
    complete(ticket, Unknown{Reason::CallerLeft}, false);
}

void Guard::queryOutcome(const AttemptKey& key, Done done)
{
    if (const auto* completed = completed_.find(key))
        return done(*completed, loadStamp());
    auto found = tickets_.find(key);
    if (found != tickets_.end()) {
        attempts_.at(found->second)->done = std::move(done);
        return;
    }
    // Never seen: should it still arrive, it finds this.
    NotRun refusal{Reason::PeerLost, {}, false};
    completed_.add(Support::monotonicNow(), key, refusal);
    done(refusal, loadStamp());
}

// Some servers never answer what they can't queue. Their slots are free, but what they were sent may have run.
void Guard::tick(Instant now)
{
    std::vector<std::uint64_t> silent;
    for (const auto& [ticket, attempt] : attempts_) {
        if (attempt->connection && now >= attempt->deadline + silenceAfterDeadline)
            silent.push_back(ticket);
    }
    for (auto ticket : silent) {
        auto found = attempts_.find(ticket);
        if (found == attempts_.end())
            continue;
        found->second->connection->close();
        complete(ticket, Unknown{Reason::TimedOut}, false);
    }
}

void Guard::scheduleTick()
{
    if (isTickScheduled_)
        return;
    isTickScheduled_ = true;
    tick_.expires_after(tickInterval);
    tick_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        isTickScheduled_ = false;
        auto now = Support::monotonicNow();
        resolve(admission_.tick(now));
        if (admission_.load(now).queued > 0)
            scheduleTick();
    });
}

} // namespace balsamreel::Relay
