#include "balsamreel/Relay/Guard.h"

#include "balsamreel/Relay/GateSettings.h"
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
constexpr auto adoptInterval = std::chrono::milliseconds(200);
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
    , gate_(gateOptions(slotsBeforeAnnouncement))
    , knee_(slotsBeforeAnnouncement)
    , hold_(observationInterval(settings))
    , probeTimer_(loop)
    , adoptTimer_(loop)
    , answerMemory_(std::make_shared<AnswerMemory>(AnswerMemory{settings.maximumMemory / answerMemoryPart}))
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
    status.slots = knee_.usableSlots();
    status.isCold = ready->coldTime > Duration::zero();
    return status;
}

Wire::LoadStamp Guard::stamp() const
{
    auto load = gate_.load(Support::monotonicNow());
    return {load.running, load.queued, load.limit, static_cast<std::uint32_t>(load.expectedWait.count())};
}

void Guard::changed(const ServerStatus& before)
{
    const auto* ready = server_.ready();
    if (ready && (ready->instance != before.instance || ready->slots != announcedSlots_)) {
        announcedSlots_ = ready->slots;
        knee_ = Admission::SaturationDetector(announcedSlots_);
        knee_.restore(Support::monotonicNow(), notes_.lastSlots);
    }
    auto now = status();
    if (now == before)
        return;
    gate_.setOptions(gateOptions(knee_.usableSlots()));
    if (now.instance != before.instance) {
        log_.line(LogClass::Notable, "server-state", "service={} before={} now={} slots={}", now.service, before.instance, now.instance, now.slots);
        idle_.clear();
        hold_.reset();
    }
    onStatusChange();
}

bool Guard::announce(const Announcement& announcement)
{
    auto before = status();
    bool isAccepted = server_.announce(announcement);
    changed(before);
    if (isAccepted && announcement.state == ServerState::Draining)
        note({notes_.lastSlots, announcement.instance});
    return isAccepted;
}

void Guard::note(ServerNotes notes)
{
    if (notes == notes_)
        return;
    notes_ = std::move(notes);
    if (onNotesChange)
        onNotesChange();
}

// A server that leaves may go on answering that it is well, and says itself that it leaves only once.
void Guard::restore(const ServerNotes& notes)
{
    log_.line(LogClass::Notable, "notes-recalled", "last_slots={} left_instance={}", Support::nameOf(Admission::slotVerdictNames, notes.lastSlots), notes.leftInstance);
    auto before = status();
    hasRecalled_ = true;
    // What was learned in the meantime is newer.
    if (notes_.lastSlots == Admission::SlotVerdict::Unknown)
        notes_.lastSlots = notes.lastSlots;
    if (notes_.leftInstance.empty())
        notes_.leftInstance = notes.leftInstance;
    const auto* current = server_.current();
    if (current && !server_.hasHeard() && current->instance == notes.leftInstance)
        server_.leave(notes.leftInstance, std::nullopt);
    if (knee_.verdict() == Admission::SlotVerdict::Unknown)
        knee_.restore(Support::monotonicNow(), notes.lastSlots);
    changed(before);
    if (!healthPath_.empty())
        adopt();
}

void Guard::setHealthPath(const std::string& path)
{
    bool isFirst = healthPath_.empty() && !path.empty();
    healthPath_ = path;
    if (!isFirst)
        return;
    if (hasRecalled_)
        return adopt();
    adoptTimer_.expires_after(longestWaitForNotes);
    adoptTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            adopt();
    });
}

// A node that starts beside a running server asks it who it is: its next announcement may be more than a second away.
// A server that leaves says that it is not healthy.
void Guard::adopt()
{
    if (server_.current() || server_.hasHeard() || isClosed_)
        return;
    adoption_ = std::make_shared<HttpClientConnection>(loop_, settings_.server, answerMemory_);
    Request request;
    request.method = "GET";
    request.target = healthPath_;
    request.host = settings_.server.text();
    adoption_->exchange(requestText(request, {}), {}, false, [this](const HttpResult& result) { onAdoption(result); });
    adoptTimer_.expires_after(adoptInterval);
    adoptTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled)
            return;
        adoption_->close();
        adopt();
    });
}

void Guard::onAdoption(const HttpResult& result)
{
    const auto* reply = std::get_if<HttpReply>(&result);
    if (!reply || reply->status != ok || server_.current() || server_.hasHeard())
        return;
    auto value = [&](const std::string& name) {
        auto text = reply->fields[boost::beast::string_view(name.data(), name.size())];
        return std::string(text.data(), text.size());
    };
    auto load = readLoad_(value(names_.load));
    auto instance = value(names_.instance);
    if (instance.empty() || instance == notes_.leftInstance || !load || load->slots == 0)
        return;
    auto before = status();
    server_.adopt(instance, load->slots);
    changed(before);
}

