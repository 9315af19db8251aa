#include "balsamreel/Node/Gossip.h"

#include "balsamreel/Support/Http.h"
#include "balsamreel/Support/Log.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace balsamreel::Node {

using Support::Duration;
using Support::Instant;
using Support::monotonicNow;
using Support::wallMicros;

namespace {

// After a longer wait the membership protocol would assume that the process was paused.
constexpr Duration longestWait = std::chrono::seconds(1);
// Each publication processes the whole member table, so changes that come close together share one.
constexpr Duration publishInterval = std::chrono::milliseconds(250);
constexpr const char* tablePath = "/balsam/members";
constexpr unsigned maximumDatagramsPerTick = 256;

Wire::MemberRecord selfRecord(const Context& context)
{
    Wire::MemberRecord record;
    record.node = context.settings.node;
    record.incarnation = context.incarnation;
    record.peer = context.settings.peer;
    record.admin = context.settings.admin;
    record.domain = context.settings.domain;
    record.region = context.settings.region;
    return record;
}

} // namespace

Gossip::Gossip(Context& context, Guard& guard, std::uint64_t seed)
    : context_(context)
    , guard_(guard)
    , swim_({}, selfRecord(context), seed)
    , prober_(context, guard)
    , socket_(Poco::Net::SocketAddress(context.settings.peer.host, context.settings.peer.port), true)
{
    swim_.setSeeds(context.settings.seeds);
}

Gossip::~Gossip()
{
    isEnding_ = true;
    if (thread_.joinable())
        thread_.join();
    if (fetcher_.joinable())
        fetcher_.join();
}

void Gossip::start()
{
    thread_ = std::thread([this] { run(); });
}

void Gossip::leave()
{
    {
        std::lock_guard lock(mutex_);
        swim_.leave();
    }
    tick(monotonicNow());
}

void Gossip::announceServers()
{
    tick(monotonicNow());
}

std::optional<std::string> Gossip::provideTable()
{
    std::optional<std::vector<Wire::MemberRecord>> records;
    {
        std::lock_guard lock(mutex_);
        records = swim_.provideTable(monotonicNow());
    }
    if (!records)
        return std::nullopt;
    auto text = Wire::encodeTable(*records);
    context_.metrics.add("balsam_table_given_bytes_total", static_cast<std::int64_t>(text.size()));
    std::lock_guard lock(mutex_);
    swim_.chargeTableBytes(text.size());
    return text;
}

void Gossip::fetchTable()
{
    if (isFetching_)
        return;
    std::optional<Support::Endpoint> peer;
    {
        std::lock_guard lock(mutex_);
        peer = swim_.takeTableRequest(monotonicNow());
    }
    if (!peer)
        return;
    if (fetcher_.joinable())
        fetcher_.join();
    isFetching_ = true;
    fetcher_ = std::thread([this, peer = *peer] {
        fetchTableFrom(peer);
        isFetching_ = false;
    });
}

void Gossip::fetchTableFrom(const Support::Endpoint& peer)
{
    try {
        Session session(peer.host, peer.port);
        session.setTimeout(Poco::Timespan(1, 0));
        Poco::Net::HTTPRequest request("GET", tablePath, "HTTP/1.1");
        request.setKeepAlive(false);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        std::string text;
        std::vector<Wire::MemberRecord> records;
        auto error = session.readBody(response, true, [&](const char* data, std::size_t size) {
            text.append(data, size);
            return text.size() <= Wire::maximumTableBytes;
        });
        bool isComplete = !error && response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
        if (!isComplete || Wire::decodeTable(text, records))
            return context_.metrics.add("balsam_table_errors_total");
        context_.metrics.add("balsam_table_fetched_bytes_total", static_cast<std::int64_t>(text.size()));
        std::lock_guard lock(mutex_);
        swim_.onTable(monotonicNow(), records, text.size());
    } catch (const Poco::Exception&) {
        context_.metrics.add("balsam_table_errors_total");
    }
}

std::vector<Wire::MemberRecord> Gossip::members() const
{
    std::lock_guard lock(mutex_);
    std::vector<Wire::MemberRecord> records{swim_.self()};
    for (const auto& [node, member] : swim_.members())
        records.push_back(member.record);
    return records;
}

std::optional<Wire::MemberRecord> Gossip::newerPeer(Support::Random& random) const
{
    auto active = context_.config.get();
    std::uint64_t highest = active ? active->head.generation : 0;
    std::vector<const Membership::Member*> newest;
    std::lock_guard lock(mutex_);
    for (const auto& [node, member] : swim_.members()) {
        if (!Membership::isLive(member.record.state) || member.generation < highest)
            continue;
        if (member.generation > highest)
            newest.clear();
        else if (newest.empty())
            continue;
        highest = member.generation;
        newest.push_back(&member);
    }
    // A random choice spreads the fetches over all nodes that follow this generation, in any failure domain.
    return newest.empty() ? std::nullopt : std::optional(newest[random.below(newest.size())]->record);
}

void Gossip::run()
{
    while (!isEnding_) {
        receiveAll(untilDue());
        tick(monotonicNow());
        fetchTable();
    }
}

Duration Gossip::untilDue() const
{
    constexpr Duration shortestWait = std::chrono::milliseconds(1);
    std::lock_guard lock(mutex_);
    auto due = swim_.nextDue();
    if (swim_.revision() != publishedRevision_)
        due = std::min(due, nextPublish_);
    return std::clamp(due - monotonicNow(), shortestWait, longestWait);
}

