#include "balsamreel/Node/Exchange.h"

#include "balsamreel/Support/Http.h"
#include "balsamreel/Wire/Headers.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace balsamreel::Node {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Support::Duration;
using Support::Instant;
using Support::monotonicNow;

namespace {

constexpr std::size_t bufferBytes = 32 * 1024;

constexpr std::array<std::string_view, 9> hopByHopHeaders{"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "proxy-authorization", "proxy-authenticate", "expect"};
constexpr std::string_view ownPrefix = "x-balsam-";

Poco::Timespan timespanOf(Duration duration)
{
    return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(std::max(Duration(1), duration).count()));
}

// True if the error means that the connection is open and no data has arrived.
bool isWouldBlock(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

Poco::Net::StreamSocket& socketOf(HTTPServerRequest& request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

// Uses a single non-blocking recv() because POCO's poll() opens and closes an epoll set on each call.
bool hasClosed(Poco::Net::StreamSocket& socket)
{
    char byte = 0;
    auto count = ::recv(socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && !isWouldBlock(errno));
}

void Session::connect(const Poco::Net::SocketAddress& address)
{
    HttpClientSession::connect(address);
    Support::setConnectionTimeouts(socket());
}

bool Session::isStale()
{
    if (!connected() || buffered() > 0)
        return true;
    char byte = 0;
    return ::recv(socket().impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || !isWouldBlock(errno);
}

std::error_code Session::readBody(const HTTPResponse& response, bool hasBody, const Sink& sink)
{
    switch (HttpClientSession::readBody(response, hasBody, sink)) {
    case Support::BodyEnd::Complete:
        return {};
    case Support::BodyEnd::Truncated:
        return ExchangeError::ResponseTruncated;
    case Support::BodyEnd::Stopped:
        return ExchangeError::CallerLeft;
    }
    return ExchangeError::ResponseTruncated;
}

std::unique_ptr<Session> ConnectionPool::open(const Support::Endpoint& endpoint) const
{
    auto session = std::make_unique<Session>(endpoint.host, endpoint.port);
    session->setKeepAlive(true);
    session->setTimeout(timespanOf(connectTimeout_), timespanOf(std::chrono::seconds(5)), timespanOf(std::chrono::seconds(5)));
    // The pool limits the idle time, so POCO must not reconnect on its own.
    session->setKeepAliveTimeout(Poco::Timespan(1, 0, 0, 0, 0));
    return session;
}

std::unique_ptr<Session> ConnectionPool::acquire(Instant now, const Support::Endpoint& endpoint)
{
    while (true) {
        std::unique_ptr<Session> session;
        {
            std::lock_guard lock(mutex_);
            auto found = idle_.find(endpoint);
            if (found == idle_.end() || found->second.empty())
                break;
            auto idle = std::move(found->second.back());
            found->second.pop_back();
            if (now - idle.since < maximumIdle)
                session = std::move(idle.session);
        }
        if (session && !session->isStale())
            return session;
    }
    return open(endpoint);
}

void ConnectionPool::release(Instant now, const Support::Endpoint& endpoint, std::unique_ptr<Session> session)
{
    if (session->isStale())
        return;
    std::lock_guard lock(mutex_);
    auto& idle = idle_[endpoint];
    if (idle.size() < maximumIdlePerEndpoint)
        idle.push_back({std::move(session), now});
}

void ConnectionPool::discard(const Support::Endpoint& endpoint)
{
    std::list<Idle> discarded;
    std::lock_guard lock(mutex_);
    auto found = idle_.find(endpoint);
    if (found != idle_.end())
        discarded.swap(found->second);
}

void ConnectionPool::tick(Instant now)
{
    std::lock_guard lock(mutex_);
    for (auto& [endpoint, idle] : idle_)
        idle.remove_if([&](const Idle& entry) { return now - entry.since >= maximumIdle; });
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t ConnectionPool::idleCount() const
{
    std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& [endpoint, idle] : idle_)
        count += idle.size();
    return count;
}

RequestBody::RequestBody(HTTPServerRequest& request)
    : request_(request)
{
}

bool RequestBody::isTruncated(std::uint64_t total) const
{
    if (request_.hasContentLength())
        return total != static_cast<std::uint64_t>(request_.getContentLength64());
    // POCO does not report whether a chunked body is complete. If the caller has disconnected, the body counts as
    // truncated; the caller could not receive the response in either case.
    return request_.getChunkedTransferEncoding() && hasClosed(socketOf(request_));
}

std::error_code RequestBody::readPrefix()
{
    if (!requestHasBody(request_)) {
        isBuffered_ = true;
        return {};
    }
    bool isKnownLong = request_.hasContentLength() && request_.getContentLength64() > static_cast<Poco::Int64>(maximumBufferedBytes);
    if (isKnownLong)
        return {};
    prefix_.resize(maximumBufferedBytes);
    request_.stream().read(prefix_.data(), static_cast<std::streamsize>(prefix_.size()));
    prefix_.resize(static_cast<std::size_t>(request_.stream().gcount()));
    isBuffered_ = prefix_.size() < maximumBufferedBytes || (request_.hasContentLength() && prefix_.size() == static_cast<std::size_t>(request_.getContentLength64()));
    if (isBuffered_ && isTruncated(prefix_.size()))
        return ExchangeError::RequestTruncated;
    return {};
}

void RequestBody::setFraming(HTTPRequest& request) const
{
    if (request_.hasContentLength() && !isBuffered_)
        request.setContentLength64(request_.getContentLength64());
    else if (isBuffered_)
        request.setContentLength64(static_cast<Poco::Int64>(prefix_.size()));
    else
        request.setChunkedTransferEncoding(true);
}

std::error_code RequestBody::writeTo(std::ostream& stream)
{
    stream.write(prefix_.data(), static_cast<std::streamsize>(prefix_.size()));
    if (isBuffered_)
        return {};
    isConsumed_ = true;
    std::uint64_t total = prefix_.size();
    std::vector<char> buffer(bufferBytes);
    auto& source = request_.stream();
    while (source.read(buffer.data(), static_cast<std::streamsize>(buffer.size())) || source.gcount() > 0) {
        total += static_cast<std::uint64_t>(source.gcount());
        if (!stream.write(buffer.data(), source.gcount()))
            return ExchangeError::NoResponse;
    }
    return isTruncated(total) ? make_error_code(ExchangeError::RequestTruncated) : std::error_code();
}

Exchange::~Exchange()
{
    // Closes a connection with an outstanding response, which makes the other end cancel the request.
    try {
        if (session_)
            session_->abort();
    } catch (const Poco::Exception&) {
        // A connection that was never opened, or is closed already, can't be shut down.
        session_.reset();
    }
}

void Exchange::setReceiveTimeout()
{
    // A response body that has begun may end after the deadline, as long as data keeps arriving.
    session_->socket().setReceiveTimeout(timespanOf(std::max(options_.bodyIdleTimeout, options_.deadline - monotonicNow())));
}

std::error_code Exchange::waitReadable()
{
    constexpr std::size_t targetIndex = 0;
    constexpr std::size_t callerIndex = 1;
    std::array<pollfd, 2> descriptors{};
    descriptors[targetIndex] = {session_->socket().impl()->sockfd(), POLLIN, 0};
    nfds_t watched = 1;
    if (options_.caller) {
        descriptors[callerIndex] = {options_.caller->impl()->sockfd(), POLLIN, 0};
        watched = 2;
    }
    bool mayBeStale = isReused_ && options_.reusedConnectionTimeout > Duration::zero();
    bool hasCheck = options_.check || mayBeStale;
    auto nextCheck = hasCheck ? monotonicNow() + (options_.check ? options_.checkDelay : options_.reusedConnectionTimeout) : options_.deadline;
    while (true) {
        auto now = monotonicNow();
        if (now >= options_.deadline)
            return ExchangeError::TimedOut;
        auto left = std::chrono::ceil<std::chrono::milliseconds>(std::min(options_.deadline, nextCheck) - now);
        int ready = left > left.zero() ? ::poll(descriptors.data(), watched, static_cast<int>(left.count())) : 0;
        if (ready <= 0 && hasCheck && monotonicNow() >= nextCheck) {
            auto interval = options_.check ? options_.check() : std::nullopt;
            if (!interval)
                return ExchangeError::StoppedByCheck;
            nextCheck = monotonicNow() + *interval;
        }
        if (ready <= 0)
            continue;
        if (descriptors[targetIndex].revents != 0)
            return {};
        if (hasClosed(*options_.caller))
            return ExchangeError::CallerLeft;
        // The caller has already sent its next request, so its socket stays readable and can't show a disconnect any more.
        watched = 1;
    }
}

std::error_code Exchange::sendAndWait(HTTPRequest& request, RequestBody& body, HTTPResponse& response)
{
    auto& stream = session_->sendRequest(request);
    wasSent_ = true;
    if (!options_.expectsContinue) {
        if (auto error = body.writeTo(stream))
            return error;
    }
    if (options_.expectsContinue)
        stream.flush();
    else
        session_->flushRequest();
    if (auto error = waitReadable())
        return error;
    setReceiveTimeout();
    if (options_.expectsContinue && session_->peekResponse(response)) {
        if (auto error = body.writeTo(stream))
            return error;
        session_->flushRequest();
        if (auto error = waitReadable())
            return error;
    }
    session_->receiveResponse(response);
    return {};
}

std::error_code Exchange::start(HTTPRequest& request, RequestBody& body, HTTPResponse& response)
{
    auto now = monotonicNow();
    session_ = options_.isFreshConnection ? pool_.open(options_.target) : pool_.acquire(now, options_.target);
    isReused_ = session_->connected();
    body.setFraming(request);
    try {
        return sendAndWait(request, body, response);
    } catch (const Poco::TimeoutException&) {
        return wasSent_ ? ExchangeError::TimedOut : ExchangeError::Unreachable;
    } catch (const Poco::Exception&) {
        return wasSent_ ? ExchangeError::NoResponse : ExchangeError::Unreachable;
    }
}

std::error_code Exchange::relay(const HTTPResponse& response, bool hasBody, const Session::Sink& sink)
{
    if (auto error = session_->readBody(response, hasBody, sink))
        return error;
    bool endsWithConnection = hasBody && !response.getChunkedTransferEncoding() && !response.hasContentLength();
    if (response.getKeepAlive() && !endsWithConnection)
        pool_.release(monotonicNow(), options_.target, std::move(session_));
    return {};
}

void copyHeaders(const Poco::Net::MessageHeader& from, Poco::Net::MessageHeader& to)
{
    for (const auto& [name, value] : from) {
        auto lower = Poco::toLower(name);
        bool isHop = std::ranges::find(hopByHopHeaders, lower) != hopByHopHeaders.end();
        if (isHop || lower.starts_with(ownPrefix) || lower == "content-length")
            continue;
        to.add(name, value);
    }
}

void sendNotRun(HTTPServerResponse& response, int status, const std::string& reason, Duration retryAfter, bool isBodyUnread)
{
    response.set(Wire::outcomeHeader, std::string(Support::nameOf(Wire::outcomeNames, Wire::Outcome::NotRun)));
    response.set(Wire::reasonHeader, reason);
    auto seconds = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(retryAfter).count());
    response.set("Retry-After", std::to_string(seconds));
    if (isBodyUnread)
        response.setKeepAlive(false);
    Support::sendText(response, status, "text/plain", "not run: " + reason + "\n");
}

bool requestHasBody(const HTTPServerRequest& request)
{
    return request.getChunkedTransferEncoding() || (request.hasContentLength() && request.getContentLength64() > 0);
}

std::error_code relayResponse(Exchange& exchange, const HTTPResponse& targetResponse, HTTPServerRequest& request, HTTPServerResponse& response, const Session::Sink& copy)
{
    response.setStatusAndReason(targetResponse.getStatus(), targetResponse.getReason());
    // The Date header of the server replaces the one that this process has set.
    if (targetResponse.has("Date"))
        response.erase("Date");
    copyHeaders(targetResponse, response);
    bool hasBody = Support::responseHasBody(request.getMethod(), targetResponse.getStatus());
    if (targetResponse.hasContentLength())
        response.setContentLength64(targetResponse.getContentLength64());
    else if (hasBody)
        response.setChunkedTransferEncoding(true);
    auto& stream = response.send();
    auto error = exchange.relay(targetResponse, hasBody, [&](const char* data, std::size_t size) {
        if (copy)
            copy(data, size);
        return static_cast<bool>(stream.write(data, static_cast<std::streamsize>(size)));
    });
    // The head has been sent already, so only closing the connection tells the caller that the body is truncated.
    if (error)
        socketOf(request).shutdown();
    else
        stream.flush();
    return error;
}

} // namespace balsamreel::Node