void Guard::leave(const std::string& instance, std::optional<std::int64_t> bornMillis)
{
    auto before = status();
    server_.leave(instance, bornMillis);
    changed(before);
    note({notes_.lastSlots, instance});
}

void Guard::applySettings()
{
    hold_.setObservationInterval(observationInterval(settings_));
}

void Guard::close()
{
    auto before = status();
    isClosed_ = true;
    changed(before);
}

void Guard::refuse(const OfferKey& key, const Offer& offer, NotRun refusal, const Done& done)
{
    auto load = gate_.load(Support::monotonicNow());
    log_.line(LogClass::Notable, "guard-refused", "id={} route={} reason={} wait_us={} left_us={} running={} long={} queued={} limit={}", offer.request.attemptId, offer.route, Support::nameOf(reasonNames, refusal.reason), refusal.expectedWait.count(), offer.timeoutMicros, load.running, load.runningLong, load.queued, load.limit);
    if (!offer.isIdempotent)
        settled_.add(Support::monotonicNow(), key, refusal);
    done(refusal, stamp());
}

void Guard::offer(const OfferKey& key, const Offer& offer, Done done)
{
    auto now = Support::monotonicNow();
    if (const auto* settled = settled_.find(key))
        return done(*settled, stamp());
    const auto* ready = server_.ready();
    if (!ready || isClosed_)
        return refuse(key, offer, {Reason::ServerLeaving, {}, false}, done);
    if (ready->instance != offer.instance)
        return refuse(key, offer, {Reason::WrongServer, {}, false}, done);

    Admission::Ticket ticket;
    ticket.id = nextTicket_++;
    ticket.route = offer.route;
    ticket.priority = offer.priority;
    ticket.deadline = patience_.deadline(now, offer);
    auto decision = gate_.offer(now, ticket);
    if (const auto* refused = std::get_if<Admission::Refused>(&decision))
        return refuse(key, offer, {reasonOf(refused->reason), refused->expectedWait, false}, done);
    jobs_[ticket.id] = std::make_unique<Job>(Job{.key = key, .offer = offer, .done = std::move(done), .offeredAt = now, .deadline = now + Duration(offer.timeoutMicros), .startedAt = now});
    tickets_[key] = ticket.id;
    if (std::holds_alternative<Admission::Admitted>(decision))
        run(ticket.id);
    else
        scheduleTick();
    resolve(gate_.takeEvicted());
}

