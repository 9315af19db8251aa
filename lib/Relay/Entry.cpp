#include "balsamreel/Relay/Entry.h"

#include "balsamreel/Relay/HttpText.h"
#include "balsamreel/Support/Numbers.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace balsamreel::Relay {

namespace {

constexpr std::uint32_t unauthorized = 401;
constexpr std::uint32_t notFound = 404;
constexpr std::uint32_t tooManyRequests = 429;
constexpr std::uint32_t badGateway = 502;
constexpr std::uint32_t serviceUnavailable = 503;
constexpr std::uint32_t gatewayTimeout = 504;
// Guards of servers that are slowed down may refuse earlier attempts of a call, so that other servers are tried. From
// this attempt on, they run the call in spite of the slowdown.
constexpr unsigned firstAttemptDespiteSlowdown = 4;
// Deadlines of attempts travel as 32 bits of microseconds, which hold 71 minutes.
constexpr Duration maximumTimeout = std::chrono::hours(1);
constexpr Duration retryAfterWithoutServers = std::chrono::milliseconds(300);
constexpr Duration retryAfterWithoutConfig = std::chrono::milliseconds(500);
constexpr Duration shortestRetryAfter = std::chrono::milliseconds(30);
// Adds up to this fraction of the wait to Retry-After, so that callers refused together do not retry together.
constexpr double retryAfterJitter = 0.5;

std::optional<Duration> timeoutOf(const IncomingRequest& incoming, const std::string& header)
{
    auto value = incoming.fields[boost::beast::string_view(header.data(), header.size())];
    auto millis = Support::parseNumber<std::int64_t>(std::string_view(value.data(), value.size()));
    if (!millis || *millis < 0)
        return std::nullopt;
    constexpr auto maximumMillis = std::chrono::duration_cast<std::chrono::milliseconds>(maximumTimeout).count();
    return std::chrono::milliseconds(std::min<std::int64_t>(*millis, maximumMillis));
}

// Returns the client account's key of a request, which is "Token KEY"; empty if there is none.
std::string keyOf(const IncomingRequest& incoming)
{
    constexpr std::string_view scheme = "token ";
    auto value = incoming.fields[boost::beast::http::field::authorization];
    std::string_view text(value.data(), value.size());
    if (text.size() <= scheme.size() || !equalsIgnoringCase(text.substr(0, scheme.size()), scheme))
        return {};
    return std::string(text.substr(scheme.size()));
}

std::string secondsText(Duration duration)
{
    constexpr double microsPerSecond = 1e6;
    return fmt::format("{:.3f}", static_cast<double>(duration.count()) / microsPerSecond);
}

} // namespace

Entry::Entry(Loop& loop, const NodeSettings& settings, HeaderNames headerNames, std::uint64_t incarnation, Guard& guard, Peers& peers, AccountLimits& accountLimits, EventLog& log, Support::Metrics& metrics)
    : loop_(loop)
    , settings_(settings)
    , headerNames_(std::move(headerNames))
    , incarnation_(incarnation)
    , guard_(guard)
    , peers_(peers)
    , accountLimits_(accountLimits)
    , log_(log)
    , metrics_(metrics)
    , balancer_(settings.domain, incarnation, settings.otherDomainCost)
    , retryBudget_({settings.retryRatio, settings.retrySlack, settings.retryWindow})
    , secondAttempts_(settings.secondAttemptShare)
    , random_(incarnation + 1)
{
}

void Entry::setRoutes(std::shared_ptr<RouteTable> routes)
{
    routes_ = std::move(routes);
    if (secondAttempts_.isEnabled())
        secondAttempts_.retainRoutes(routes_->config().routes);
}

void Entry::slowdownChanged(const Balance::ServerId& server, bool isSlowed)
{
    balancer_.slowdownChanged(Support::monotonicNow(), server, isSlowed);
}

