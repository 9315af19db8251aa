#include "balsamreel/Node/KeyClaims.h"

#include "balsamreel/Support/Http.h"
#include "balsamreel/Wire/Headers.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>

namespace balsamreel::Node {

using AtMostOnce::ClaimReply;
using AtMostOnce::ClaimResult;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Store::StoreError;
using Support::Duration;
using Support::Instant;
using Support::monotonicNow;
using Support::wallMicros;

namespace {

constexpr const char* claimKind = "claim";
constexpr const char* completionKind = "claim-completion";
constexpr std::size_t maximumBodyBytes = 8192;
constexpr std::size_t homeWorkers = 4;
constexpr std::size_t maximumCompletions = 10'000;
// Limits the writes of all homes together to (shards / interval) per second, regardless of the number of nodes.
constexpr Duration stepInterval = std::chrono::milliseconds(250);
// While the store is unavailable, each shard with work queries it once per this interval.
constexpr Duration outageInterval = std::chrono::milliseconds(1000);
constexpr Duration refreshInterval = std::chrono::milliseconds(500);
constexpr Duration storeTimeout = std::chrono::milliseconds(1000);
constexpr Duration homeTimeout = std::chrono::milliseconds(1500);
constexpr Duration maximumClaimWait = std::chrono::seconds(3);

Poco::Timespan timespanOf(Duration duration)
{
    return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(std::max(Duration(1000), duration).count()));
}

} // namespace

KeyClaims::KeyClaims(Context& context, Members members)
    : context_(context)
    , members_(std::move(members))
{
    if (context.settings.store)
        store_.emplace(*context.settings.store, storeTimeout);
}

KeyClaims::~KeyClaims()
{
    {
        std::lock_guard lock(mutex_);
        isEnding_ = true;
    }
    changed_.notify_all();
    for (auto& thread : threads_)
        thread.join();
}

void KeyClaims::start()
{
    refreshHomes();
    for (std::size_t worker = 0; worker < homeWorkers; ++worker)
        threads_.emplace_back([this, worker] { runShards(worker); });
    threads_.emplace_back([this] { runCompletions(); });
}

std::string KeyClaims::objectKey(std::size_t shard) const
{
    // Not below the deployment's own prefix, so that watches of the configuration do not see claims.
    return fmt::format("{}.claims/{:02}", context_.settings.deployment, shard);
}

void KeyClaims::refreshHomes()
{
    std::vector<std::string> names;
    std::vector<Support::Endpoint> peers;
    for (const auto& member : members_()) {
        bool isLive = member.state == Wire::MemberState::Alive || member.state == Wire::MemberState::Suspect;
        if (!isLive)
            continue;
        names.push_back(member.node);
        peers.push_back(member.peer);
    }
    std::lock_guard lock(mutex_);
    for (std::size_t shard = 0; shard < homes_.size(); ++shard) {
        homes_[shard].reset();
        if (names.empty())
            continue;
        auto home = AtMostOnce::homeOf(shard, names);
        if (names[home] != context_.settings.node)
            homes_[shard] = peers[home];
    }
}

std::optional<Support::Endpoint> KeyClaims::remoteHome(std::size_t shard) const
{
    std::lock_guard lock(mutex_);
    return homes_[shard];
}