void Guard::resolve(const std::vector<Admission::Resolution>& resolutions)
{
    for (const auto& resolution : resolutions) {
        if (std::holds_alternative<Admission::Admitted>(resolution.decision)) {
            run(resolution.ticket);
            continue;
        }
        const auto& refused = std::get<Admission::Refused>(resolution.decision);
        auto node = jobs_.extract(resolution.ticket);
        if (node.empty())
            continue;
        const auto& job = *node.mapped();
        tickets_.erase(job.key);
        refuse(job.key, job.offer, {reasonOf(refused.reason), refused.expectedWait, false}, job.done);
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

std::vector<Header> Guard::addedHeaders(const Job& job, Instant now) const
{
    constexpr Duration::rep microsPerMilli = 1000;
    auto left = std::max<Duration::rep>(1, (job.deadline - now).count() / microsPerMilli);
    std::vector<Header> headers;
    if (!job.offer.request.attemptId.empty())
        headers.push_back({names_.attemptId, job.offer.request.attemptId});
    headers.push_back({names_.timeoutMillis, std::to_string(left)});
    headers.push_back({names_.expectedInstance, job.offer.instance});
    headers.push_back({names_.originService, job.offer.originService});
    return headers;
}

void Guard::run(std::uint64_t ticket)
{
    auto found = jobs_.find(ticket);
    if (found == jobs_.end())
        return;
    auto& job = *found->second;
    PaceHold::Work work{job.offer.route, job.offeredAt + Duration(job.offer.goalMicros), job.offer.canGoElsewhere};
    switch (hold_.decide(Support::monotonicNow(), work)) {
    case StartDecision::Observe:
    case StartDecision::Hold:
        held_.push_back(ticket);
        return observe();
    case StartDecision::SendElsewhere:
        return conclude(ticket, NotRun{Reason::ServerSlowed, {}, false}, false);
    case StartDecision::Start:
        break;
    }
    start(ticket);
}

// Asks the server for its pace, as often as the budget allows.
void Guard::observe()
{
    if (isProbing_ || isProbeScheduled_)
        return;
    if (healthPath_.empty()) {
        hold_.unobservable();
        return releaseHeld();
    }
    auto now = Support::monotonicNow();
    auto next = lastProbe_ + hold_.observationInterval();
    if (now < next) {
        isProbeScheduled_ = true;
        probeTimer_.expires_after(next - now);
        probeTimer_.async_wait([this](const boost::system::error_code& cancelled) {
            isProbeScheduled_ = false;
            if (!cancelled && !held_.empty())
                observe();
        });
        return;
    }
    lastProbe_ = now;
    isProbing_ = true;
    if (!probe_ || !probe_->isReusable(now))
        probe_ = std::make_shared<HttpClientConnection>(loop_, settings_.server, answerMemory_);
    Request request;
    request.method = "GET";
    request.target = healthPath_;
    request.host = settings_.server.text();
    probeTimer_.expires_after(probeTimeout);
    probeTimer_.async_wait([this, connection = probe_](const boost::system::error_code& cancelled) {
        if (cancelled || !isProbing_ || connection != probe_)
            return;
        probe_->close();
        observed(HttpFailure::Broke);
    });
    probe_->exchange(requestText(request, {}), {}, false, [this, connection = probe_.get()](const HttpResult& result) {
        if (connection == probe_.get() && isProbing_)
            observed(result);
    });
}

void Guard::observed(const HttpResult& result)
{
    isProbing_ = false;
    probeTimer_.cancel();
    const auto* reply = std::get_if<HttpReply>(&result);
    if (reply) {
        auto load = reply->fields[boost::beast::string_view(names_.load.data(), names_.load.size())];
        if (!notePace({load.data(), load.size()}))
            hold_.unobservable();
    } else {
        // Without an answer nothing speaks for waiting.
        auto waiting = std::move(held_);
        held_.clear();
        for (auto ticket : waiting)
            start(ticket);
    }
    releaseHeld();
}

bool Guard::notePace(std::string_view load)
{
    auto report = readLoad_(load);
    if (!report)
        return false;
    auto now = Support::monotonicNow();
    hold_.observed(now, report->pacePercent);
    bool isSlowed = hold_.pace(now) == Pace::Slowed;
    if (isSlowed == isSlowed_)
        return true;
    isSlowed_ = isSlowed;
    onPaceChange();
    if (!isSlowed)
        releaseHeld();
    return true;
}

void Guard::releaseHeld()
{
    auto waiting = std::move(held_);
    held_.clear();
    for (auto ticket : waiting)
        run(ticket);
}

// Admission may come after the server has begun to leave or the time has passed: both are checked once more right before sending.
void Guard::start(std::uint64_t ticket)
{
    auto found = jobs_.find(ticket);
    if (found == jobs_.end())
        return;
    auto& job = *found->second;
    auto now = Support::monotonicNow();
    const auto* ready = server_.ready();
    if (!ready || ready->instance != job.offer.instance)
        return conclude(ticket, NotRun{Reason::ServerLeaving, {}, false}, false);
    if (now >= job.deadline)
        return conclude(ticket, NotRun{Reason::DeadlineTooNear, {}, false}, false);
    job.startedAt = now;
    job.runningAtStart = ++runningAtServer_;
    gate_.begin(now, ticket);
    job.wasSlowed = hold_.pace(now) == Pace::Slowed;
    job.connection = takeConnection(job.offer.isIdempotent, now);
    auto text = requestText(job.offer.request, addedHeaders(job, now));
    job.connection->exchange(std::move(text), {names_.attemptId, job.offer.request.attemptId}, job.offer.request.method == "HEAD", [this, ticket](HttpResult result) { settle(ticket, std::move(result)); });
}

Outcome Guard::outcomeOf(const Job& job, HttpReply&& reply)
{
    auto view = [&](const std::string& name) {
        auto value = reply.fields[boost::beast::string_view(name.data(), name.size())];
        return std::string_view(value.data(), value.size());
    };
    if (reply.status == misdirected) {
        log_.line(LogClass::Notable, "server-mistaken", "expected={} found={}", job.offer.instance, view(names_.instance));
        auto before = status();
        server_.mistaken();
        changed(before);
        return NotRun{Reason::WrongServer, {}, true};
    }
    if (!view(names_.notRun).empty())
        return NotRun{Reason::ServerShed, shedWait, true};
    bool isSuccess = reply.status >= 200 && reply.status < 300;
    bool isEncoded = reply.fields.find(boost::beast::http::field::content_encoding) != reply.fields.end();
    if (isSuccess && (view(names_.answerProof).empty() || view(names_.attemptId) != job.offer.request.attemptId || isEncoded))
        return Unknown{Reason::BadAnswer};
    return ServerAnswer{reply.status, endToEndHeaders(reply.fields, {names_.load, names_.instance, names_.attemptId}), std::move(reply.body)};
}

Outcome Guard::outcomeOf(const Job& job, HttpResult result)
{
    if (auto* reply = std::get_if<HttpReply>(&result))
        return outcomeOf(job, std::move(*reply));
    switch (std::get<HttpFailure>(result)) {
    case HttpFailure::Unreachable:
        return NotRun{Reason::ServerUnreachable, shedWait, false};
    case HttpFailure::Malformed:
        return Unknown{Reason::BadAnswer};
    case HttpFailure::Broke:
        break;
    }
    return Unknown{Reason::ServerBroke};
}

void Guard::settle(std::uint64_t ticket, HttpResult result)
{
    auto found = jobs_.find(ticket);
    if (found == jobs_.end())
        return;
    auto& job = *found->second;
    if (job.connection->isReusable(Support::monotonicNow()))
        idle_.push_back(job.connection);
    if (const auto* reply = std::get_if<HttpReply>(&result)) {
        auto load = reply->fields[boost::beast::string_view(names_.load.data(), names_.load.size())];
        notePace({load.data(), load.size()});
    }
    auto outcome = outcomeOf(job, std::move(result));
    const auto* answer = std::get_if<ServerAnswer>(&outcome);
    conclude(ticket, outcome, answer && answer->status < 500);
}

void Guard::conclude(std::uint64_t ticket, const Outcome& outcome, bool hasSucceeded)
{
    auto node = jobs_.extract(ticket);
    if (node.empty())
        return;
    const auto& job = *node.mapped();
    tickets_.erase(job.key);
    auto now = Support::monotonicNow();
    auto next = job.connection ? gate_.finish(now, ticket, hasSucceeded) : gate_.withdraw(now, ticket);
    if (job.connection)
        --runningAtServer_;
    if (hasSucceeded && !job.wasSlowed) {
        hold_.finished(job.offer.route, now - job.startedAt);
        learnSlots(job, now);
    }
    if (!job.offer.isIdempotent)
        settled_.add(now, job.key, outcome);
    const auto* answer = std::get_if<ServerAnswer>(&outcome);
    log_.line(hasSucceeded ? LogClass::Routine : LogClass::Notable, "guard-ran", "id={} route={} status={} reason={} slowed={} queued_us={} ran_us={}", job.offer.request.attemptId, job.offer.route, answer ? answer->status : 0, Support::nameOf(reasonNames, reasonOf(outcome)), job.wasSlowed, (job.startedAt - job.offeredAt).count(), (now - job.startedAt).count());
    if (job.done)
        job.done(outcome, stamp());
    resolve(next);
}

// A cold server's work takes longer whatever else it runs.
void Guard::learnSlots(const Job& job, Instant now)
{
    auto before = status();
    if (before.instance != job.offer.instance || before.isCold)
        return;
    knee_.finished(now, job.offer.route, now - job.startedAt, job.runningAtStart);
    if (knee_.verdict() != Admission::SlotVerdict::Unknown)
        note({knee_.verdict(), notes_.leftInstance});
    if (knee_.usableSlots() == before.slots)
        return;
    log_.line(LogClass::Notable, "slots-usable", "instance={} announced={} before={} now={}", before.instance, announcedSlots_, before.slots, knee_.usableSlots());
    changed(before);
}

void Guard::cancel(const OfferKey& key)
{
    auto found = tickets_.find(key);
    if (found == tickets_.end())
        return;
    auto ticket = found->second;
    auto& job = *jobs_.at(ticket);
    job.done = nullptr;
    if (!job.connection) {
        gate_.cancel(ticket); // of use if it waits for a slot; conclude() gives back a slot that it has
        return conclude(ticket, NotRun{Reason::CallerLeft, {}, false}, false);
    }
    if (!job.offer.isIdempotent)
        return;
    job.connection->close();
    conclude(ticket, Unknown{Reason::CallerLeft}, false);
}

void Guard::inquire(const OfferKey& key, Done done)
{
    if (const auto* settled = settled_.find(key))
        return done(*settled, stamp());
    auto found = tickets_.find(key);
    if (found != tickets_.end()) {
        jobs_.at(found->second)->done = std::move(done);
        return;
    }
    // Never seen: should it still arrive, it finds this.
    NotRun refusal{Reason::PeerLost, {}, false};
    settled_.add(Support::monotonicNow(), key, refusal);
    done(refusal, stamp());
}

// Some servers never answer what they can't queue. Their slots are free, but what they were sent may have run.
void Guard::tick(Instant now)
{
    std::vector<std::uint64_t> silent;
    for (const auto& [ticket, job] : jobs_) {
        if (job->connection && now >= job->deadline + silenceAfterDeadline)
            silent.push_back(ticket);
    }
    for (auto ticket : silent) {
        auto found = jobs_.find(ticket);
        if (found == jobs_.end())
            continue;
        found->second->connection->close();
        conclude(ticket, Unknown{Reason::TimedOut}, false);
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
        resolve(gate_.tick(now));
        if (gate_.load(now).queued > 0)
            scheduleTick();
    });
}

} // namespace balsamreel::Relay
