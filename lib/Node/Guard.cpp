#include "balsamreel/Node/Guard.h"

#include "balsamreel/Node/AttemptQuery.h"
#include "balsamreel/Node/CallTrace.h"
#include "balsamreel/Node/ResponseBuffer.h"
#include "balsamreel/Support/Http.h"
#include "balsamreel/Support/Log.h"
#include "balsamreel/Support/Numbers.h"
#include "balsamreel/Wire/Headers.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace balsamreel::Node {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Support::Duration;
using Support::Instant;
using Support::monotonicNow;

namespace {

constexpr Duration defaultRemaining = std::chrono::seconds(10);
constexpr Duration maximumRemaining = std::chrono::hours(1);
constexpr Duration queueWaitPollInterval = std::chrono::milliseconds(50);
// A reused connection may have become silent while it was idle. Repeatable work that gets no response for this long is
// sent once more, over a new connection.
constexpr Duration reusedConnectionTimeout = std::chrono::milliseconds(1000);
constexpr std::uint64_t maximumDepth = 64;
constexpr int firstServerError = 500;
// The minimum wait reported with a diverted call; its entry sends no other call to this server for that time.
constexpr Duration diversionWait = std::chrono::milliseconds(50);

std::uint64_t numberHeader(const HTTPServerRequest& request, const char* name, std::uint64_t fallback, std::uint64_t maximum)
{
    auto number = Support::parseNumber<std::uint64_t>(request.get(name, ""));
    return number ? std::min(*number, maximum) : fallback;
}

Admission::LaneHint laneHintOf(const std::string& workClass)
{
    if (workClass == "short")
        return Admission::LaneHint::Short;
    return workClass == "long" ? Admission::LaneHint::Long : Admission::LaneHint::Learn;
}

std::string outcomeName(Wire::Outcome outcome)
{
    return std::string(Support::nameOf(Wire::outcomeNames, outcome));
}

Balance::AttemptResult resultOf(std::error_code error, const HTTPResponse& serverResponse)
{
    if (error == ExchangeError::CallerLeft)
        return Balance::AttemptResult::Abandoned;
    if (error)
        return Balance::AttemptResult::Broken;
    return serverResponse.getStatus() >= firstServerError ? Balance::AttemptResult::ServerError : Balance::AttemptResult::Answered;
}

void sendUnknown(HTTPServerResponse& response, const std::string& reason)
{
    response.set(Wire::outcomeHeader, outcomeName(Wire::Outcome::Unknown));
    response.set(Wire::reasonHeader, reason);
    response.setKeepAlive(false);
    Support::sendText(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT, "text/plain", "outcome unknown: " + reason + "\n");
}

} // namespace

struct Guard::Call {
    Wire::AttemptId attempt;
    Support::Endpoint server;
    Admission::Ticket ticket;
    bool isAtMostOnce = false;
    bool expectsContinue = false;
    bool holdsSlot = false; ///< admitted by the admission controller and not finished yet
    CallTrace trace;
    std::unique_ptr<RequestBody> body;
};

class Guard::AttemptCompletion {
public:
    AttemptCompletion(Guard& guard, Call& call)
        : guard_(guard)
        , call_(call)
    {
    }
    ~AttemptCompletion() { guard_.complete(call_); }
    AttemptCompletion(const AttemptCompletion&) = delete;
    AttemptCompletion& operator=(const AttemptCompletion&) = delete;

private:
    Guard& guard_;
    Call& call_;
};

Admission::AdmissionOptions Guard::admissionOptions(const Wire::ServerRecord& record) const
{
    Admission::AdmissionOptions options;
    options.slots = record.slots;
    options.isUnlimited = context_.settings.isNaive;
    auto active = context_.config.get();
    if (!active)
        return options;
    auto service = active->configuration.services.find(record.service);
    if (service == active->configuration.services.end())
        return options;
    options.longShare = service->second.longShare;
    options.maximumQueueWait = service->second.maximumQueueWait;
    options.maximumLimitFactor = service->second.limitFactor;
    options.isUnlimited = options.isUnlimited || service->second.policy == Config::PolicyKind::Naive;
    return options;
}

std::size_t Guard::announce(Instant now, const Announcement& announcement)
{
    const auto& record = announcement.record;
    auto options = admissionOptions(record);
    std::lock_guard lock(mutex_);
    auto [entry, isNew] = servers_.try_emplace(record.address, LocalServer{record, now, Admission::AdmissionController(options), {}});
    auto& server = entry->second;
    bool isChange = isNew || server.record.state != record.state;
    server.record = record;
    server.leaseEnd = now + announcement.lease;
    server.admission.setOptions(options);
    bool isLeavingServer = record.state == Wire::ServerState::Draining || record.state == Wire::ServerState::Gone;
    server.admission.setDraining(isDraining_ || isLeavingServer);
    if (isChange)
        context_.timeline.record("server", fmt::format("address={} service={} state={}", record.address.text(), record.service, Support::nameOf(Wire::serverStateNames, record.state)));
    auto load = server.admission.load(now);
    return load.running + load.queued;
}

