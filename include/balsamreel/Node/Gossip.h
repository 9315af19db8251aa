// Runs the membership protocol over UDP and passes the servers of all members to the balancer.
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

    /// Announces to the other nodes that this node leaves.
    void leave();

    /// Announces the current state of this node's servers to other nodes at once.
    void announceServers();

    /// Updates the membership gauges.
    void setGauges() const;

    /// Returns the whole member table in compressed form, or nothing if too many have been sent recently.
    std::optional<std::string> provideTable();

    std::vector<Wire::MemberRecord> members() const; ///< includes this node

    /// Returns a random live member among those with the highest known configuration generation, or nothing if that is not
    /// newer than this node's.
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
    Prober prober_; ///< not guarded by mutex_
    std::uint64_t publishedRevision_ = 0;
    Poco::Net::DatagramSocket socket_;
    std::atomic<bool> isEnding_{false};
    std::thread thread_;
    std::thread fetcher_; ///< fetches the whole member table from a peer when the membership protocol requests it
    std::atomic<bool> isFetching_{false};
    Support::Instant nextPublish_;
};

} // namespace balsamreel::Node
