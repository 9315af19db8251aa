#include "balsamreel/Relay/Guard.h"

#include "balsamreel/Relay/AdmissionOptions.h"
#include "balsamreel/Relay/HttpText.h"

#include <algorithm>
#include <limits>

namespace balsamreel::Relay {

namespace {

constexpr std::uint32_t slotsBeforeAnnouncement = 1;
constexpr auto tickInterval = std::chrono::milliseconds(10);
// A request that is not idempotent is not sent on a connection that was idle for longer, because the server may have
// closed its end.
constexpr Duration nonIdempotentMaximumIdle = std::chrono::seconds(1);
// The server stops work at the deadline that it is given. If it has not responded this long after the deadline, it
// never will.
constexpr Duration responseGrace = std::chrono::milliseconds(500);
constexpr Duration serverRetryDelay = std::chrono::milliseconds(150);
constexpr std::uint32_t misdirectedRequest = 421;
// Limits on the idle connections to the server that are kept when another one is opened.
constexpr std::size_t maximumIdleConnections = 64;
constexpr std::size_t idleConnectionDivisor = 16; // of all descriptors
constexpr double microsPerSecond = 1e6;
constexpr unsigned leastUrgentPriority = std::numeric_limits<unsigned>::max();

/// What the guard knows of an attempt.
enum class AttemptState : std::uint8_t { Unseen,
    Open, ///< queued or running
    Completed };

constexpr Support::NameTable<AttemptState, 3> attemptStateNames{{{AttemptState::Unseen, "unseen"}, {AttemptState::Open, "open"}, {AttemptState::Completed, "completed"}}};

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

Guard::Guard(Loop& loop, const NodeSettings& settings, HeaderNames names, ServerReportReaders readers, std::shared_ptr<MemoryBudget> responseMemory, EventLog& log)
    : loop_(loop)
    , settings_(settings)
    , names_(std::move(names))
    , readers_(std::move(readers))
    , log_(log)
    , server_(settings.service, settings.server)
    , admission_(admissionOptions(slotsBeforeAnnouncement))
    , saturation_(slotsBeforeAnnouncement)
    , startPolicy_(observationInterval(settings))
    , probeTimer_(loop)
    , discoveryTimer_(loop)
    , responseMemory_(std::move(responseMemory))
    , tickTimer_(loop)
{
}

ServerStatus Guard::status() const
{
    ServerStatus status;
    status.service = settings_.service;
    status.address = settings_.server;
    const auto* ready = server_.ready();
    if (!ready || isClosed_ || isEvacuated_)
        return status;
    status.instance = ready->instance;
    status.slots = saturation_.usableSlots();
    status.isCold = ready->coldTime > Duration::zero() || cold_.isCold();
    return status;
}

Wire::LoadStamp Guard::loadStamp() const
{
    auto now = Support::monotonicNow();
    auto load = admission_.load(now);
    auto wait = std::max({load.expectedWait, rateLimiter_.timeUntilRoom(now, leastUrgentPriority), cold_.timeUntilRoom(now, leastUrgentPriority)});
    auto limit = std::min({load.limit, rateLimiter_.concurrency(load.typicalService).value_or(load.limit), cold_.concurrency(load.typicalService).value_or(load.limit)});
    return {load.running, load.queued, limit, static_cast<std::uint32_t>(wait.count())};
}

void Guard::applySettings()
{
    startPolicy_.setObservationInterval(observationInterval(settings_));
    updateColdOptions();
}

void Guard::close()
{
    auto before = status();
    isClosed_ = true;
    onServerChange(before);
}

void Guard::refuse(const AttemptKey& key, const AttemptRequest& request, Instant deadline, NotRun refusal, const Done& done)
{
    auto now = Support::monotonicNow();
    auto load = admission_.load(now);
    log_.line(LogClass::Notable, "guard-refused", "id={} route={} reason={} wait_us={} left_us={} running={} long={} queued={} limit={}", request.request.callerAttemptId, request.route, Support::nameOf(reasonNames, refusal.reason), refusal.expectedWait.count(), request.timeoutMicros, load.running, load.runningLong, load.queued, load.limit);
    if (!request.isIdempotent)
        completed_.add(now, key, deadline, refusal);
    done(refusal, loadStamp());
}

void Guard::submit(const AttemptKey& key, const AttemptRequest& request, Done done)
{
    auto now = Support::monotonicNow();
    auto deadline = now + Duration(request.timeoutMicros);
    if (const auto* completed = completed_.find(key))
        return done(*completed, loadStamp());
    const auto* ready = server_.ready();
    if (!ready || isClosed_)
        return refuse(key, request, deadline, {Reason::ServerLeaving, {}, false}, done);
    if (isEvacuated_)
        return refuse(key, request, deadline, {Reason::DomainEvacuated, {}, false}, done);
    if (ready->instance != request.instance)
        return refuse(key, request, deadline, {Reason::WrongServer, {}, false}, done);
    // Waiting would not help: the limit leaves room for a certain number of requests only.
    if (!rateLimiter_.tryTake(now, request.priority))
        return refuse(key, request, deadline, {Reason::RateLimited, rateLimiter_.scheduleReturn(now, request.priority), false}, done);
    bool hasColdRoom = cold_.isCold() && cold_.tryReserve(now, request.priority);
    if (cold_.isCold() && !hasColdRoom) {
        rateLimiter_.giveBack();
        return refuse(key, request, deadline, {Reason::ServerCold, cold_.scheduleReturn(now, request.priority), false}, done);
    }

    Admission::Ticket ticket;
    ticket.id = nextTicket_++;
    ticket.route = request.route;
    ticket.priority = request.priority;
    ticket.caller = request.account; // accounts share a server that is full
    ticket.deadline = queueDeadline_.deadline(now, request);
    auto decision = admission_.submit(now, ticket);
    if (const auto* refused = std::get_if<Admission::Refused>(&decision)) {
        rateLimiter_.giveBack();
        if (hasColdRoom)
            cold_.cancelReservation();
        return refuse(key, request, deadline, {reasonOf(refused->reason), refused->expectedWait, false}, done);
    }
    attempts_[ticket.id] = std::make_unique<Attempt>(Attempt{.key = key, .request = request, .done = std::move(done), .submittedAt = now, .deadline = deadline, .startedAt = now, .hasRateRoom = rateLimiter_.limit().has_value(), .hasColdRoom = hasColdRoom});
    tickets_[key] = ticket.id;
    if (std::holds_alternative<Admission::Admitted>(decision))
        startOrHold(ticket.id);
    else
        scheduleTick();
    applyResolutions(admission_.takeEvicted());
}

void Guard::applyResolutions(const std::vector<Admission::Resolution>& resolutions)
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
        returnRateRoom(attempt);
        refuse(attempt.key, attempt.request, attempt.deadline, {reasonOf(refused.reason), refused.expectedWait, false}, attempt.done);
    }
}