std::optional<std::string> KeyClaims::post(const Support::Endpoint& home, const char* kind, const std::string& body, Duration timeout)
{
    try {
        Session session(home.host, home.port);
        session.setTimeout(timespanOf(timeout), timespanOf(timeout), timespanOf(timeout));
        HTTPRequest request(HTTPRequest::HTTP_POST, "/balsam/claim", HTTPRequest::HTTP_1_1);
        request.set(Wire::queryHeader, kind);
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        HTTPResponse response;
        session.receiveResponse(response);
        std::string reply;
        auto error = session.readBody(response, true, [&](const char* data, std::size_t size) {
            reply.append(data, size);
            return reply.size() <= maximumBodyBytes;
        });
        if (error || response.getStatus() != HTTPResponse::HTTP_OK)
            return std::nullopt;
        return reply;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

ClaimReply KeyClaims::claim(const AtMostOnce::ClaimRequest& request, Instant deadline)
{
    if (!store_)
        return {ClaimResult::Unavailable, std::nullopt};
    deadline = std::min(deadline, monotonicNow() + maximumClaimWait);
    if (auto home = remoteHome(AtMostOnce::shardOf(request.key))) {
        auto wait = std::min(homeTimeout, deadline - monotonicNow());
        auto body = post(*home, claimKind, AtMostOnce::encodeRequest(request), wait);
        auto reply = body ? AtMostOnce::decodeReply(*body) : std::nullopt;
        if (reply)
            return *reply;
        context_.metrics.add("balsam_claims_home_failed_total");
    }
    return claimLocally(request, deadline);
}

ClaimReply KeyClaims::claimLocally(const AtMostOnce::ClaimRequest& request, Instant deadline)
{
    std::unique_lock lock(mutex_);
    Waiter waiter;
    auto id = nextRequest_++;
    waiters_[id] = &waiter;
    auto& shard = shards_[AtMostOnce::shardOf(request.key)];
    shard.claims.begin(id, request);
    resolve(shard);
    changed_.notify_all();
    waiter.resolved.wait_until(lock, deadline, [&] { return waiter.reply.has_value() || isEnding_; });
    waiters_.erase(id);
    return waiter.reply.value_or(ClaimReply());
}

void KeyClaims::complete(const AtMostOnce::Completion& completion)
{
    std::lock_guard lock(mutex_);
    if (completions_.size() >= maximumCompletions) {
        context_.metrics.add("balsam_claims_completions_dropped_total");
        return;
    }
    completions_.push_back(completion);
    changed_.notify_all();
}

void KeyClaims::runCompletions()
{
    auto nextRefresh = monotonicNow();
    std::unique_lock lock(mutex_);
    while (!isEnding_) {
        changed_.wait_for(lock, refreshInterval, [&] { return isEnding_ || !completions_.empty(); });
        if (monotonicNow() >= nextRefresh) {
            lock.unlock();
            refreshHomes();
            lock.lock();
            nextRefresh = monotonicNow() + refreshInterval;
        }
        if (completions_.empty())
            continue;
        auto completion = std::move(completions_.front());
        completions_.pop_front();
        auto shard = AtMostOnce::shardOf(completion.key);
        auto home = homes_[shard];
        lock.unlock();
        bool isReported = home && post(*home, completionKind, AtMostOnce::encodeCompletion(completion), homeTimeout);
        lock.lock();
        if (!isReported)
            shards_[shard].claims.complete(completion);
        resolve(shards_[shard]);
        changed_.notify_all();
    }
}

void KeyClaims::handle(HTTPServerRequest& request, HTTPServerResponse& response)
{
    std::string body;
    bool isRead = Support::readBody(request.stream(), maximumBodyBytes, body);
    response.setKeepAlive(false);
    auto kind = request.get(Wire::queryHeader, "");
    if (isRead && kind == claimKind) {
        if (auto claim = AtMostOnce::decodeRequest(body))
            return Support::sendText(response, HTTPResponse::HTTP_OK, "application/octet-stream", AtMostOnce::encodeReply(claimLocally(*claim, monotonicNow() + homeTimeout)));
    }
    if (isRead && kind == completionKind) {
        if (auto completion = AtMostOnce::decodeCompletion(body)) {
            std::lock_guard lock(mutex_);
            auto& shard = shards_[AtMostOnce::shardOf(completion->key)];
            shard.claims.complete(*completion);
            resolve(shard);
            changed_.notify_all();
            return Support::sendText(response, HTTPResponse::HTTP_OK, "text/plain", "ok\n");
        }
    }
    Support::sendText(response, HTTPResponse::HTTP_BAD_REQUEST, "text/plain", "malformed\n");
}

void KeyClaims::resolve(Shard& shard)
{
    for (auto& resolution : shard.claims.takeResolutions()) {
        auto waiter = waiters_.find(resolution.request);
        if (waiter == waiters_.end())
            continue;
        waiter->second->reply = std::move(resolution.reply);
        waiter->second->resolved.notify_one();
    }
}

void KeyClaims::load(std::size_t index, std::unique_lock<std::mutex>& lock)
{
    lock.unlock();
    Store::Object object;
    auto error = store_->get(objectKey(index), object);
    lock.lock();
    auto& claims = shards_[index].claims;
    bool hasFailed = error && error != StoreError::NotFound;
    if (hasFailed)
        shards_[index].nextStep = monotonicNow() + outageInterval;
    if (error == StoreError::NotFound)
        claims.loadedNone();
    else if (error)
        claims.unavailable();
    else
        claims.loaded(object.value, object.version);
}

void KeyClaims::write(std::size_t index, const AtMostOnce::Write& update, std::unique_lock<std::mutex>& lock)
{
    lock.unlock();
    std::uint64_t version = 0;
    auto precondition = update.version ? Store::Precondition(Store::IfVersion{*update.version}) : Store::Precondition(Store::IfAbsent());
    auto error = store_->put(objectKey(index), update.value, precondition, version);
    lock.lock();
    context_.metrics.add("balsam_claims_writes_total");
    auto& claims = shards_[index].claims;
    if (!error)
        claims.written(version);
    else if (error == StoreError::VersionConflict)
        claims.conflicted();
    else
        claims.writeUnknown();
}

void KeyClaims::step(std::size_t index, std::unique_lock<std::mutex>& lock)
{
    auto& shard = shards_[index];
    auto next = shard.claims.next(wallMicros());
    if (std::holds_alternative<AtMostOnce::Load>(next)) {
        load(index, lock);
    } else if (const auto* update = std::get_if<AtMostOnce::Write>(&next)) {
        shard.nextStep = monotonicNow() + stepInterval;
        write(index, *update, lock);
    }
    resolve(shard);
}

void KeyClaims::runShards(std::size_t worker)
{
    constexpr Duration idleWait = std::chrono::milliseconds(20);
    constexpr Duration busyWait = std::chrono::milliseconds(2);
    std::unique_lock lock(mutex_);
    while (!isEnding_) {
        bool hasWork = false;
        for (auto index = worker; index < shards_.size(); index += homeWorkers) {
            auto& shard = shards_[index];
            if (isEnding_ || !shard.claims.hasWork())
                continue;
            hasWork = true;
            if (monotonicNow() >= shard.nextStep)
                step(index, lock);
        }
        // Completions that can't be written keep their shard busy; the wait prevents a busy loop.
        changed_.wait_for(lock, hasWork ? busyWait : idleWait * 10);
    }
    // Wakes the remaining waiters, because no thread will resolve them any more.
    for (auto& [id, waiter] : waiters_)
        waiter->resolved.notify_one();
}

} // namespace balsamreel::Node
