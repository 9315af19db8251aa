#include "balsamreel/Node/ConfigFollower.h"

#include "balsamreel/Config/StartupHeadSelection.h"
#include "balsamreel/Node/HeadExchange.h"
#include "balsamreel/Support/Log.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace balsamreel::Node {

using Support::Duration;
using Support::monotonicNow;

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(200);
constexpr Duration watchWait = std::chrono::seconds(3);
// A watch may miss an event, so the files are read after this many watches without one.
constexpr unsigned maximumEventlessWatches = 2;
constexpr Duration roleInterval = std::chrono::milliseconds(500);
// A starting node asks its peers first and reads the store only if none has responded by then.
constexpr Duration peerStartupTimeout = std::chrono::milliseconds(1500);
// Watchers try to accept a change one after another in order of rank, so that usually only the first one reads the
// files.
constexpr Duration acceptDelayPerRank = std::chrono::milliseconds(400);
constexpr std::size_t lastDelayedRank = 6;
// With this fan-out a new generation reaches nearly all of 1,400 nodes in six hops; the rest learn it from pings.
constexpr std::size_t announcementFanOut = 3;
constexpr std::size_t maximumStatusDiagnostics = 20;

bool isServing(const Wire::MemberRecord& record)
{
    return record.state == Wire::MemberState::Alive || record.state == Wire::MemberState::Suspect;
}

// Returns all live members except the node itself, in random order.
std::vector<Wire::MemberRecord> livePeers(const Gossip& gossip, const std::string& self, Support::Random& random)
{
    auto peers = gossip.members();
    std::erase_if(peers, [&](const auto& record) { return record.node == self || !isServing(record); });
    std::ranges::shuffle(peers, random.engine());
    return peers;
}

} // namespace

ConfigFollower::ConfigFollower(Context& context, Gossip& gossip)
    : context_(context)
    , gossip_(gossip)
    , backoff_({std::chrono::milliseconds(200), std::chrono::seconds(2)}, Support::randomSeed())
    , peerRandom_(Support::randomSeed())
{
    const auto& settings = context.settings;
    if (!settings.store)
        return;
    store_.emplace(*settings.store);
    acceptor_.emplace(*store_, settings.deployment);
    status_.emplace(*store_, fmt::format("{}/status/{}", settings.deployment, settings.domain));
}

ConfigFollower::~ConfigFollower()
{
    {
        std::lock_guard lock(mutex_);
        isEnding_ = true;
    }
    wakeUp_.notify_all();
    if (peerThread_.joinable())
        peerThread_.join();
    if (storeThread_.joinable())
        storeThread_.join();
}

void ConfigFollower::start()
{
    peerThread_ = std::thread([this] { runPeers(); });
    if (store_)
        storeThread_ = std::thread([this] { runStore(); });
}

std::vector<Config::Diagnostic> ConfigFollower::diagnostics() const
{
    std::lock_guard lock(mutex_);
    return diagnostics_;
}

bool ConfigFollower::isEnding() const
{
    std::lock_guard lock(mutex_);
    return isEnding_;
}

bool ConfigFollower::sleep(Duration duration)
{
    std::unique_lock lock(mutex_);
    return !wakeUp_.wait_for(lock, duration, [&] { return isEnding_; });
}

std::uint64_t ConfigFollower::generation() const
{
    auto active = context_.config.get();
    return active ? active->head.generation : 0;
}

void ConfigFollower::apply(const Config::Head& head, const std::string& source)
{
    if (head.generation == 0 || !context_.config.apply(head))
        return;
    context_.timeline.record("config", fmt::format("generation={} source={}", head.generation, source));
    context_.metrics.set("balsam_config_generation", static_cast<double>(head.generation));
    Support::log(Support::LogLevel::Info, "config-in-force", "generation={} source={}", head.generation, source);
    onGenerationUpdate(head.generation, context_.settings.node);
}

void ConfigFollower::onGenerationUpdate(std::uint64_t generation, const std::string& node)
{
    {
        std::lock_guard lock(mutex_);
        if (!pendingUpdate_ || pendingUpdate_->generation < generation)
            pendingUpdate_ = GenerationUpdate{generation, node};
    }
    wakeUp_.notify_all();
}

std::optional<ConfigFollower::GenerationUpdate> ConfigFollower::waitForUpdate()
{
    std::unique_lock lock(mutex_);
    wakeUp_.wait_for(lock, pollInterval, [&] { return isEnding_ || pendingUpdate_; });
    return std::exchange(pendingUpdate_, std::nullopt);
}

void ConfigFollower::fetchFrom(const Wire::MemberRecord& peer)
{
    auto head = fetchHead(peer.peer);
    if (head)
        apply(*head, "peer");
    else
        context_.metrics.add("balsam_config_peer_errors_total");
}

void ConfigFollower::startFromPeers()
{
    Config::StartupHeadSelection choice({}, monotonicNow());
    while (sleep(pollInterval) && generation() == 0) {
        for (const auto& peer : livePeers(gossip_, context_.settings.node, peerRandom_)) {
            if (choice.hasResponse(peer.domain) || isEnding())
                continue;
            // A peer without a configuration does not count for its failure domain: another peer there may have one.
            if (auto head = fetchHead(peer.peer); head && head->generation > 0)
                choice.addHead(peer.domain, std::move(*head));
            if (choice.isDecided(monotonicNow()))
                break;
        }
        // With fewer failure domains than wanted, the choice is made only when its timeout ends.
        if (choice.isDecided(monotonicNow()))
            apply(choice.newest(), "peer");
    }
}

