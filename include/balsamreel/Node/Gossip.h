// Runs membership over UDP and feeds what it learns to the balancer.
#pragma once

#include "balsamreel/Membership/Swim.h"
#include "balsamreel/Node/Context.h"
#include "balsamreel/Node/Guard.h"
#include "balsamreel/Node/Prober.h"

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace balsamreel::Node {

class Gossip {
public:
    Gossip(Context&, Guard&, std::uint64_t seed);
    ~Gossip();
    Gossip(const Gossip&) = delete;
    Gossip& operator=(const Gossip&) = delete;

    void start();

    /// Tells the others that this node leaves.
    void leave();

    /// Tells the others at once what this node's servers are now.
    void announceServers();

    /// Brings the gauges of membership up to date.
    void setGauges() const;

    /// The whole table in compressed form; nothing if too many have been given lately.
    std::optional<std::string> provideTable();

    std::vector<Wire::MemberRecord> members() const; ///< with this node itself

    /// A random one of the live members that follow the highest generation known, if that is newer than this node's.
    std::optional<Wire::MemberRecord> newerPeer(Support::Random&) const;

private:
    void run();
    Support::Duration untilDue() const;
    void receiveAll(Support::Duration wait);
    void tick(Support::Instant now);
    void send(const std::vector<Membership::Outgoing>&);
    void publish(Support::Instant now);
    void recordChanges();
    void fetchTable();
    void fetchTableFrom(const Support::Endpoint&);

    Context& context_;
    Guard& guard_;
    mutable std::mutex mutex_;
    Membership::Swim swim_;
    Prober prober_; ///< used by the gossip thread only
    std::uint64_t publishedRevision_ = 0;
    Poco::Net::DatagramSocket socket_;
    std::atomic<bool> isEnding_{false};
    std::thread thread_;
    std::thread fetcher_; ///< fetches a whole table now and then
    std::atomic<bool> isFetching_{false};
    Support::Instant nextPublish_;
};

} // namespace balsamreel::Node
