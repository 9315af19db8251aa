#include "balsamreel/Store/Client.h"

#include "balsamreel/Support/HttpClient.h"
#include "balsamreel/Support/Random.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <charconv>

namespace balsamreel::Store {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Support::Duration;

namespace {

// A listing may be larger than the largest value.
constexpr std::size_t maximumResponseBytes = 8 * maximumValueBytes;
// Shorter than the idle timeout that servers commonly use.
constexpr Duration maximumIdleTime = std::chrono::seconds(5);
constexpr std::size_t maximumIdleConnections = 4;

const std::string noBody;
const Precondition unconditional = Always();

std::string encodeKey(const std::string& key)
{
    std::string encoded;
    Poco::URI::encode(key, "?#&=+%", encoded);
    return encoded;
}

std::uint64_t parseETag(const std::string& tag)
{
    std::uint64_t version = 0;
    if (tag.size() > 2)
        std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    return version;
}

Poco::Timespan timespanOf(Duration duration)
{
    return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(duration.count()));
}

// Reads a response body of bounded size. The deadline also applies to a store that sends the body very slowly, which does
// not trigger the socket timeout.
std::error_code readResponse(Support::HttpClientSession& session, const HTTPResponse& response, Support::Instant deadline, std::string& body)
{
    bool isLate = false;
    auto end = session.readBody(response, Support::responseHasBody(HTTPRequest::HTTP_GET, response.getStatus()), [&](const char* data, std::size_t size) {
        body.append(data, size);
        isLate = Support::monotonicNow() > deadline;
        return !isLate && body.size() <= maximumResponseBytes;
    });
    if (end == Support::BodyEnd::Complete)
        return {};
    return end == Support::BodyEnd::Truncated || isLate ? StoreError::Unavailable : StoreError::Malformed;
}

struct PreconditionWriter {
    HTTPRequest& request;
    void operator()(const IfAbsent&) const { request.set("If-None-Match", "*"); }
    void operator()(const IfVersion& precondition) const { request.set("If-Match", fmt::format("\"{}\"", precondition.version)); }
    void operator()(const Always&) const { }
};

std::error_code errorOfStatus(int status)
{
    if (status < HTTPResponse::HTTP_MULTIPLE_CHOICES)
        return {};
    switch (status) {
    case HTTPResponse::HTTP_NOT_FOUND:
        return StoreError::NotFound;
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
        return StoreError::VersionConflict;
    case HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE:
        return StoreError::TooLarge;
    default:
        return StoreError::Unavailable;
    }
}

} // namespace

struct Client::Request {
    std::string method;
    std::string uri;
    const std::string& body;
    const Precondition& precondition;
    Duration wait = Duration::zero(); ///< time for which the store may delay its response

    bool isUpdate() const { return method == HTTPRequest::HTTP_PUT || method == HTTPRequest::HTTP_DELETE; }
};

struct Client::Reply {
    std::string body;
    std::uint64_t version = 0;
};

struct Client::Connection {
    explicit Connection(const Support::Endpoint& store)
        : session(store.host, store.port)
    {
        session.setKeepAlive(true);
    }

    // An idle connection with readable data was closed by the store or holds an unexpected response.
    bool isStale(Support::Instant now) { return now - idleSince > maximumIdleTime || !session.connected() || session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ); }

    Support::HttpClientSession session;
    Support::Instant idleSince;
    bool isReused = false;
};

Client::Client(Support::Endpoint store, Duration timeout)
    : Client(std::move(store), ClientOptions{.timeout = timeout})
{
}

Client::Client(Support::Endpoint store, const ClientOptions& options)
    : store_(std::move(store))
    , options_(options)
    , budget_(options.callsPerSecond, options.burst)
    , breaker_(options.breaker, Support::randomSeed())
{
}

Client::~Client() = default;

bool Client::isBreakerTripped() const
{
    std::lock_guard lock(mutex_);
    return breaker_.state() != BreakerState::Closed;
}

std::error_code Client::admit()
{
    std::lock_guard lock(mutex_);
    auto now = Support::monotonicNow();
    // Checks the budget first, so that a call that the budget rejects does not use up a trial of the breaker.
    if (budget_.available(now) < 1)
        return StoreError::BudgetSpent;
    if (!breaker_.tryStartCall(now))
        return StoreError::Unavailable;
    budget_.tryConsume(now);
    return {};
}

std::error_code Client::reportToBreaker(std::error_code error)
{
    std::lock_guard lock(mutex_);
    bool isSuccess = error != StoreError::Unavailable && error != StoreError::OutcomeUnknown && error != StoreError::Malformed;
    breaker_.onResult(Support::monotonicNow(), isSuccess);
    return error;
}

std::unique_ptr<Client::Connection> Client::acquire()
{
    std::lock_guard lock(mutex_);
    auto now = Support::monotonicNow();
    while (!idle_.empty()) {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (connection->isStale(now))
            continue;
        connection->isReused = true;
        return connection;
    }
    return std::make_unique<Connection>(store_);
}

void Client::release(std::unique_ptr<Connection> connection)
{
    std::lock_guard lock(mutex_);
    connection->idleSince = Support::monotonicNow();
    if (idle_.size() < maximumIdleConnections)
        idle_.push_back(std::move(connection));
}