// Changes of many servers arrive together and take effect only when the next attempt is sent, so the list is rebuilt lazily.
void Entry::updateServers()
{
    if (areServersCurrent_)
        return;
    areServersCurrent_ = true;
    std::vector<Balance::ServerFacts> facts;
    instances_.clear();
    auto add = [&](const std::string& node, const std::string& domain, const Support::Endpoint& guard, std::uint64_t incarnation, const ServerStatus& status) {
        Balance::ServerFacts fact;
        fact.id = {node, status.address};
        fact.service = status.service;
        fact.domain = domain;
        fact.guard = guard;
        fact.slots = status.slots;
        fact.state = status.isCold ? Wire::ServerState::Cold : Wire::ServerState::Ready;
        fact.incarnation = incarnation ^ std::hash<std::string>()(status.instance);
        instances_[fact.id] = status.instance;
        facts.push_back(std::move(fact));
    };
    for (const auto& server : peers_.servers())
        add(server.node.name, server.node.domain, server.node.peerAddress, server.incarnation, server.status);
    auto ownStatus = guard_.status();
    if (!ownStatus.instance.empty())
        add(settings_.name, settings_.domain, settings_.peerAddress, incarnation_, ownStatus);
    balancer_.update(Support::monotonicNow(), facts);
    retryBudget_.setNodeCount(peers_.knownCount() + 1);
}

void Entry::refuseUnrouted(const CallerRequest& caller, const Request& request, Reason reason, std::uint32_t status)
{
    log_.line(LogClass::Notable, "call-unrouted", "id={} host={} target={} reason={} status={} config={}", request.callerAttemptId, request.host, request.target, Support::nameOf(reasonNames, reason), status, routes_ ? routes_->version() : 0);
    metrics_.add(fmt::format("balsamreel_unrouted_total{{reason=\"{}\"}}", Support::nameOf(reasonNames, reason)));
    ServerResponse response;
    response.status = status;
    if (status == serviceUnavailable)
        response.headers.push_back({"Retry-After", secondsText(retryAfterWithoutConfig)});
    caller.connection->respond(caller.number, std::move(response));
}

// Requests without a route are refused immediately, so they may run concurrently.
bool Entry::canRunConcurrently(const IncomingRequest& incoming) const
{
    const auto* route = routes_ ? routes_->match(incoming.request.host, incoming.request.target) : nullptr;
    return !route || route->isIdempotent;
}

void Entry::handle(const CallerRequest& caller, IncomingRequest&& incoming, bool isEnding)
{
    auto& request = incoming.request;
    auto id = incoming.fields[boost::beast::string_view(headerNames_.callerAttemptId.data(), headerNames_.callerAttemptId.size())];
    request.callerAttemptId = std::string(id.data(), id.size());
    request.headers = endToEndHeaders(incoming.fields, {"host", "expect", headerNames_.callerAttemptId, headerNames_.timeoutMillis, headerNames_.expectedInstance, headerNames_.originService, headerNames_.account});
    if (isEnding)
        return refuseUnrouted(caller, request, Reason::ShuttingDown, serviceUnavailable);
    if (!routes_)
        return refuseUnrouted(caller, request, Reason::NoConfiguration, serviceUnavailable);
    const auto* route = routes_->match(request.host, request.target);
    if (!route)
        return refuseUnrouted(caller, request, Reason::NoRoute, notFound);
    const auto* account = routes_->hasAccounts() ? routes_->account(keyOf(incoming)) : nullptr;
    if (routes_->hasAccounts() && !account && !route->isPublic)
        return refuseUnrouted(caller, request, Reason::UnknownKey, unauthorized);
    // The key must not reach servers or other nodes.
    if (routes_->hasAccounts())
        std::erase_if(request.headers, [](const Header& header) { return equalsIgnoringCase(header.name, "authorization"); });

    auto now = Support::monotonicNow();
    auto call = std::make_shared<Call>(loop_);
    call->caller = caller;
    call->routes = routes_;
    call->route = route;
    call->account = account ? account->name : std::string();
    call->priority = routes_->priority(*route, account);
    call->service = routes_->nextService(*route);
    call->arrivedAt = now;
    auto timeout = timeoutOf(incoming, headerNames_.timeoutMillis).value_or(route->timeout);
    call->deadline = now + std::min({timeout, route->timeout, maximumTimeout});
    call->targetTime = now + route->targetLatency;
    call->request = std::move(request);
    calls_[caller] = call;
    call->timer.expires_after(call->deadline - now);
    call->timer.async_wait([this, call](const boost::system::error_code& cancelled) {
        if (!cancelled)
            onDeadline(call);
    });
    if (!account || !accountLimits_.hasLimit(account->name))
        return start(call);
    accountLimits_.acquire(account->name, [this, call](const Quota::Decision& decision) { onQuotaDecision(call, decision); });
}

