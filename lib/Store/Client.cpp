#include "balsamreel/Store/Client.h"

#include "balsamreel/Support/Http.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <charconv>

namespace balsamreel::Store {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

// A listing may be larger than one value.
constexpr std::size_t maximumAnswerBytes = 8 * maximumValueBytes;

std::string encodeKey(const std::string& key)
{
    std::string encoded;
    Poco::URI::encode(key, "?#&=+%", encoded);
    return encoded;
}

std::uint64_t parseTag(const std::string& tag)
{
    std::uint64_t version = 0;
    if (tag.size() > 2)
        std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    return version;
}

Poco::Timespan timespanOf(Support::Duration duration)
{
    return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(duration.count()));
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

struct Client::Reply {
    std::string body;
    std::uint64_t version = 0;
};

Client::Client(Support::Endpoint store, Support::Duration timeout)
    : store_(std::move(store))
    , timeout_(timeout)
{
}

std::error_code Client::call(const std::string& method, const std::string& uri, const std::string& body, const Precondition& precondition, Support::Duration timeout, Reply& reply)
{
    ++calls_;
    bool isUpdate = method == HTTPRequest::HTTP_PUT || method == HTTPRequest::HTTP_DELETE;
    bool wasSent = false;
    try {
        Poco::Net::HTTPClientSession session(store_.host, store_.port);
        session.setTimeout(timespanOf(timeout_), timespanOf(timeout_), timespanOf(timeout));
        HTTPRequest request(method, uri, HTTPRequest::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        std::visit(PreconditionWriter{request}, precondition);
        wasSent = true;
        session.sendRequest(request) << body;
        HTTPResponse response;
        auto& stream = session.receiveResponse(response);
        if (!Support::readBody(stream, maximumAnswerBytes, reply.body))
            return StoreError::Malformed;
        auto length = response.getContentLength64();
        if (length >= 0 && static_cast<std::size_t>(length) != reply.body.size())
            return isUpdate ? StoreError::OutcomeUnknown : StoreError::Unavailable;
        reply.version = parseTag(response.get("ETag", ""));
        return errorOfStatus(response.getStatus());
    } catch (const Poco::Net::ConnectionRefusedException&) {
        return StoreError::Unavailable;
    } catch (const Poco::Exception&) {
        return isUpdate && wasSent ? StoreError::OutcomeUnknown : StoreError::Unavailable;
    }
}

std::error_code Client::get(const std::string& key, Object& object)
{
    Reply reply;
    if (auto error = call(HTTPRequest::HTTP_GET, "/v1/objects/" + encodeKey(key), {}, Always(), timeout_, reply))
        return error;
    object.value = std::move(reply.body);
    object.version = reply.version;
    return {};
}

std::error_code Client::list(const std::string& prefix, Listing& listing)
{
    Reply reply;
    if (auto error = call(HTTPRequest::HTTP_GET, "/v1/list?prefix=" + encodeKey(prefix), {}, Always(), timeout_, reply))
        return error;
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
    if (auto error = call(HTTPRequest::HTTP_PUT, "/v1/objects/" + encodeKey(key), value, precondition, timeout_, reply))
        return error;
    version = reply.version;
    return {};
}

std::error_code Client::remove(const std::string& key, const Precondition& precondition)
{
    Reply reply;
    return call(HTTPRequest::HTTP_DELETE, "/v1/objects/" + encodeKey(key), {}, precondition, timeout_, reply);
}

std::error_code Client::watch(const std::string& prefix, std::uint64_t revision, Support::Duration wait, std::uint64_t& newest)
{
    Reply reply;
    auto waitMillis = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    auto uri = fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", encodeKey(prefix), revision, waitMillis);
    if (auto error = call(HTTPRequest::HTTP_GET, uri, {}, Always(), wait + timeout_, reply))
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