void Guard::returnRateRoom(const Attempt& attempt)
{
    if (attempt.connection)
        return;
    if (attempt.hasRateRoom)
        rateLimiter_.giveBack();
    if (attempt.hasColdRoom)
        cold_.cancelReservation();
}

// Two attempts may send the same request of a caller to this server, so the caller's id alone does not tell which of them a
// response belongs to.
std::shared_ptr<HttpClientConnection> Guard::takeConnection(const AttemptRequest& request, Instant now)
{
    std::erase_if(idleConnections_, [now](const auto& connection) { return !connection->isReusable(now); });
    auto found = std::find_if(idleConnections_.rbegin(), idleConnections_.rend(), [&](const auto& connection) {
        bool isFreshEnough = request.isIdempotent || now - connection->idleSince() < nonIdempotentMaximumIdle;
        return isFreshEnough && connection->canMatch(request.request.callerAttemptId);
    });
    if (found == idleConnections_.rend())
        return openConnection();
    auto connection = std::move(*found);
    idleConnections_.erase(std::next(found).base());
    return connection;
}

// Callers that use the same id again and again fill all connections with it, so that none can be reused.
std::shared_ptr<HttpClientConnection> Guard::openConnection()
{
    auto maximumIdle = std::clamp<std::size_t>(settings_.maximumDescriptors / idleConnectionDivisor, 1, maximumIdleConnections);
    while (idleConnections_.size() > maximumIdle) {
        idleConnections_.front()->close();
        idleConnections_.erase(idleConnections_.begin());
    }
    return std::make_shared<HttpClientConnection>(loop_, settings_.server, responseMemory_, ++connectionCount_);
}

