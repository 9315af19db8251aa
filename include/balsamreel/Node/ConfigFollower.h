// Keeps the newest accepted configuration in force: from peers, and on a few nodes from the store.
#pragma once

#include "balsamreel/Config/Acceptor.h"
#include "balsamreel/Node/Context.h"
#include "balsamreel/Node/Gossip.h"
#include "balsamreel/Store/Client.h"
#include <optional>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace balsamreel::Node {

class ConfigFollower {
public:
    ConfigFollower(Context&, Gossip&);
    ~ConfigFollower();
    ConfigFollower(const ConfigFollower&) = delete;
    ConfigFollower& operator=(const ConfigFollower&) = delete;

    void start();

    /// Why the folder as it stands is not accepted; empty if it is.
    std::vector<Config::Diagnostic> diagnostics() const;

private:
    void runPeers();
    void runStore();
    void watchOnce();
    void fetchFrom(const Support::Endpoint& peer);
    void apply(const Config::Head&, const std::string& source);
    bool sleep(Support::Duration);

    Context& context_;
    Gossip& gossip_;
    std::optional<Store::Client> store_;
    std::optional<Config::Acceptor> acceptor_;
    std::uint64_t revision_ = 0; ///< of the store, seen by the last watch
    mutable std::mutex mutex_;
    std::condition_variable ending_;
    std::vector<Config::Diagnostic> diagnostics_;
    bool isEnding_ = false;
    std::thread peerThread_;
    std::thread storeThread_;
};

} // namespace balsamreel::Node