std::vector<Wire::ServerRecord> Guard::records() const
{
    std::lock_guard lock(mutex_);
    std::vector<Wire::ServerRecord> records;
    for (const auto& [address, server] : servers_) {
        if (server.record.state != Wire::ServerState::Gone && records.size() < Wire::maximumServersPerMember)
            records.push_back(server.record);
    }
    return records;
}

void Guard::drainAll()
{
    std::lock_guard lock(mutex_);
    isDraining_ = true;
    for (auto& [address, server] : servers_)
        server.admission.setDraining(true);
}

void Guard::wake(LocalServer& server, const std::vector<Admission::Resolution>& resolutions)
{
    for (const auto& resolution : resolutions) {
        auto waiter = server.waiters.find(resolution.ticket);
        if (waiter == server.waiters.end())
            continue;
        waiter->second->decision = resolution.decision;
        waiter->second->resolved.notify_one();
    }
}

void Guard::tick(Instant now)
{
    std::lock_guard lock(mutex_);
    attempts_.tick(now);
    for (auto& [address, server] : servers_) {
        server.admission.setOptions(admissionOptions(server.record));
        wake(server, server.admission.tick(now));
        if (server.record.state == Wire::ServerState::Gone || now < server.leaseEnd)
            continue;
        server.record.state = Wire::ServerState::Gone;
        server.admission.setDraining(true);
        context_.timeline.record("server", fmt::format("address={} service={} state=gone reason=lease-expired", address.text(), server.record.service));
    }
    std::erase_if(servers_, [&](const auto& entry) {
        const auto& server = entry.second;
        constexpr Duration goneServerRetention = std::chrono::seconds(60);
        return server.record.state == Wire::ServerState::Gone && now >= server.leaseEnd + goneServerRetention && server.waiters.empty() && server.admission.load(now).running == 0;
    });
}

std::optional<Guard::Call> Guard::readCall(HTTPServerRequest& request, HTTPServerResponse& response)
{
    auto attempt = Wire::parseAttemptId(request.get(Wire::attemptHeader, ""));
    auto server = Support::parseEndpoint(request.get(Wire::serverHeader, ""));
    if (!attempt || !server) {
        context_.metrics.add("balsam_guard_malformed_total");
        sendNotRun(response, HTTPResponse::HTTP_BAD_REQUEST, "malformed-attempt", Duration::zero(), true);
        return std::nullopt;
    }
    if (request.get(Wire::guardHeader, "") != std::to_string(context_.incarnation)) {
        sendNotRun(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "guard-restarted", Duration::zero(), true);
        return std::nullopt;
    }
    auto now = monotonicNow();
    Call call;
    call.attempt = *attempt;
    call.server = *server;
    call.isAtMostOnce = request.has(Wire::atMostOnceHeader);
    call.expectsContinue = request.has(Wire::holdBodyHeader);
    call.ticket.route = request.get(Wire::routeHeader, "");
    call.ticket.caller = request.get(Wire::callerHeader, "");
    call.ticket.hint = laneHintOf(request.get(Wire::workClassHeader, ""));
    call.ticket.depth = static_cast<unsigned>(numberHeader(request, Wire::depthHeader, 0, maximumDepth));
    call.ticket.priority = static_cast<unsigned>(numberHeader(request, Wire::priorityHeader, Config::Route::defaultPriority, Config::Route::lowestPriority));
    call.ticket.deadline = now + Duration(numberHeader(request, Wire::remainingHeader, defaultRemaining.count(), maximumRemaining.count()));
    call.trace = CallTrace(context_.timeline, request, request.get(Wire::callHeader, ""));
    call.body = std::make_unique<RequestBody>(request);
    return call;
}

Admission::Decision Guard::admit(Call& call, HTTPServerRequest& request)
{
    std::unique_lock lock(mutex_);
    auto found = servers_.find(call.server);
    if (found == servers_.end())
        return Admission::Refused{Admission::RefusalReason::Draining, {}};
    auto& server = found->second;
    call.ticket.id = nextTicket_++;
    auto decision = server.admission.submit(monotonicNow(), call.ticket);
    wake(server, server.admission.takeEvicted());
    if (!std::holds_alternative<Admission::Queued>(decision))
        return decision;

    // Servers with waiters are never erased, so the reference stays valid while the lock is released.
    Waiter waiter;
    server.waiters[call.ticket.id] = &waiter;
    bool hasLeft = false;
    while (!waiter.decision && !hasLeft) {
        waiter.resolved.wait_for(lock, queueWaitPollInterval);
        hasLeft = !waiter.decision && hasClosed(socketOf(request));
    }
    server.waiters.erase(call.ticket.id);
    if (waiter.decision)
        return *waiter.decision;
    server.admission.cancel(call.ticket.id);
    return Admission::Refused{Admission::RefusalReason::WaitedTooLong, {}};
}