void Client::closeIdleConnections()
{
    std::lock_guard lock(mutex_);
    idle_.clear();
}

std::error_code Client::exchange(const Request& request, Connection& connection, Reply& reply)
{
    bool wasSent = false;
    auto failureError = [&] { return request.isUpdate() && wasSent ? StoreError::OutcomeUnknown : StoreError::Unavailable; };
    try {
        auto timeout = timespanOf(options_.timeout);
        auto deadline = Support::monotonicNow() + options_.timeout + request.wait;
        connection.session.setTimeout(timeout, timeout, timespanOf(options_.timeout + request.wait));
        // The session applies its timeouts to the socket only when it connects.
        if (connection.session.connected())
            connection.session.socket().setReceiveTimeout(timespanOf(options_.timeout + request.wait));
        HTTPRequest head(request.method, request.uri, HTTPRequest::HTTP_1_1);
        head.setKeepAlive(true);
        head.setContentLength(static_cast<std::streamsize>(request.body.size()));
        std::visit(PreconditionWriter{head}, request.precondition);
        // After a failure from here on, the store may have processed the update.
        wasSent = true;
        connection.session.sendRequest(head) << request.body << std::flush;
        HTTPResponse response;
        connection.session.receiveResponse(response);
        auto error = readResponse(connection.session, response, deadline, reply.body);
        if (error == StoreError::Unavailable)
            return failureError();
        if (error)
            return request.isUpdate() ? failureError() : StoreError::Malformed;
        reply.version = parseETag(response.get("ETag", ""));
        return errorOfStatus(response.getStatus());
    } catch (const Poco::Net::ConnectionRefusedException&) {
        return StoreError::Unavailable;
    } catch (const Poco::Exception&) {
        return failureError();
    }
}

std::error_code Client::call(const Request& request, Reply& reply)
{
    if (auto error = admit())
        return error;
    ++calls_;
    auto connection = acquire();
    auto error = exchange(request, *connection, reply);
    bool isBroken = error == StoreError::Unavailable || error == StoreError::OutcomeUnknown || error == StoreError::Malformed;
    if (!isBroken) {
        release(std::move(connection));
        return reportToBreaker({error});
    }
    // The other idle connections have been idle as long as this one, so they may be broken as well.
    closeIdleConnections();
    bool canRetry = connection->isReused && error == StoreError::Unavailable && !request.isUpdate() && request.wait == Duration::zero();
    reportToBreaker(error);
    if (!canRetry || admit())
        return error;
    ++calls_;
    reply = {};
    Connection fresh(store_);
    return reportToBreaker(exchange(request, fresh, reply));
}

std::error_code Client::get(const std::string& key, Object& object)
{
    Reply reply;
    if (auto error = call({HTTPRequest::HTTP_GET, "/v1/objects/" + encodeKey(key), noBody, unconditional}, reply))
        return error;
    object.value = std::move(reply.body);
    object.version = reply.version;
    return {};
}

std::error_code Client::list(const std::string& prefix, Listing& listing)
{
    Reply reply;
    if (auto error = call({HTTPRequest::HTTP_GET, "/v1/list?prefix=" + encodeKey(prefix), noBody, unconditional}, reply))
        return error;
    listing = {};
    try {
        auto root = Poco::JSON::Parser().parse(reply.body).extract<Poco::JSON::Object::Ptr>();
        listing.revision = root->getValue<Poco::UInt64>("revision");
        auto objects = root->getArray("objects");
        for (std::size_t index = 0; objects && index < objects->size(); ++index) {
            auto object = objects->getObject(static_cast<unsigned>(index));
            listing.entries.push_back({object->getValue<std::string>("key"), object->getValue<Poco::UInt64>("version")});
        }
    } catch (const Poco::Exception&) {
        return StoreError::Malformed;
    }
    return {};
}

std::error_code Client::put(const std::string& key, const std::string& value, const Precondition& precondition, std::uint64_t& version)
{
    if (value.size() > maximumValueBytes)
        return StoreError::TooLarge;
    Reply reply;
    if (auto error = call({HTTPRequest::HTTP_PUT, "/v1/objects/" + encodeKey(key), value, precondition}, reply))
        return error;
    version = reply.version;
    return {};
}

std::error_code Client::remove(const std::string& key, const Precondition& precondition)
{
    Reply reply;
    return call({HTTPRequest::HTTP_DELETE, "/v1/objects/" + encodeKey(key), noBody, precondition}, reply);
}

std::error_code Client::watch(const std::string& prefix, std::uint64_t revision, Support::Duration wait, std::uint64_t& newest)
{
    Reply reply;
    auto waitMillis = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    auto uri = fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", encodeKey(prefix), revision, waitMillis);
    if (auto error = call({HTTPRequest::HTTP_GET, uri, noBody, unconditional, wait}, reply))
        return error;
    try {
        auto root = Poco::JSON::Parser().parse(reply.body).extract<Poco::JSON::Object::Ptr>();
        newest = root->getValue<Poco::UInt64>("revision");
    } catch (const Poco::Exception&) {
        return StoreError::Malformed;
    }
    return {};
}

} // namespace balsamreel::Store