void Entry::onQuotaDecision(const CallPointer& call, const Quota::Decision& decision)
{
    const auto* permit = std::get_if<Quota::Permit>(&decision);
    if (!call->caller.connection) {
        if (permit)
            accountLimits_.giveBack(call->account, *permit);
        return;
    }
    if (!permit)
        return refuseOverQuota(call, std::get<Quota::Refusal>(decision).retryAfter);
    call->permit = *permit;
    start(call);
}

void Entry::refuseOverQuota(const CallPointer& call, Duration retryAfter)
{
    ServerResponse response;
    response.status = tooManyRequests;
    response.headers.push_back({"Retry-After", retryAfterText(retryAfter)});
    finish(call, response, Reason::QuotaExceeded);
}

void Entry::start(const CallPointer& call)
{
    retryBudget_.recordRequest(Support::monotonicNow(), call->service);
    if (secondAttempts_.isEnabled() && call->route->isIdempotent)
        secondAttempts_.recordRequest();
    startNextAttempt(call, {Reason::NoServer, retryAfterWithoutServers, false});
}

// Sends an attempt to the next server. If there is none, refuses the call for the reason of the last refusal.
void Entry::startNextAttempt(const CallPointer& call, NotRun fallback)
{
    updateServers();
    auto now = Support::monotonicNow();
    if (call->attemptCount >= maximumAttempts || now >= call->deadline)
        return refuse(call, fallback);
    auto choice = balancer_.choose(now, call->service, false, call->triedServers);
    if (!choice && fallback.reason == Reason::ServerSlowed) {
        call->ignoresSlowdown = true;
        call->triedServers.clear();
        choice = balancer_.choose(now, call->service, false, {});
    }
    if (!choice)
        return refuse(call, fallback);
    auto instance = instanceOf(choice->server);
    if (!instance)
        return refuse(call, fallback);
    sendAttempt(call, *choice, *instance);
}

std::optional<std::string> Entry::instanceOf(const Balance::ServerId& server) const
{
    auto found = instances_.find(server);
    if (found == instances_.end())
        return std::nullopt;
    return found->second;
}

AttemptRequest Entry::makeAttemptRequest(const Call& call, std::uint64_t serial, const std::string& instance, Instant now) const
{
    AttemptRequest message;
    message.serial = serial;
    message.instance = instance;
    message.route = call.route->name;
    message.priority = call.priority;
    message.isIdempotent = call.route->isIdempotent;
    message.canGoElsewhere = !call.ignoresSlowdown && call.attemptCount < firstAttemptDespiteSlowdown;
    message.timeoutMicros = static_cast<std::uint32_t>(std::max<Duration::rep>(1, (call.deadline - now).count()));
    message.latencyTargetMicros = static_cast<std::uint32_t>(std::max<Duration::rep>(0, (std::min(call.targetTime, call.deadline) - now).count()));
    message.originService = settings_.service;
    message.account = call.account;
    message.request = call.request;
    return message;
}

void Entry::sendAttempt(const CallPointer& call, const Balance::Choice& choice, const std::string& instance, bool isSecond)
{
    auto now = Support::monotonicNow();
    auto serial = nextSerial_++;
    ++call->attemptCount;
    call->triedServers.push_back(choice.server);
    call->openAttempts.push_back({serial, choice.server, now, isSecond});
    call->lastServer = choice.server.node;
    balancer_.started(now, choice.server, call->route->name);
    watchForSlowness(call, serial);
    auto message = makeAttemptRequest(*call, serial, instance, now);
    auto done = [this, call, serial](const Outcome& outcome, const Wire::LoadStamp& stamp) { onOutcome(call, serial, outcome, stamp); };
    if (choice.server.node == settings_.name)
        guard_.submit({incarnation_, serial}, message, std::move(done));
    else
        peers_.sendAttempt(choice.server.node, message, std::move(done));
}