std::vector<Header> Guard::addedHeaders(const Attempt& attempt, Instant now) const
{
    constexpr Duration::rep microsPerMilli = 1000;
    auto remaining = std::max<Duration::rep>(1, (attempt.deadline - now).count() / microsPerMilli);
    std::vector<Header> headers;
    if (!attempt.request.request.callerAttemptId.empty())
        headers.push_back({names_.callerAttemptId, attempt.request.request.callerAttemptId});
    headers.push_back({names_.timeoutMillis, std::to_string(remaining)});
    headers.push_back({names_.expectedInstance, attempt.request.instance});
    headers.push_back({names_.originService, attempt.request.originService});
    if (!attempt.request.account.empty())
        headers.push_back({names_.account, attempt.request.account});
    return headers;
}

void Guard::startOrHold(std::uint64_t ticket)
{
    auto found = attempts_.find(ticket);
    if (found == attempts_.end())
        return;
    auto& attempt = *found->second;
    // The server may be cold by now, and further requests might be too many for it.
    if (cold_.needsReport() && !healthPath_.empty()) {
        held_.push_back(ticket);
        return probeSlowdown();
    }
    StartPolicy::Work work{attempt.request.route, attempt.submittedAt + Duration(attempt.request.latencyTargetMicros), attempt.request.canGoElsewhere};
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

void Guard::releaseHeld()
{
    auto tickets = std::move(held_);
    held_.clear();
    for (auto ticket : tickets)
        startOrHold(ticket);
}

// By the time an attempt is admitted, the server may have begun to leave or named a limit, or the deadline may have
// passed. These are checked again right before the request is sent.
void Guard::start(std::uint64_t ticket)
{
    auto found = attempts_.find(ticket);
    if (found == attempts_.end())
        return;
    auto& attempt = *found->second;
    auto now = Support::monotonicNow();
    const auto* ready = server_.ready();
    if (isEvacuated_)
        return complete(ticket, NotRun{Reason::DomainEvacuated, {}, false}, false);
    if (!ready || ready->instance != attempt.request.instance)
        return complete(ticket, NotRun{Reason::ServerLeaving, {}, false}, false);
    if (now >= attempt.deadline)
        return complete(ticket, NotRun{Reason::DeadlineTooNear, {}, false}, false);
    // The server has named its limit after the attempt was admitted.
    if (!attempt.hasRateRoom && !rateLimiter_.tryTake(now, attempt.request.priority))
        return complete(ticket, NotRun{Reason::RateLimited, rateLimiter_.scheduleReturn(now, attempt.request.priority), false}, false);
    if (!cold_.trySend(now, attempt.request.priority, attempt.hasColdRoom))
        return complete(ticket, NotRun{Reason::ServerCold, cold_.scheduleReturn(now, attempt.request.priority), false}, false);
    attempt.startedAt = now;
    attempt.process = currentProcess();
    ++sentCount_;
    attempt.runningAtStart = ++runningAtServer_;
    admission_.begin(now, ticket);
    attempt.wasSlowed = startPolicy_.slowdownState(now) == SlowdownState::Slowed;
    attempt.connection = takeConnection(attempt.request, now);
    auto head = serializeRequestHead(attempt.request.request, addedHeaders(attempt, now));
    attempt.connection->exchange(std::move(head), attempt.request.request.body, {names_.callerAttemptId, attempt.request.request.callerAttemptId}, attempt.request.request.method == "HEAD", [this, ticket](HttpResult result) { onServerResponse(ticket, std::move(result)); });
    // Asked right away, so that the next request need not wait for the response.
    if (cold_.needsReport() && !healthPath_.empty())
        probeSlowdown();
}

Outcome Guard::outcomeOf(const Attempt& attempt, HttpResponse&& response)
{
    auto view = [&](const std::string& name) {
        auto value = response.fields[boost::beast::string_view(name.data(), name.size())];
        return std::string_view(value.data(), value.size());
    };
    if (response.status == misdirectedRequest) {
        log_.line(LogClass::Notable, "server-mistaken", "expected={} found={}", attempt.request.instance, view(names_.instance));
        auto before = status();
        server_.onInstanceMismatch();
        onServerChange(before);
        return NotRun{Reason::WrongServer, {}, true};
    }
    if (!view(names_.notRun).empty())
        return NotRun{Reason::ServerShed, serverRetryDelay, true};
    bool isSuccess = response.status >= 200 && response.status < 300;
    bool isEncoded = response.fields.find(boost::beast::http::field::content_encoding) != response.fields.end();
    if (isSuccess && (view(names_.responseProof).empty() || view(names_.callerAttemptId) != attempt.request.request.callerAttemptId || isEncoded))
        return Unknown{Reason::BadResponse};
    return ServerResponse{response.status, endToEndHeaders(response.fields, {names_.load, names_.instance, names_.callerAttemptId}), std::move(response.body)};
}

Outcome Guard::outcomeOf(const Attempt& attempt, HttpResult result)
{
    if (auto* response = std::get_if<HttpResponse>(&result))
        return outcomeOf(attempt, std::move(*response));
    switch (std::get<HttpFailure>(result)) {
    case HttpFailure::Unreachable:
        return NotRun{Reason::ServerUnreachable, serverRetryDelay, false};
    case HttpFailure::Malformed:
        return Unknown{Reason::BadResponse};
    case HttpFailure::MemoryExhausted:
        return Unknown{Reason::MemoryExhausted};
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
    if (found->second->connection->isReusable(Support::monotonicNow()))
        idleConnections_.push_back(found->second->connection);
    if (const auto* response = std::get_if<HttpResponse>(&result)) {
        auto process = found->second->process;
        auto load = response->fields[boost::beast::string_view(names_.load.data(), names_.load.size())];
        updateSlowdownState({load.data(), load.size()});
        if (response->status != misdirectedRequest)
            updateNotice("response", process, *response);
        // The callbacks may have ended the attempt.
        found = attempts_.find(ticket);
        if (found == attempts_.end())
            return;
    }
    auto& attempt = *found->second;
    auto outcome = outcomeOf(attempt, std::move(result));
    const auto* response = std::get_if<ServerResponse>(&outcome);
    complete(ticket, outcome, response && response->status < 500);
}

void Guard::complete(std::uint64_t ticket, const Outcome& outcome, bool hasSucceeded)
{
    auto node = attempts_.extract(ticket);
    if (node.empty())
        return;
    const auto& attempt = *node.mapped();
    tickets_.erase(attempt.key);
    returnRateRoom(attempt);
    auto now = Support::monotonicNow();
    auto next = attempt.connection ? admission_.finish(now, ticket, hasSucceeded) : admission_.withdraw(now, ticket);
    if (attempt.connection)
        --runningAtServer_;
    if (hasSucceeded && !attempt.wasSlowed) {
        startPolicy_.finished(attempt.request.route, now - attempt.startedAt);
        learnUsableSlots(attempt, now);
    }
    if (!attempt.request.isIdempotent)
        completed_.add(now, attempt.key, attempt.deadline, outcome);
    const auto* response = std::get_if<ServerResponse>(&outcome);
    log_.line(hasSucceeded ? LogClass::Routine : LogClass::Notable, "guard-ran", "id={} attempt={:x}/{} route={} status={} reason={} slowed={} queued_us={} ran_us={} connection={} connection_use={}", attempt.request.request.callerAttemptId, attempt.key.senderIncarnation, attempt.key.serial, attempt.request.route, response ? response->status : 0, Support::nameOf(reasonNames, reasonOf(outcome)), attempt.wasSlowed, (attempt.startedAt - attempt.submittedAt).count(), (now - attempt.startedAt).count(), attempt.connection ? attempt.connection->number() : 0, attempt.connection ? attempt.connection->requestCount() : 0);
    if (attempt.done)
        attempt.done(outcome, loadStamp());
    applyResolutions(next);
}

// Ignores cold servers: their service times are longer at any concurrency.
void Guard::learnUsableSlots(const Attempt& attempt, Instant now)
{
    auto before = status();
    if (before.instance != attempt.request.instance || before.isCold)
        return;
    saturation_.finished(now, attempt.request.route, now - attempt.startedAt, attempt.runningAtStart);
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
        admission_.cancel(ticket); // for a queued attempt; complete() returns a slot that is held already
        return complete(ticket, NotRun{Reason::CallerLeft, {}, false}, false);
    }
    if (!attempt.request.isIdempotent)
        return;
    attempt.connection->close();
    complete(ticket, Unknown{Reason::CallerLeft}, false);
}

void Guard::refuseWaiting(Reason reason)
{
    std::vector<std::uint64_t> waiting;
    for (const auto& [ticket, attempt] : attempts_) {
        if (!attempt->connection)
            waiting.push_back(ticket);
    }
    for (auto ticket : waiting) {
        admission_.cancel(ticket); // for a queued attempt; complete() returns a slot that is held already
        complete(ticket, NotRun{reason, {}, false}, false);
    }
}

void Guard::queryOutcome(const AttemptKey& key, Instant deadline, Done done)
{
    auto open = tickets_.find(key);
    const auto* completed = completed_.find(key);
    auto state = completed ? AttemptState::Completed : AttemptState::Unseen;
    if (open != tickets_.end())
        state = AttemptState::Open;
    log_.line(LogClass::Notable, "outcome-query", "attempt={:x}/{} state={} reason={} records={}", key.senderIncarnation, key.serial, Support::nameOf(attemptStateNames, state), Support::nameOf(reasonNames, completed ? reasonOf(*completed) : Reason::None), completed_.size());
    // An open attempt may be older than others of its sender whose outcomes were dropped.
    if (open != tickets_.end()) {
        attempts_.at(open->second)->done = std::move(done);
        return;
    }
    if (completed)
        return done(*completed, loadStamp());
    // The attempt was never seen. If it still arrives, submit() finds this outcome and does not run it.
    NotRun refusal{Reason::PeerLost, {}, false};
    completed_.add(Support::monotonicNow(), key, deadline, refusal);
    done(refusal, loadStamp());
}

// Some servers never respond to requests that they cannot queue. Their slots are free, but the requests may have run,
// so the outcome is unknown.
void Guard::tick(Instant now)
{
    completed_.evict(now);
    updateColdState();
    std::vector<std::uint64_t> overdue;
    for (const auto& [ticket, attempt] : attempts_) {
        if (attempt->connection && now >= attempt->deadline + responseGrace)
            overdue.push_back(ticket);
    }
    for (auto ticket : overdue) {
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
    tickTimer_.expires_after(tickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        isTickScheduled_ = false;
        auto now = Support::monotonicNow();
        applyResolutions(admission_.tick(now));
        if (admission_.load(now).queued > 0)
            scheduleTick();
    });
}

} // namespace balsamreel::Relay