std::optional<Wire::LoadStamp> Guard::loadStampOf(const Support::Endpoint& server) const
{
    std::lock_guard lock(mutex_);
    auto found = servers_.find(server);
    if (found == servers_.end())
        return std::nullopt;
    auto load = found->second.admission.load(monotonicNow());
    return Wire::LoadStamp{load.running, load.queued, load.limit, static_cast<std::uint32_t>(load.expectedWait.count())};
}

void Guard::setLoadHeader(const Call& call, HTTPServerResponse& response, Duration minimumWait)
{
    auto stamp = loadStampOf(call.server);
    if (!stamp)
        return;
    stamp->waitMicros = std::max(stamp->waitMicros, static_cast<std::uint32_t>(minimumWait.count()));
    response.set(Wire::loadHeader, stamp->text());
}

std::optional<Wire::LoadReport> Guard::report(const Wire::LoadProbe& probe) const
{
    auto stamp = loadStampOf(probe.server);
    if (!stamp)
        return std::nullopt;
    constexpr double permille = 1000;
    auto slowdown = slowdowns_.slowdown(monotonicNow(), probe.server);
    return Wire::LoadReport{probe.sequence, *stamp, slowdown ? static_cast<std::uint32_t>(*slowdown * permille) : 0};
}

void Guard::refuse(const Call& call, HTTPServerRequest& request, HTTPServerResponse& response, const Admission::Refused& refusal)
{
    std::string reason(Support::nameOf(Admission::refusalReasonNames, refusal.reason));
    call.trace.step("refused", "reason={}", reason);
    context_.metrics.add(fmt::format("balsam_guard_refused_total{{reason=\"{}\"}}", reason));
    setLoadHeader(call, response);
    bool isBodyUnread = !call.expectsContinue && requestHasBody(request);
    sendNotRun(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, reason, refusal.expectedWait, isBodyUnread);
}

void Guard::complete(Call& call)
{
    finish(call, false);
    std::lock_guard lock(mutex_);
    attempts_.complete(call.attempt);
}

void Guard::handleQuery(HTTPServerRequest& request, HTTPServerResponse& response)
{
    context_.metrics.add("balsam_guard_queries_total");
    handleAttemptQuery(mutex_, attempts_, context_.incarnation, request, response);
}

void Guard::finish(Call& call, bool hasSucceeded)
{
    if (!std::exchange(call.holdsSlot, false))
        return;
    std::lock_guard lock(mutex_);
    auto found = servers_.find(call.server);
    if (found != servers_.end())
        wake(found->second, found->second.admission.finish(monotonicNow(), call.ticket.id, hasSucceeded));
}

bool Guard::dispatch(const Call& call)
{
    std::lock_guard lock(mutex_);
    auto now = monotonicNow();
    auto found = servers_.find(call.server);
    // After a pause of this process the lease of the server's announcement may have expired, and another server may use
    // its address.
    bool isAnnounced = found != servers_.end() && now < found->second.leaseEnd;
    if (!isAnnounced)
        attempts_.refuse(call.attempt);
    return isAnnounced && attempts_.dispatch(now, call.attempt);
}