void Entry::reportOutcome(const CallPointer& call, const Attempt& attempt, const Outcome& outcome, const Wire::LoadStamp& stamp)
{
    auto now = Support::monotonicNow();
    Balance::Feedback feedback;
    feedback.latency = now - attempt.startedAt;
    feedback.startedAt = attempt.startedAt;
    feedback.route = call->route->name;
    if (stamp.limit > 0)
        feedback.stamp = stamp;
    if (const auto* notRun = std::get_if<NotRun>(&outcome)) {
        bool isFault = notRun->reason == Reason::PeerLost || notRun->reason == Reason::ServerUnreachable;
        feedback.result = isFault ? Balance::AttemptResult::Unreachable : Balance::AttemptResult::Refused;
    } else if (std::holds_alternative<Unknown>(outcome))
        feedback.result = Balance::AttemptResult::Broken;
    else if (std::get<ServerResponse>(outcome).status >= firstServerError)
        feedback.result = Balance::AttemptResult::ServerError;
    balancer_.finished(now, attempt.server, feedback);
    learnFromOutcome(*call, feedback.latency, outcome);
}

void Entry::onOutcome(const CallPointer& call, std::uint64_t serial, const Outcome& outcome, const Wire::LoadStamp& stamp)
{
    auto found = std::ranges::find(call->openAttempts, serial, &Attempt::serial);
    if (found == call->openAttempts.end())
        return;
    auto attempt = *found;
    call->openAttempts.erase(found);
    call->lastServer = attempt.server.node;
    reportOutcome(call, attempt, outcome, stamp);
    if (const auto* notRun = std::get_if<NotRun>(&outcome))
        return onNotRun(call, *notRun);
    ++call->serverAttemptCount;
    if (const auto* unknown = std::get_if<Unknown>(&outcome))
        return onUnknown(call, *unknown);
    onResponse(call, attempt, std::get<ServerResponse>(outcome));
}

// A refusal by a guard costs the server nothing and needs no retry budget. A refusal by the server itself counts as an
// attempt that has reached a server.
void Entry::onNotRun(const CallPointer& call, const NotRun& refusal)
{
    if (refusal.expectedWait > Duration::zero())
        call->shortestWait = std::min(refusal.expectedWait, call->shortestWait.value_or(refusal.expectedWait));
    if (refusal.hasReachedServer) {
        ++call->serverAttemptCount;
        if (call->openAttempts.empty() && !mayRetry(*call))
            return refuse(call, refusal);
    }
    if (call->openAttempts.empty())
        startNextAttempt(call, refusal);
}

// Consumes one retry of the shared budget if it returns true.
bool Entry::mayRetry(const Call& call)
{
    if (call.serverAttemptCount >= call.route->maximumServers)
        return false;
    return retryBudget_.tryConsume(Support::monotonicNow(), call.service);
}

void Entry::onUnknown(const CallPointer& call, const Unknown& unknown)
{
    call->mayHaveRun = true;
    if (!call->openAttempts.empty())
        return;
    if (call->route->isIdempotent && Support::monotonicNow() < call->deadline && mayRetry(*call))
        return startNextAttempt(call, {unknown.reason, {}, false});
    fail(call, unknown.reason, badGateway);
}

// Guards omit the caller's attempt id from responses because it is known here.
void Entry::onResponse(const CallPointer& call, const Attempt& attempt, ServerResponse response)
{
    if (!call->request.callerAttemptId.empty())
        response.headers.push_back({headerNames_.callerAttemptId, call->request.callerAttemptId});
    bool isError = response.status >= firstServerError;
    if (isError && !call->openAttempts.empty()) {
        call->mayHaveRun = true;
        call->errorResponse = std::move(response);
        return;
    }
    if (isError && call->route->isIdempotent && Support::monotonicNow() < call->deadline && !call->errorResponse && mayRetry(*call)) {
        call->mayHaveRun = true;
        call->errorResponse = response;
        return startNextAttempt(call, {Reason::ServerShed, {}, false});
    }
    if (attempt.isSecond && !isError)
        metrics_.add("balsamreel_second_attempts_won_total");
    cancelAttempts(call);
    finish(call, response, Reason::None);
}

void Entry::refuse(const CallPointer& call, const NotRun& refusal)
{
    if (call->errorResponse)
        return finish(call, *call->errorResponse, refusal.reason);
    if (call->mayHaveRun)
        return fail(call, refusal.reason, badGateway);
    if (call->permit)
        accountLimits_.giveBack(call->account, *std::exchange(call->permit, std::nullopt));
    ServerResponse response;
    response.status = serviceUnavailable;
    auto wait = std::max(shortestRetryAfter, call->shortestWait.value_or(refusal.expectedWait));
    response.headers.push_back({"Retry-After", retryAfterText(wait)});
    finish(call, response, refusal.reason);
}

