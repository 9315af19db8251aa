// One node: starts its services, runs their periodic work and shuts them down gracefully.
#pragma once

#include "balsamreel/Node/Admin.h"
#include "balsamreel/Node/ConfigFollower.h"
#include "balsamreel/Node/Context.h"
#include "balsamreel/Node/Entry.h"
#include "balsamreel/Node/Gossip.h"
#include "balsamreel/Node/Guard.h"
#include "balsamreel/Support/Http.h"

#include <atomic>
#include <thread>

namespace balsamreel::Node {

class Daemon {
public:
    /// Throws Poco::Net::NetException if an address can't be bound.
    explicit Daemon(NodeSettings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    void start();

    /// Announces that this node leaves, refuses new work, and returns when no calls are in flight any more or the grace
    /// period is over.
    void drain();

private:
    void handlePeer(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void provideTable(Poco::Net::HTTPServerResponse&);
    void runTicks();

    Context context_;
    Guard guard_;
    Gossip gossip_;
    KeyClaims claims_;
    Entry entry_;
    ConfigFollower follower_;
    Admin admin_;
    std::atomic<bool> isEnding_{false};
    std::thread ticker_;
    Support::HttpService callers_;
    Support::HttpService peers_;
    Support::HttpService operators_;
};

} // namespace balsamreel::Node
