#include "balsamreel/Standins/FakeStore.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <thread>

namespace balsamreel::Standins {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Support::queryValue;
using Support::sendText;

namespace {

constexpr std::size_t maximumValueBytes = 1024 * 1024;
constexpr const char* objectsPath = "/v1/objects/";
constexpr const char* jsonType = "application/json";

std::string decode(const std::string& text)
{
    std::string decoded;
    Poco::URI::decode(text, decoded);
    return decoded;
}

std::string entityTagOf(std::uint64_t version)
{
    return fmt::format("\"{}\"", version);
}

std::string jsonText(const Poco::JSON::Object& object)
{
    std::ostringstream stream;
    object.stringify(stream);
    return std::move(stream).str();
}

template <typename Number>
Number numberParameter(const std::string& uri, const std::string& name, Number fallback)
{
    std::istringstream stream(queryValue(uri, name));
    Number number{};
    return stream >> number ? number : fallback;
}

void dropConnection(HTTPServerRequest& request)
{
    static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
    throw Poco::Net::NetException("response dropped by fault injection");
}

} // namespace

FakeStore::FakeStore(std::uint64_t seed)
    : random_(seed)
{
}

bool FakeStore::shouldLoseResponse()
{
    return faults_.responseLossShare > 0 && random_.fraction() < faults_.responseLossShare;
}

void FakeStore::handle(HTTPServerRequest& request, HTTPServerResponse& response)
{
    auto path = Support::pathOf(request.getURI());
    if (path == "/v1/faults")
        return handleFaults(request, response);
    if (path == "/v1/stats")
        return handleStats(response);

    StoreFaults faults;
    {
        std::lock_guard lock(mutex_);
        faults = faults_;
        ++callCounts_[path.starts_with(objectsPath) ? request.getMethod() : path.substr(path.rfind('/') + 1)];
    }
    if (faults.delayMillis > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(faults.delayMillis));
    if (faults.isDown)
        return sendText(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain", "down\n");
    if (path == "/v1/list")
        return handleList(request, response);
    if (path == "/v1/watch")
        return handleWatch(request, response);
    if (path.starts_with(objectsPath))
        return handleObject(request, response, decode(path.substr(std::string(objectsPath).size())));
    sendText(response, HTTPResponse::HTTP_NOT_FOUND, "text/plain", "no such path\n");
}

bool FakeStore::preconditionHolds(const HTTPServerRequest& request, const std::string& key) const
{
    auto found = objects_.find(key);
    if (request.get("If-None-Match", "") == "*")
        return found == objects_.end();
    auto expected = request.get("If-Match", "");
    return expected.empty() || (found != objects_.end() && entityTagOf(found->second.version) == expected);
}

void FakeStore::handleObject(HTTPServerRequest& request, HTTPServerResponse& response, const std::string& key)
{
    if (request.getMethod() != Poco::Net::HTTPRequest::HTTP_GET)
        return handleUpdate(request, response, key);
    std::string value;
    {
        std::lock_guard lock(mutex_);
        auto found = objects_.find(key);
        if (found == objects_.end())
            return sendText(response, HTTPResponse::HTTP_NOT_FOUND, "text/plain", "no such object\n");
        value = found->second.value;
        response.set("ETag", entityTagOf(found->second.version));
    }
    sendText(response, HTTPResponse::HTTP_OK, "application/octet-stream", value);
}

void FakeStore::handleUpdate(HTTPServerRequest& request, HTTPServerResponse& response, const std::string& key)
{
    std::string value;
    if (!Support::readBody(request.stream(), maximumValueBytes, value))
        return sendText(response, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "text/plain", "value too large\n");
    bool isPut = request.getMethod() == Poco::Net::HTTPRequest::HTTP_PUT;
    {
        std::lock_guard lock(mutex_);
        if (!preconditionHolds(request, key))
            return sendText(response, HTTPResponse::HTTP_PRECONDITION_FAILED, "text/plain", "version differs\n");
        if (!isPut && !objects_.contains(key))
            return sendText(response, HTTPResponse::HTTP_NOT_FOUND, "text/plain", "no such object\n");
        ++revision_;
        if (isPut) {
            objects_[key] = {std::move(value), revision_};
            response.set("ETag", entityTagOf(revision_));
        } else {
            objects_.erase(key);
            removals_[key] = revision_;
        }
        changed_.notify_all();
        if (shouldLoseResponse())
            return dropConnection(request);
    }
    sendText(response, HTTPResponse::HTTP_OK, "text/plain", "ok\n");
}

void FakeStore::handleList(HTTPServerRequest& request, HTTPServerResponse& response)
{
    auto prefix = queryValue(request.getURI(), "prefix");
    Poco::JSON::Object root;
    {
        std::lock_guard lock(mutex_);
        Poco::JSON::Array::Ptr objects = new Poco::JSON::Array;
        for (auto current = objects_.lower_bound(prefix); current != objects_.end() && current->first.starts_with(prefix); ++current) {
            Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
            object->set("key", current->first);
            object->set("version", current->second.version);
            objects->add(object);
        }
        root.set("revision", revision_);
        root.set("objects", objects);
    }
    sendText(response, HTTPResponse::HTTP_OK, jsonType, jsonText(root));
}

std::uint64_t FakeStore::newestRevisionUnder(const std::string& prefix) const
{
    std::uint64_t newest = 0;
    for (auto current = objects_.lower_bound(prefix); current != objects_.end() && current->first.starts_with(prefix); ++current)
        newest = std::max(newest, current->second.version);
    for (auto current = removals_.lower_bound(prefix); current != removals_.end() && current->first.starts_with(prefix); ++current)
        newest = std::max(newest, current->second);
    return newest;
}

void FakeStore::handleWatch(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const auto& uri = request.getURI();
    auto prefix = queryValue(uri, "prefix");
    auto after = numberParameter<std::uint64_t>(uri, "after", 0);
    std::chrono::milliseconds wait(numberParameter<std::int64_t>(uri, "wait_ms", 0));
    Poco::JSON::Object root;
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, wait, [&] { return newestRevisionUnder(prefix) > after || faults_.isDown; });
        if (faults_.isDown) {
            lock.unlock();
            return sendText(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain", "down\n");
        }
        root.set("revision", std::max(after, newestRevisionUnder(prefix)));
    }
    sendText(response, HTTPResponse::HTTP_OK, jsonType, jsonText(root));
}

void FakeStore::handleFaults(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const auto& uri = request.getURI();
    std::lock_guard lock(mutex_);
    faults_.isDown = numberParameter<int>(uri, "down", faults_.isDown ? 1 : 0) != 0;
    faults_.delayMillis = numberParameter<int>(uri, "delay_ms", faults_.delayMillis);
    faults_.responseLossShare = numberParameter<double>(uri, "lose_answers", faults_.responseLossShare);
    changed_.notify_all();
    sendText(response, HTTPResponse::HTTP_OK, "text/plain", "ok\n");
}

void FakeStore::handleStats(HTTPServerResponse& response)
{
    Poco::JSON::Object root;
    {
        std::lock_guard lock(mutex_);
        for (const auto& [name, count] : callCounts_)
            root.set(name, count);
    }
    sendText(response, HTTPResponse::HTTP_OK, jsonType, jsonText(root));
}

} // namespace balsamreel::Standins