std::string Entry::retryAfterText(Duration wait)
{
    return secondsText(wait + Duration(static_cast<Duration::rep>(static_cast<double>(wait.count()) * retryAfterJitter * random_.fraction())));
}

void Entry::fail(const CallPointer& call, Reason reason, std::uint32_t status)
{
    if (call->errorResponse)
        return finish(call, *call->errorResponse, reason);
    ServerResponse response;
    response.status = status;
    finish(call, response, reason);
}

void Entry::finish(const CallPointer& call, const ServerResponse& response, Reason reason)
{
    auto elapsed = Support::monotonicNow() - call->arrivedAt;
    bool isGood = response.status < firstServerError;
    auto server = call->lastServer.empty() ? std::string("-") : call->lastServer;
    log_.line(isGood ? LogClass::Routine : LogClass::Notable, "call", "id={} route={} account={} service={} config={} status={} reason={} server={} priority={} placements={} sent={} took_us={} goal_us={}", call->request.callerAttemptId, call->route->name, call->account, call->service, call->routes->version(), response.status, Support::nameOf(reasonNames, reason), server, call->priority, call->attemptCount, call->serverAttemptCount, elapsed.count(), call->route->targetLatency.count());
    metrics_.add(fmt::format("balsamreel_calls_total{{status=\"{}\",reason=\"{}\"}}", response.status, Support::nameOf(reasonNames, reason)));
    metrics_.observe("balsamreel_call_seconds", static_cast<double>(elapsed.count()) / 1e6);
    call->timer.cancel();
    call->slowTimer.reset();
    calls_.erase(call->caller);
    auto caller = std::move(call->caller);
    caller.connection->respond(caller.number, response);
}

void Entry::cancelAttempts(const CallPointer& call)
{
    auto attempts = std::exchange(call->openAttempts, {});
    for (const auto& attempt : attempts)
        cancelAttempt(*call, attempt);
}

void Entry::cancelAttempt(const Call& call, const Attempt& attempt)
{
    Balance::Feedback feedback;
    feedback.result = Balance::AttemptResult::Abandoned;
    feedback.latency = Support::monotonicNow() - attempt.startedAt;
    feedback.startedAt = attempt.startedAt;
    feedback.route = call.route->name;
    balancer_.finished(Support::monotonicNow(), attempt.server, feedback);
    if (secondAttempts_.isEnabled() && call.route->isIdempotent)
        secondAttempts_.recordCancellation(call.route->name, feedback.latency);
    if (attempt.server.node == settings_.name)
        guard_.cancel({incarnation_, attempt.serial});
    else
        peers_.cancel(attempt.server.node, attempt.serial);
}

void Entry::onDeadline(const CallPointer& call)
{
    if (!call->caller.connection)
        return;
    cancelAttempts(call);
    fail(call, Reason::TimedOut, gatewayTimeout);
}

void Entry::timeOutOverdueCalls(Instant now)
{
    std::vector<CallPointer> overdue;
    for (const auto& [caller, call] : calls_) {
        if (now >= call->deadline)
            overdue.push_back(call);
    }
    for (const auto& call : overdue)
        onDeadline(call);
}

void Entry::applySettings()
{
    retryBudget_.setOptions({settings_.retryRatio, settings_.retrySlack, settings_.retryWindow});
}

void Entry::callerLeft(const std::shared_ptr<CallerConnection>& connection)
{
    std::vector<CallPointer> abandoned;
    for (auto found = calls_.lower_bound({connection, 0}); found != calls_.end() && found->first.connection == connection; ++found)
        abandoned.push_back(found->second);
    for (const auto& call : abandoned) {
        calls_.erase(call->caller);
        call->caller = {};
        call->timer.cancel();
        call->slowTimer.reset();
        cancelAttempts(call);
        log_.line(LogClass::Routine, "caller-left", "id={} route={} after_us={}", call->request.callerAttemptId, call->route->name, (Support::monotonicNow() - call->arrivedAt).count());
    }
}

} // namespace balsamreel::Relay