void Guard::run(Call& call, HTTPServerRequest& request, HTTPServerResponse& response)
{
    if (call.expectsContinue)
        response.sendContinue();
    else if (call.body->readPrefix())
        return; // The entry's connection broke while it sent the body; nothing has been sent to the server.
    if (!dispatch(call)) {
        finish(call, false);
        return refuse(call, request, response, {Admission::RefusalReason::DeadlineTooNear, {}});
    }
    HTTPRequest outgoing(request.getMethod(), request.getURI(), HTTPRequest::HTTP_1_1);
    copyHeaders(request, outgoing);
    auto remaining = call.ticket.deadline - monotonicNow();
    call.trace.propagate(outgoing);
    call.trace.step("dispatched", "server={} depth={}", call.server.text(), call.ticket.depth);
    outgoing.set(Wire::callHeader, request.get(Wire::callHeader, ""));
    outgoing.set(Wire::depthHeader, std::to_string(call.ticket.depth + 1));
    outgoing.set(Wire::retriesLeftHeader, request.get(Wire::retriesLeftHeader, "0"));
    outgoing.set(Wire::remainingHeader, std::to_string(remaining.count()));

    // At-most-once work continues if its entry disconnects, because the entry may query for the response later.
    auto* watched = call.isAtMostOnce ? nullptr : &socketOf(request);
    // Long work can't be distinguished from a silent reused connection, and opening a new one costs little beside it.
    bool isFresh = call.isAtMostOnce || call.ticket.hint == Admission::LaneHint::Long;
    ExchangeOptions options{.target = call.server, .deadline = call.ticket.deadline, .isFreshConnection = isFresh, .caller = watched, .reusedConnectionTimeout = reusedConnectionTimeout};
    SlowdownTable::Measurement measurement(slowdowns_, call.server, call.ticket.route);
    std::optional<Exchange> exchange(std::in_place, context_.pool, options);
    HTTPResponse serverResponse;
    auto error = exchange->start(outgoing, *call.body, serverResponse);
    if (error == ExchangeError::StoppedByCheck && !call.body->isConsumed()) {
        context_.pool.discard(call.server);
        context_.metrics.add("balsam_guard_silent_connections_total");
        options.isFreshConnection = true;
        exchange.emplace(context_.pool, options);
        error = exchange->start(outgoing, *call.body, serverResponse);
    }
    call.trace.step("worked", "server={} status={} error=\"{}\"", call.server.text(), static_cast<int>(serverResponse.getStatus()), error ? error.message() : "");
    finish(call, !error && serverResponse.getStatus() < firstServerError);
    measurement.finish(resultOf(error, serverResponse));
    if (error)
        return onServerError(call, error, response);
    response.set(Wire::outcomeHeader, outcomeName(Wire::Outcome::Ran));
    response.set(Wire::serverHeader, call.server.text());
    setLoadHeader(call, response);
    if (call.isAtMostOnce)
        return relayAndRetain(call, *exchange, serverResponse, request, response);
    if (relayResponse(*exchange, serverResponse, request, response))
        return;
    std::lock_guard lock(mutex_);
    attempts_.finish(call.attempt);
}

void Guard::onServerError(const Call& call, std::error_code error, HTTPServerResponse& response)
{
    context_.pool.discard(call.server);
    {
        std::lock_guard lock(mutex_);
        if (error == ExchangeError::Unreachable)
            attempts_.withdraw(call.attempt);
        else
            attempts_.markLost(call.attempt);
    }
    if (error == ExchangeError::CallerLeft)
        return;
    if (error == ExchangeError::Unreachable)
        return sendNotRun(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "server-unreachable", Duration::zero(), false);
    sendUnknown(response, error.message());
}

void Guard::relayAndRetain(const Call& call, Exchange& exchange, const HTTPResponse& serverResponse, HTTPServerRequest& request, HTTPServerResponse& response)
{
    ResponseBuffer buffer(serverResponse, request, response, attempts_.options().maximumResponseBytes);
    auto error = buffer.read(exchange);
    {
        std::lock_guard lock(mutex_);
        if (error)
            attempts_.markLost(call.attempt);
        else if (buffer.isBuffered())
            attempts_.finish(call.attempt, buffer.retainedResponse());
        else
            attempts_.finish(call.attempt);
    }
    if (error && buffer.isBuffered())
        return sendUnknown(response, error.message());
    buffer.send(error);
}

// Diverts a call that another server can take while this one is slow or failing. The attempt is not recorded.
bool Guard::divert(const Call& call, const HTTPServerRequest& request, HTTPServerResponse& response)
{
    bool hasBody = requestHasBody(request);
    if (hasBody || !request.has(Wire::mayDivertHeader) || !slowdowns_.isDiverting(monotonicNow(), call.server))
        return false;
    context_.metrics.add("balsam_guard_diverted_total");
    setLoadHeader(call, response, diversionWait);
    sendNotRun(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "diverted", diversionWait, false);
    return true;
}

void Guard::handle(HTTPServerRequest& request, HTTPServerResponse& response)
{
    InFlight::Scope scope(context_.inFlight);
    auto call = readCall(request, response);
    if (!call || divert(*call, request, response))
        return;
    {
        std::unique_lock lock(mutex_);
        if (!attempts_.admit(monotonicNow(), call->attempt, call->ticket.deadline)) {
            auto state = attempts_.state(call->attempt);
            lock.unlock();
            context_.metrics.add("balsam_guard_duplicates_total");
            bool hasNotRun = state == AtMostOnce::AttemptState::Revoked || state == AtMostOnce::AttemptState::Refused;
            if (hasNotRun)
                return sendNotRun(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "revoked", Duration::zero(), true);
            return sendUnknown(response, "duplicate attempt");
        }
    }
    AttemptCompletion completion(*this, *call);
    auto decision = admit(*call, request);
    if (const auto* refused = std::get_if<Admission::Refused>(&decision)) {
        {
            std::lock_guard lock(mutex_);
            attempts_.refuse(call->attempt);
        }
        return refuse(*call, request, response, *refused);
    }
    call->holdsSlot = true;
    run(*call, request, response);
}

} // namespace balsamreel::Node
