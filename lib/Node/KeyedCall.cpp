#include "balsamreel/Node/KeyClaims.h"
#include "balsamreel/Node/ResponseBuffer.h"
#include "balsamreel/Support/Http.h"
#include "balsamreel/Wire/Headers.h"

#include <Poco/SHA1Engine.h>
#include <fmt/format.h>

#include <algorithm>

namespace balsamreel::Node {

using AtMostOnce::ClaimReply;
using AtMostOnce::ClaimResult;
using AtMostOnce::ClaimState;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Support::Duration;
using Support::Instant;
using Support::monotonicNow;

namespace {

constexpr std::size_t maximumIdempotencyKeyBytes = 255;

std::string digestOf(const std::string& text)
{
    Poco::SHA1Engine engine;
    engine.update(text);
    const auto& digest = engine.digest();
    return {digest.begin(), digest.end()};
}

std::uint64_t fingerprintOf(const HTTPServerRequest& request, const RequestBody& body)
{
    auto digest = digestOf(fmt::format("{} {} {}\n", request.getMethod(), request.getURI(), request.getContentLength64()) + body.prefix());
    std::uint64_t fingerprint = 0;
    std::copy_n(digest.data(), sizeof fingerprint, reinterpret_cast<char*>(&fingerprint));
    return fingerprint;
}

std::string outcomeName(Wire::Outcome outcome)
{
    return std::string(Support::nameOf(Wire::outcomeNames, outcome));
}

std::size_t bytesOf(const AtMostOnce::RetainedResponse& retainedResponse)
{
    auto bytes = retainedResponse.body.size();
    for (const auto& [name, value] : retainedResponse.headers)
        bytes += name.size() + value.size();
    return bytes;
}

void sendOutcome(HTTPServerResponse& response, Wire::Outcome outcome, HTTPResponse::HTTPStatus status, const std::string& reason)
{
    response.set(Wire::outcomeHeader, outcomeName(outcome));
    response.set(Wire::reasonHeader, reason);
    if (outcome == Wire::Outcome::InProgress)
        response.set("Retry-After", "1");
    Support::sendText(response, status, "text/plain", outcomeName(outcome) + ": " + reason + "\n");
}

} // namespace

KeyedCall::~KeyedCall()
{
    if (completion_)
        claims_.complete(*completion_);
}

void KeyedCall::setOutcome(ClaimState state, std::optional<AtMostOnce::RetainedResponse> retainedResponse)
{
    if (!completion_)
        return;
    completion_->state = state;
    completion_->answer = retainedResponse && bytesOf(*retainedResponse) <= AtMostOnce::maximumClaimResponseBytes ? std::move(retainedResponse) : std::nullopt;
}

bool KeyedCall::claim(HTTPServerRequest& request, HTTPServerResponse& response, const RequestBody& body, const std::string& route, Instant deadline)
{
    auto key = request.get(Wire::idempotencyKeyHeader, "");
    if (key.empty() || key.size() > maximumIdempotencyKeyBytes) {
        sendNotRun(response, HTTPResponse::HTTP_BAD_REQUEST, "malformed-key", Duration::zero(), !body.isBuffered());
        return false;
    }
    AtMostOnce::ClaimRequest claim{digestOf(route + "\n" + key), {context_.attemptIncarnation, context_.nextAttempt++}, fingerprintOf(request, body)};
    claim.deadline = Support::wallMicros() + (deadline - monotonicNow()).count();
    completion_ = AtMostOnce::Completion{claim.key, claim.token, ClaimState::NotRun, std::nullopt};
    auto reply = claims_.claim(claim, deadline);
    context_.metrics.add(fmt::format("balsam_claims_total{{result=\"{}\"}}", Support::nameOf(AtMostOnce::claimResultNames, reply.result)));
    if (reply.result == ClaimResult::Owned) {
        completion_->state = ClaimState::Unknown;
        return true;
    }
    // An Unavailable claim may still reach the store, so it is completed as NotRun. For the other results there is no
    // claim to complete.
    if (reply.result != ClaimResult::Unavailable)
        completion_.reset();
    return respond(reply, !body.isBuffered(), response);
}

bool KeyedCall::respond(const ClaimReply& reply, bool isBodyUnread, HTTPServerResponse& response)
{
    if (isBodyUnread)
        response.setKeepAlive(false);
    std::string reason(Support::nameOf(AtMostOnce::claimResultNames, reply.result));
    switch (reply.result) {
    case ClaimResult::Done:
        response.set(Wire::replayedHeader, "1");
        if (!reply.answer) {
            sendOutcome(response, Wire::Outcome::Ran, HTTPResponse::HTTP_CONFLICT, "answer-not-kept");
            break;
        }
        response.set(Wire::outcomeHeader, outcomeName(Wire::Outcome::Ran));
        sendRetained(*reply.answer, response);
        break;
    case ClaimResult::InProgress:
        sendOutcome(response, Wire::Outcome::InProgress, HTTPResponse::HTTP_CONFLICT, reason);
        break;
    case ClaimResult::Unknown:
        sendOutcome(response, Wire::Outcome::Unknown, HTTPResponse::HTTP_GATEWAY_TIMEOUT, "earlier-call-unknown");
        break;
    case ClaimResult::Mismatch:
        sendNotRun(response, HTTPResponse::HTTP_UNPROCESSABLE_ENTITY, reason, Duration::zero(), isBodyUnread);
        break;
    case ClaimResult::Owned:
    case ClaimResult::Full:
    case ClaimResult::Unavailable:
        sendNotRun(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, reason, Duration::zero(), isBodyUnread);
        break;
    }
    return false;
}

} // namespace balsamreel::Node