void ConfigFollower::announceToPeers(std::uint64_t generation)
{
    if (generation <= announcedGeneration_)
        return;
    announcedGeneration_ = generation;
    std::size_t announcedCount = 0;
    for (const auto& peer : livePeers(gossip_, context_.settings.node, peerRandom_)) {
        if (announcedCount == announcementFanOut || isEnding())
            return;
        ++announcedCount;
        context_.metrics.add("balsam_config_told_total");
        if (!announceGeneration(peer.peer, generation, context_.settings.node))
            context_.metrics.add("balsam_config_peer_errors_total");
    }
}

void ConfigFollower::followPeers()
{
    auto update = waitForUpdate();
    if (update && update->generation > generation()) {
        for (const auto& record : gossip_.members()) {
            if (record.node == update->node)
                fetchFrom(record);
        }
    }
    // The announcing peer may not deliver the generation; any other peer that follows it will do.
    if (auto peer = gossip_.newerPeer(peerRandom_))
        fetchFrom(*peer);
    announceToPeers(generation());
}

void ConfigFollower::runPeers()
{
    startFromPeers();
    while (!isEnding())
        followPeers();
}

std::optional<Config::WatcherRole> ConfigFollower::role() const
{
    std::vector<Config::WatcherCandidate> candidates;
    for (const auto& record : gossip_.members()) {
        if (isServing(record) || record.node == context_.settings.node)
            candidates.push_back({record.node, record.domain});
    }
    return Config::watcherRole(candidates, context_.settings.node);
}

void ConfigFollower::applyResult(const Config::AcceptResult& result)
{
    {
        std::lock_guard lock(mutex_);
        diagnostics_ = result.diagnostics;
    }
    if (result.hasMovedHead)
        context_.timeline.record("config-accepted", fmt::format("generation={}", result.head.generation));
    apply(result.head, "store");
}

bool ConfigFollower::waitForOtherWatchers(const Config::AcceptResult& pending, std::size_t rank)
{
    auto until = monotonicNow() + acceptDelayPerRank * std::min(rank, lastDelayedRank);
    while (monotonicNow() < until && sleep(pollInterval / 4)) {
        auto active = context_.config.get();
        if (active && active->head.fileVersions == pending.folderVersions)
            return true;
    }
    return false;
}

void ConfigFollower::followStore(const std::optional<Config::WatcherRole>& role)
{
    auto result = acceptor_->poll();
    if (!result.error && result.isPending && role && !waitForOtherWatchers(result, role->rank))
        result = acceptor_->accept(generation());
    context_.metrics.set("balsam_store_calls", static_cast<double>(store_->calls()));
    if (result.error) {
        context_.metrics.add("balsam_config_store_errors_total");
        sleep(backoff_.next());
        return;
    }
    backoff_.reset();
    eventlessWatches_ = 0;
    revision_ = result.revision;
    applyResult(result);
    if (!role)
        sleep(roleInterval);
}

void ConfigFollower::watch()
{
    auto newest = revision_;
    auto error = store_->watch(Config::filesPrefix(context_.settings.deployment), revision_, watchWait, newest);
    context_.metrics.set("balsam_store_calls", static_cast<double>(store_->calls()));
    if (error) {
        // Changes may have been missed, so the files are read as soon as the store responds.
        eventlessWatches_ = maximumEventlessWatches;
        sleep(backoff_.next());
        return;
    }
    eventlessWatches_ = newest > revision_ ? maximumEventlessWatches : eventlessWatches_ + 1;
}

void ConfigFollower::writeStatus()
{
    std::map<std::string, std::uint64_t> states;
    Poco::JSON::Array::Ptr draining = new Poco::JSON::Array;
    for (const auto& record : gossip_.members()) {
        if (record.domain != context_.settings.domain)
            continue;
        ++states[std::string(Support::nameOf(Wire::memberStateNames, record.state))];
        for (const auto& server : record.servers) {
            if (server.state == Wire::ServerState::Draining)
                draining->add(server.address.text());
        }
    }
    Poco::JSON::Object root;
    root.set("domain", context_.settings.domain);
    root.set("generation", generation());
    Poco::JSON::Object::Ptr members = new Poco::JSON::Object;
    for (const auto& [state, count] : states)
        members->set(state, count);
    root.set("members", members);
    root.set("draining", draining);
    Poco::JSON::Array::Ptr diagnostics = new Poco::JSON::Array;
    for (const auto& diagnostic : this->diagnostics()) {
        if (diagnostics->size() < maximumStatusDiagnostics)
            diagnostics->add(diagnostic.text());
    }
    root.set("diagnostics", diagnostics);
    std::ostringstream text;
    root.stringify(text);
    status_->update(monotonicNow(), text.str());
}

void ConfigFollower::runStore()
{
    sleep(peerStartupTimeout);
    eventlessWatches_ = maximumEventlessWatches;
    while (!isEnding()) {
        auto current = role();
        if (!current && generation() > 0) {
            // What it has read is outdated when it becomes a watcher again.
            eventlessWatches_ = maximumEventlessWatches;
            sleep(roleInterval);
            continue;
        }
        if (!current || eventlessWatches_ >= maximumEventlessWatches) {
            followStore(current);
            continue;
        }
        if (current->isFirstOfDomain)
            writeStatus();
        watch();
    }
}

} // namespace balsamreel::Node
