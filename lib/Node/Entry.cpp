#include "balsamreel/Node/Entry.h"

#include "balsamreel/Admission/Ticket.h"
#include "balsamreel/Node/CallTrace.h"
#include "balsamreel/Node/ResponseBuffer.h"
#include "balsamreel/Support/Http.h"
#include "balsamreel/Support/Numbers.h"
#include "balsamreel/Wire/Headers.h"

#include <fmt/format.h>

#include <algorithm>

namespace balsamreel::Node {

using Balance::AttemptResult;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Support::Duration;
using Support::Instant;
using Support::monotonicNow;

namespace {

constexpr unsigned maximumAttempts = 4;
constexpr int firstServerError = 500;

std::optional<std::uint64_t> numberHeader(const HTTPServerRequest& request, const char* name)
{
    return Support::parseNumber<std::uint64_t>(request.get(name, ""));
}

std::string outcomeOf(const HTTPResponse& guardResponse)
{
    return guardResponse.get(Wire::outcomeHeader, "");
}

} // namespace

struct Entry::Call {
    HTTPServerRequest& request;
    HTTPServerResponse& response;
    std::shared_ptr<const ActiveConfig> config;
    const Config::Route* route = nullptr;
    const Config::Service* service = nullptr;
    std::string callId;
    CallTrace trace;
    Instant startedAt;
    Instant deadline;
    std::uint64_t depth = 0;
    RequestBody body;
    std::vector<Balance::ServerId> excluded;
    std::string lastRefusal = "no-server";
    Duration retryAfter{};
    unsigned attempts = 0;
    bool isAtMostOnce = false;
    std::unique_ptr<KeyedCall> keyed; ///< null if the call has no Idempotency-Key
    bool mayHaveRun = false; ///< an attempt of repeatable work was sent and its outcome is unknown
    Admission::CallRetries retries{0, std::nullopt};
    FailureKind lastFailure = FailureKind::ServerUnavailable;
};

bool Entry::readCall(Call& call)
{
    auto refuse = [&](int status, const std::string& reason) {
        context_.metrics.add(fmt::format("balsam_entry_rejected_total{{reason=\"{}\"}}", reason));
        sendNotRun(call.response, status, reason, Duration::zero(), requestHasBody(call.request));
        return false;
    };
    if (context_.refusesCalls)
        return refuse(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "leaving");
    call.config = context_.config.get();
    if (!call.config)
        return refuse(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "no-configuration");
    const auto& configuration = call.config->configuration;
    call.route = call.config->routes.find(call.request.getMethod(), Support::pathOf(call.request.getURI()));
    if (!call.route)
        return refuse(HTTPResponse::HTTP_NOT_FOUND, "no-route");
    call.service = &configuration.services.at(call.route->service);
    call.isAtMostOnce = call.route->isAtMostOnce;
    call.startedAt = monotonicNow();
    auto allowed = call.route->deadline > Duration::zero() ? call.route->deadline : call.service->deadline;
    if (auto remaining = numberHeader(call.request, Wire::remainingHeader))
        allowed = std::min(allowed, Duration(static_cast<Duration::rep>(std::min<std::uint64_t>(*remaining, static_cast<std::uint64_t>(allowed.count())))));
    call.deadline = call.startedAt + allowed;
    constexpr std::uint64_t maximumDepth = 64;
    call.depth = std::min(maximumDepth, numberHeader(call.request, Wire::depthHeader).value_or(0));
    call.retries = Admission::CallRetries(call.depth, numberHeader(call.request, Wire::retriesLeftHeader));
    call.callId = call.request.get(Wire::callHeader, "");
    if (call.callId.empty())
        call.callId = fmt::format("{:x}-{:x}", context_.attemptIncarnation, context_.nextAttempt++);
    call.trace = CallTrace(context_.timeline, call.request, call.callId);
    call.trace.step("received", "route={} depth={} remaining_us={}", call.route->name, call.depth, allowed.count());
    if (call.body.readPrefix())
        return refuse(HTTPResponse::HTTP_BAD_REQUEST, "request-cut");
    return true;
}

// An Idempotency-Key makes any call at-most-once work.
bool Entry::claimKey(Call& call)
{
    if (!call.request.has(Wire::idempotencyKeyHeader))
        return true;
    call.isAtMostOnce = true;
    call.keyed = std::make_unique<KeyedCall>(context_, claims_);
    return call.keyed->claim(call.request, call.response, call.body, call.route->name, call.deadline);
}

// Called before the response is sent to the caller, because sending may fail.
void Entry::recordOutcome(Call& call, AtMostOnce::ClaimState state, std::optional<AtMostOnce::RetainedResponse> retainedResponse)
{
    if (call.keyed)
        call.keyed->setOutcome(state, std::move(retainedResponse));
}

SentAttempt Entry::fillRequest(const Call& call, const Balance::Choice& choice, HTTPRequest& request)
{
    copyHeaders(call.request, request);
    Wire::AttemptId attempt{context_.attemptIncarnation, context_.nextAttempt++};
    request.set(Wire::attemptHeader, attempt.text());
    request.set(Wire::callHeader, call.callId);
    request.set(Wire::serverHeader, choice.server.address.text());
    request.set(Wire::guardHeader, std::to_string(choice.guardIncarnation));
    request.set(Wire::remainingHeader, std::to_string((call.deadline - monotonicNow()).count()));
    request.set(Wire::depthHeader, std::to_string(call.depth));
    request.set(Wire::retriesLeftHeader, std::to_string(call.retries.passedOn()));
    request.set(Wire::priorityHeader, std::to_string(call.route->priority));
    request.set(Wire::callerHeader, call.request.clientAddress().host().toString());
    request.set(Wire::routeHeader, call.route->name);
    request.set(Wire::workClassHeader, std::string(Support::nameOf(Config::workClassNames, call.route->workClass)));
    call.trace.propagate(request);
    call.trace.step("attempt", "attempt={} server={}", attempt.text(), choice.server.text());
    // Only the first attempt may be diverted, so that the call still runs when all servers are slow.
    if (call.attempts == 1 && choice.hasAlternative)
        request.set(Wire::mayDivertHeader, "1");
    if (call.isAtMostOnce)
        request.set(Wire::atMostOnceHeader, "1");
    if (!call.body.isBuffered())
        request.set(Wire::holdBodyHeader, "1");
    return {attempt, choice.guard, choice.guardIncarnation, call.deadline};
}

void Entry::giveUp(Call& call, const std::string& reason)
{
    if (call.mayHaveRun)
        return sendUnknown(call, reason);
    recordOutcome(call, AtMostOnce::ClaimState::NotRun);
    context_.metrics.add(fmt::format("balsam_entry_not_run_total{{reason=\"{}\"}}", reason));
    sendNotRun(call.response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, reason, call.retryAfter, !call.body.isBuffered());
}

void Entry::sendUnknown(Call& call, const std::string& reason)
{
    recordOutcome(call, AtMostOnce::ClaimState::Unknown);
    context_.metrics.add("balsam_entry_unknown_total");
    call.response.set(Wire::outcomeHeader, std::string(Support::nameOf(Wire::outcomeNames, Wire::Outcome::Unknown)));
    call.response.set(Wire::reasonHeader, reason);
    call.response.setKeepAlive(false);
    Support::sendText(call.response, HTTPResponse::HTTP_GATEWAY_TIMEOUT, "text/plain", "outcome unknown: " + reason + "\n");
}

Entry::Step Entry::onVerdict(Call& call, const AttemptRecovery& recovery, std::error_code error)
{
    context_.metrics.add("balsam_entry_recovered_total");
    if (recovery.verdict() == AtMostOnce::Verdict::Deliver) {
        call.response.set(Wire::outcomeHeader, std::string(Support::nameOf(Wire::outcomeNames, Wire::Outcome::Ran)));
        call.response.set(Wire::callHeader, call.callId);
        recordOutcome(call, AtMostOnce::ClaimState::Done, recovery.retainedResponse());
        sendRetained(recovery.retainedResponse(), call.response);
        return Step::Finished;
    }
    if (recovery.verdict() == AtMostOnce::Verdict::Retry) {
        call.lastRefusal = "unreachable";
        call.mayHaveRun = call.mayHaveRun || !call.isAtMostOnce;
        if (!call.body.isConsumed())
            return Step::Retry;
        giveUp(call, call.lastRefusal);
        return Step::Finished;
    }
    sendUnknown(call, error.message());
    return Step::Finished;
}

Entry::Step Entry::onError(Call& call, std::error_code error, AttemptRecovery& recovery)
{
    if (error == ExchangeError::CallerLeft || error == ExchangeError::RequestTruncated)
        return Step::Finished;
    call.lastFailure = error == ExchangeError::Unreachable ? FailureKind::ServerUnavailable : FailureKind::MayHaveRun;
    if (error == ExchangeError::Unreachable) {
        call.lastRefusal = "unreachable";
        return Step::Retry;
    }
    if (call.isAtMostOnce)
        recovery.queryUntilResolved();
    if (call.isAtMostOnce || error == ExchangeError::StoppedByCheck)
        return onVerdict(call, recovery, error);
    call.mayHaveRun = true;
    if (!call.body.isConsumed() && error != ExchangeError::TimedOut)
        return Step::Retry;
    sendUnknown(call, error.message());
    return Step::Finished;
}

// The guard retains short responses of at-most-once work, so that a response truncated in transit can be fetched again.
// For this the response is read completely before its head is sent to the caller.
Entry::Step Entry::deliver(Call& call, Exchange& exchange, const HTTPResponse& guardResponse, AttemptRecovery& recovery)
{
    call.response.set(Wire::callHeader, call.callId);
    call.response.set(Wire::serverHeader, guardResponse.get(Wire::serverHeader, ""));
    if (!call.isAtMostOnce) {
        call.response.set(Wire::outcomeHeader, outcomeOf(guardResponse));
        relayResponse(exchange, guardResponse, call.request, call.response);
        return Step::Finished;
    }
    ResponseBuffer buffer(guardResponse, call.request, call.response, AtMostOnce::AttemptTableOptions().maximumResponseBytes);
    call.response.set(Wire::outcomeHeader, outcomeOf(guardResponse));
    auto error = buffer.read(exchange);
    if (error && buffer.isBuffered()) {
        recovery.queryUntilResolved();
        return onVerdict(call, recovery, error);
    }
    bool hasRun = !error && outcomeOf(guardResponse) == Support::nameOf(Wire::outcomeNames, Wire::Outcome::Ran);
    if (hasRun)
        recordOutcome(call, AtMostOnce::ClaimState::Done, buffer.isBuffered() ? std::optional(buffer.retainedResponse()) : std::nullopt);
    buffer.send(error);
    return Step::Finished;
}

Entry::Step Entry::onRefusal(Call& call, Exchange& exchange, const HTTPResponse& guardResponse, const RequestBody& body)
{
    call.lastRefusal = guardResponse.get(Wire::reasonHeader, "refused");
    auto stamp = Wire::parseLoadStamp(guardResponse.get(Wire::loadHeader, ""));
    call.retryAfter = stamp ? Duration(stamp->waitMicros) : Duration::zero();
    call.lastFailure = call.mayHaveRun ? FailureKind::MayHaveRun : failureOf(call.lastRefusal);
    context_.attemptPolicy.recordRefusal(monotonicNow(), policyCall(call), call.excluded.back(), call.lastRefusal, call.retryAfter);
    // Reads the short body so that the connection can be reused.
    exchange.relay(guardResponse, true, [](const char*, std::size_t) { return true; });
    if (!body.isConsumed())
        return Step::Retry;
    giveUp(call, call.lastRefusal);
    return Step::Finished;
}

Entry::Step Entry::attempt(Call& call, const Balance::Choice& choice)
{
    HTTPRequest request(call.request.getMethod(), call.request.getURI(), HTTPRequest::HTTP_1_1);
    AttemptRecovery recovery(context_, fillRequest(call, choice, request), call.isAtMostOnce);
    auto sentAt = monotonicNow();
    ExchangeOptions options{
        .target = choice.guard,
        .deadline = call.deadline,
        .expectsContinue = !call.body.isBuffered(),
    };
    // A keyed call continues if its caller disconnects, because the caller may ask for the response later.
    options.caller = call.keyed ? nullptr : &socketOf(call.request);
    options.checkDelay = recovery.nextCheck();
    options.check = [&] { return recovery.check(); };
    Exchange exchange(context_.pool, std::move(options));
    HTTPResponse guardResponse;
    auto error = exchange.start(request, call.body, guardResponse);

    Balance::Feedback feedback;
    feedback.latency = monotonicNow() - sentAt;
    feedback.startedAt = choice.chosenAt;
    feedback.route = call.route->name;
    feedback.stamp = Wire::parseLoadStamp(guardResponse.get(Wire::loadHeader, ""));
    bool isRefused = !error && outcomeOf(guardResponse) == Support::nameOf(Wire::outcomeNames, Wire::Outcome::NotRun);
    if (error)
        feedback.result = error == ExchangeError::Unreachable ? AttemptResult::Unreachable : error == ExchangeError::CallerLeft ? AttemptResult::Abandoned
                                                                                                                                : AttemptResult::Broken;
    else if (isRefused)
        feedback.result = AttemptResult::Refused;
    else
        feedback.result = guardResponse.getStatus() >= firstServerError ? AttemptResult::ServerError : AttemptResult::Answered;
    {
        std::lock_guard lock(context_.balancerMutex);
        context_.balancer.finished(monotonicNow(), choice.server, feedback);
    }
    call.trace.step("answer", "status={} outcome={} error=\"{}\" latency_us={}", static_cast<int>(guardResponse.getStatus()), outcomeOf(guardResponse), error ? error.message() : "", feedback.latency.count());
    if (error) {
        context_.pool.discard(choice.guard);
        return onError(call, error, recovery);
    }
    if (isRefused)
        return onRefusal(call, exchange, guardResponse, call.body);
    bool isUnknown = outcomeOf(guardResponse) == Support::nameOf(Wire::outcomeNames, Wire::Outcome::Unknown);
    if (isUnknown && !call.isAtMostOnce && !call.body.isConsumed()) {
        call.mayHaveRun = true;
        return onRefusal(call, exchange, guardResponse, call.body);
    }
    return deliver(call, exchange, guardResponse, recovery);
}

// Excludes servers that are known to refuse calls like this one. If this excludes all of them, the call is refused here.
bool Entry::mayAttempt(Call& call, Instant now)
{
    auto policy = policyCall(call);
    auto& attempts = context_.attemptPolicy;
    if (!attempts.mayAttempt(now, policy, call.attempts, call.lastFailure, call.retries)) {
        context_.metrics.add(fmt::format("balsam_entry_retries_denied_total{{service=\"{}\"}}", policy.service));
        return false;
    }
    auto refusingServers = attempts.refusingServers(now, policy);
    if (refusingServers.empty())
        return true;
    call.excluded.insert(call.excluded.end(), refusingServers.begin(), refusingServers.end());
    call.lastRefusal = std::string(Support::nameOf(Admission::refusalReasonNames, Admission::RefusalReason::Overloaded));
    context_.metrics.add(fmt::format("balsam_entry_steered_total{{service=\"{}\"}}", policy.service));
    return true;
}

PolicyCall Entry::policyCall(const Call& call)
{
    return {call.service->name, call.request.clientAddress().host().toString(), {call.depth, call.route->priority}, call.service->retryRatio};
}

void Entry::handle(HTTPServerRequest& request, HTTPServerResponse& response)
{
    InFlight::Scope scope(context_.inFlight);
    if (context_.isLeaving)
        response.setKeepAlive(false);
    Call call{.request = request, .response = response, .body = RequestBody(request)};
    if (!readCall(call))
        return;
    if (!claimKey(call))
        return;
    bool isNaive = context_.settings.isNaive || call.service->policy == Config::PolicyKind::Naive;
    while (true) {
        auto now = monotonicNow();
        if (call.attempts == maximumAttempts || now >= call.deadline) {
            giveUp(call, call.lastRefusal);
            break;
        }
        if (!isNaive && !mayAttempt(call, now)) {
            giveUp(call, call.lastRefusal);
            break;
        }
        std::optional<Balance::Choice> choice;
        {
            std::lock_guard lock(context_.balancerMutex);
            choice = context_.balancer.choose(now, call.service->name, isNaive, call.excluded);
            if (choice)
                context_.balancer.started(now, choice->server, call.route->name);
        }
        if (!choice) {
            giveUp(call, call.lastRefusal);
            break;
        }
        ++call.attempts;
        call.excluded.push_back(choice->server);
        if (attempt(call, *choice) == Step::Finished)
            break;
    }
    context_.metrics.observe(fmt::format("balsam_entry_call_ms{{route=\"{}\"}}", call.route->name), Support::toMillis(monotonicNow() - call.startedAt));
}

} // namespace balsamreel::Node
