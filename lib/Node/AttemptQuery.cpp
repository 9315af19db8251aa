#include "balsamreel/Node/AttemptQuery.h"

#include "balsamreel/Support/Http.h"
#include "balsamreel/Support/Numbers.h"
#include "balsamreel/Wire/Headers.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace balsamreel::Node {

using AtMostOnce::AttemptState;
using AtMostOnce::GuardReply;
using AtMostOnce::NoReply;
using AtMostOnce::QueryReply;
using AtMostOnce::Verdict;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Support::Duration;
using Support::monotonicNow;

namespace {

constexpr const char* stateQuery = "state";
constexpr const char* revokeQuery = "revoke";
constexpr Duration queryTimeout = std::chrono::milliseconds(250);
constexpr Duration maximumRemaining = std::chrono::hours(1);
constexpr std::size_t maximumReplyBytes = 128 * 1024;

std::int64_t numberOf(const std::string& text)
{
    return Support::parseNumber<std::int64_t>(text).value_or(0);
}

Poco::Timespan timespanOf(Duration duration)
{
    return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(duration.count()));
}

} // namespace

void handleAttemptQuery(std::mutex& mutex, AtMostOnce::AttemptTable& attempts, std::uint64_t incarnation, HTTPServerRequest& request, HTTPServerResponse& response)
{
    auto id = Wire::parseAttemptId(request.get(Wire::attemptHeader, ""));
    if (!id)
        return Support::sendText(response, HTTPResponse::HTTP_BAD_REQUEST, "text/plain", "malformed attempt\n");
    auto now = monotonicNow();
    auto remaining = std::clamp(Duration(numberOf(request.get(Wire::remainingHeader, ""))), Duration::zero(), maximumRemaining);
    bool isCurrentIncarnation = request.get(Wire::guardHeader, "") == std::to_string(incarnation);
    AttemptState state = AttemptState::Unseen;
    std::shared_ptr<const AtMostOnce::RetainedResponse> retainedResponse;
    if (isCurrentIncarnation) {
        std::lock_guard lock(mutex);
        bool isRevocation = request.get(Wire::queryHeader, "") == revokeQuery;
        state = isRevocation ? attempts.revoke(now, *id, now + remaining) : attempts.state(*id);
        retainedResponse = attempts.answer(*id);
    }
    response.set(Wire::guardHeader, std::to_string(incarnation));
    response.set(Wire::attemptHeader, id->text());
    response.set(Wire::attemptStateHeader, std::string(Support::nameOf(AtMostOnce::attemptStateNames, state)));
    response.setKeepAlive(false);
    if (retainedResponse) {
        response.set(Wire::retainedHeader, std::to_string(retainedResponse->status));
        for (const auto& [name, value] : retainedResponse->headers)
            response.add(name, value);
    }
    response.setContentLength64(retainedResponse ? static_cast<Poco::Int64>(retainedResponse->body.size()) : 0);
    auto& stream = response.send();
    if (retainedResponse)
        stream.write(retainedResponse->body.data(), static_cast<std::streamsize>(retainedResponse->body.size()));
}

QueryReply AttemptRecovery::exchange(bool isRevocation)
{
    try {
        Session session(attempt_.guard.host, attempt_.guard.port);
        session.setTimeout(timespanOf(queryTimeout), timespanOf(queryTimeout), timespanOf(queryTimeout));
        HTTPRequest request(HTTPRequest::HTTP_POST, "/balsam/attempt", HTTPRequest::HTTP_1_1);
        request.set(Wire::queryHeader, isRevocation ? revokeQuery : stateQuery);
        request.set(Wire::attemptHeader, attempt_.id.text());
        request.set(Wire::guardHeader, std::to_string(attempt_.guardIncarnation));
        request.set(Wire::remainingHeader, std::to_string((attempt_.deadline - monotonicNow()).count()));
        request.setContentLength64(0);
        session.sendRequest(request);
        HTTPResponse response;
        session.receiveResponse(response);
        std::string body;
        auto error = session.readBody(response, true, [&](const char* data, std::size_t size) {
            body.append(data, size);
            return body.size() <= maximumReplyBytes;
        });
        auto state = Support::valueOf(AtMostOnce::attemptStateNames, response.get(Wire::attemptStateHeader, ""));
        if (error || !state || response.get(Wire::attemptHeader, "") != attempt_.id.text())
            return NoReply();
        GuardReply reply{*state, response.get(Wire::guardHeader, "") == std::to_string(attempt_.guardIncarnation), response.has(Wire::retainedHeader)};
        if (!reply.hasResponse)
            return reply;
        retainedResponse_.status = static_cast<int>(numberOf(response.get(Wire::retainedHeader)));
        retainedResponse_.headers.clear();
        Poco::Net::MessageHeader headers;
        copyHeaders(response, headers);
        for (const auto& [name, value] : headers)
            retainedResponse_.headers.emplace_back(name, value);
        retainedResponse_.body = std::move(body);
        return reply;
    } catch (const Poco::Exception&) {
        return NoReply();
    }
}

void AttemptRecovery::query()
{
    bool isRevocation = resolver_.wantsRevocation(monotonicNow());
    context_.metrics.add("balsam_entry_queries_total");
    auto reply = exchange(isRevocation);
    verdict_ = resolver_.evaluate(monotonicNow(), reply);
}

std::optional<Duration> AttemptRecovery::check()
{
    query();
    if (verdict_ != Verdict::Pending)
        return std::nullopt;
    return resolver_.nextInterval();
}

Verdict AttemptRecovery::queryUntilResolved()
{
    resolver_.breakConnection(monotonicNow());
    while (verdict_ == Verdict::Pending) {
        query();
        if (verdict_ == Verdict::Pending)
            std::this_thread::sleep_for(resolver_.nextInterval());
    }
    return verdict_;
}

} // namespace balsamreel::Node
