// Keeps a node on the newest accepted configuration.
#pragma once

#include "balsamreel/Config/Acceptor.h"
#include "balsamreel/Config/Watchers.h"
#include "balsamreel/Node/Context.h"
#include "balsamreel/Node/DomainStatus.h"
#include "balsamreel/Node/Gossip.h"
#include "balsamreel/Store/Client.h"
#include "balsamreel/Support/Random.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace balsamreel::Node {

/// Reads new configurations from peers and, on the few nodes that are watchers, from the store.
class ConfigFollower {
public:
    ConfigFollower(Context&, Gossip&);
    ~ConfigFollower();
    ConfigFollower(const ConfigFollower&) = delete;
    ConfigFollower& operator=(const ConfigFollower&) = delete;

    void start();

    /// Handles the announcement that the named node follows this generation.
    void onGenerationUpdate(std::uint64_t generation, const std::string& node);

    /// The reasons why the current files in the store are not accepted; empty if they are. Known only on nodes that watch
    /// the store.
    std::vector<Config::Diagnostic> diagnostics() const;

private:
    struct GenerationUpdate {
        std::uint64_t generation = 0;
        std::string node;
    };

    void runPeers();
    void startFromPeers();
    void followPeers();
    void fetchFrom(const Wire::MemberRecord&);
    void announceToPeers(std::uint64_t generation);
    std::optional<GenerationUpdate> waitForUpdate();

    void runStore();
    void followStore(const std::optional<Config::WatcherRole>&);
    void watch();
    /// Waits for this watcher's turn by rank. Returns true if another watcher accepts the pending change first.
    bool waitForOtherWatchers(const Config::AcceptResult& pending, std::size_t rank);
    void applyResult(const Config::AcceptResult&);
    void writeStatus();
    std::optional<Config::WatcherRole> role() const;

    std::uint64_t generation() const;
    void apply(const Config::Head&, const std::string& source);
    bool isEnding() const;
    bool sleep(Support::Duration); ///< false if the follower is ending

    Context& context_;
    Gossip& gossip_;
    std::optional<Store::Client> store_;
    std::optional<Config::Acceptor> acceptor_;
    std::optional<DomainStatus> status_;
    std::uint64_t revision_ = 0; ///< store revision of the last read; the next watch waits for a newer one
    unsigned eventlessWatches_ = 0; ///< consecutive watches without an event since the last read of the files
    Store::Backoff backoff_;
    Support::Random peerRandom_; ///< used by the peer thread only
    std::uint64_t announcedGeneration_ = 0; ///< the last generation announced to peers

    mutable std::mutex mutex_;
    std::condition_variable wakeUp_;
    std::vector<Config::Diagnostic> diagnostics_; ///< guarded by mutex_
    std::optional<GenerationUpdate> pendingUpdate_; ///< guarded by mutex_
    bool isEnding_ = false; ///< guarded by mutex_
    std::thread peerThread_;
    std::thread storeThread_;
};

} // namespace balsamreel::Node