void Gossip::receiveAll(Duration wait)
{
    std::array<std::uint8_t, Wire::maximumDatagramBytes + 1> buffer;
    Poco::Timespan timeout(static_cast<Poco::Timespan::TimeDiff>(wait.count()));
    for (unsigned count = 0; count < maximumDatagramsPerTick; ++count) {
        try {
            if (!socket_.poll(timeout, Poco::Net::Socket::SELECT_READ))
                return;
            timeout = 0;
            Poco::Net::SocketAddress from;
            int size = socket_.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
            Wire::Message message;
            if (size <= 0 || Wire::decode({buffer.data(), static_cast<std::size_t>(size)}, message)) {
                context_.metrics.add("balsam_gossip_malformed_total");
                continue;
            }
            context_.metrics.add("balsam_gossip_received_bytes_total", size + static_cast<int>(Wire::datagramHeaderBytes));
            auto& clock = context_.timeline.clock();
            clock.observe(message.envelope.time, wallMicros());
            Support::Endpoint sender{from.host().toString(), from.port()};
            if (Prober::isForProber(message)) {
                send(prober_.receive(monotonicNow(), sender, message));
                continue;
            }
            std::vector<Membership::Outgoing> outgoing;
            {
                std::lock_guard lock(mutex_);
                outgoing = swim_.receive(monotonicNow(), sender, message, clock.tick(wallMicros()));
            }
            send(outgoing);
        } catch (const Poco::Exception&) {
            // The error belongs to an earlier datagram that was sent to a closed port, not to this one.
            context_.metrics.add("balsam_gossip_socket_errors_total");
        }
        timeout = 0;
    }
}

void Gossip::tick(Instant now)
{
    std::vector<Membership::Outgoing> outgoing;
    {
        std::lock_guard lock(mutex_);
        swim_.setServers(guard_.records());
        if (auto active = context_.config.get())
            swim_.setGeneration(active->head.generation);
        outgoing = swim_.tick(now, context_.timeline.clock().tick(wallMicros()));
        context_.incarnation = swim_.self().incarnation;
        recordChanges();
    }
    send(outgoing);
    send(prober_.tick(now));
    prober_.sent(monotonicNow());
    publish(now);
}

void Gossip::recordChanges()
{
    for (const auto& change : swim_.takeChanges()) {
        auto state = Support::nameOf(Wire::memberStateNames, change.state);
        context_.timeline.record("member", fmt::format("member={} state={}", change.node, state));
        context_.metrics.add(fmt::format("balsam_member_changes_total{{state=\"{}\"}}", state));
    }
}

void Gossip::send(const std::vector<Membership::Outgoing>& outgoing)
{
    for (const auto& datagram : outgoing) {
        auto bytes = Wire::encode(datagram.message);
        if (bytes.size() > Wire::maximumDatagramBytes) {
            context_.metrics.add("balsam_gossip_oversized_total");
            continue;
        }
        try {
            socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(datagram.to.host, datagram.to.port));
            context_.metrics.add("balsam_gossip_sent_bytes_total", static_cast<std::int64_t>(bytes.size() + Wire::datagramHeaderBytes));
        } catch (const Poco::Exception&) {
            context_.metrics.add("balsam_gossip_socket_errors_total");
        }
    }
}

void Gossip::setGauges() const
{
    std::lock_guard lock(mutex_);
    auto& metrics = context_.metrics;
    const auto& counts = swim_.counts();
    metrics.set("balsam_members_alive", 1 + static_cast<double>(std::ranges::count_if(swim_.members(), [](const auto& entry) { return Membership::isLive(entry.second.record.state); })));
    metrics.set("balsam_membership_digest", swim_.tableHash());
    metrics.set("balsam_membership_health", swim_.healthPenalty());
    metrics.set("balsam_membership_pauses", static_cast<double>(counts.pauses));
    metrics.set("balsam_membership_refutations", static_cast<double>(counts.refutations));
    metrics.set("balsam_membership_name_conflicts", static_cast<double>(counts.nameConflicts));
    metrics.set("balsam_gossip_put_off", static_cast<double>(counts.deferred));
    metrics.set("balsam_table_fetches", static_cast<double>(counts.tableFetches));
    metrics.set("balsam_table_refusals", static_cast<double>(counts.tableRefusals));
}

void Gossip::publish(Instant now)
{
    std::vector<Balance::ServerFacts> facts;
    {
        std::lock_guard lock(mutex_);
        if (swim_.revision() == publishedRevision_ || now < nextPublish_)
            return;
        publishedRevision_ = swim_.revision();
        nextPublish_ = now + publishInterval;
        auto addServers = [&](const Wire::MemberRecord& record) {
            if (!Membership::isLive(record.state))
                return;
            for (const auto& server : record.servers)
                facts.push_back({{record.node, server.address}, server.service, record.domain, record.region, record.peer, server.slots, server.state, record.incarnation});
        };
        addServers(swim_.self());
        for (const auto& [node, member] : swim_.members())
            addServers(member.record);
    }
    std::lock_guard lock(context_.balancerMutex);
    context_.balancer.update(now, facts);
}

} // namespace balsamreel::Node
