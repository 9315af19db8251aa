// Discovers the other nodes through the store, and maintains this node's record there.
#pragma once

#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/StoreCalls.h"
#include "balsamreel/Support/Random.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Relay {

/// Lists the node records; listings may be some seconds stale. A node without a record creates one and lists until it sees
/// it: that listing also contains all records that were created earlier. So of two nodes that start together, at least one
/// sees the other and dials it; the handshake informs the other one. A node that already has a record reads the state of its
/// server from it. If the store comes back from an older copy of its data, the node writes its record again.
class NodeDirectory {
public:
    struct Handlers {
        std::function<void(const std::vector<StoredObject>&, bool isComplete)> onListing; ///< isComplete: other nodes have had time to write lost records again
        std::function<void(const std::optional<std::string>& content)> onOwnRecord; ///< called once, with the record found at the start, if any
    };

    NodeDirectory(Loop&, StoreCalls&, const StoreCodec&, std::string name, std::string content, std::uint64_t seed, EventLog&, Handlers);

    void start() { list({}); }

    /// Whether the nodes have been listed and the last call to the store succeeded.
    bool isConnected() const { return hasListed_ && failures_ == 0; }

    /// Whether a listing has contained this node's record, and so all older ones.
    bool hasSeenOwnRecord() const { return hasSeenOwnRecord_; }

    /// Writes the record again after a random delay, because the store has lost its last writes.
    void onStoreRestored();

    /// Sets the content of this node's record.
    void setContent(std::string content);

    /// Removes this node's record, because the VM leaves permanently.
    void remove();

private:
    void list(const std::string& after);
    void onPage(const StoreReply&);
    void onListed();
    void awaitOwnRecord();
    void createOwnRecord();
    void onOwnRecordCreated(const StoreReply&);
    void readOwnRecord();
    void onOwnRecordRead(const StoreReply&);
    void reportOwnRecord(const std::optional<std::string>& content);
    void write();
    void scheduleRewrite(Duration delay);
    void rewrite();
    void onRewritten(const StoreReply&);
    bool checkReply(const StoreReply&, bool isExpected, std::function<void()> retry);
    void runAfter(Duration, std::function<void()>);

    StoreCalls& calls_;
    const StoreCodec& codec_;
    std::string name_;
    std::string content_;
    Support::Random random_;
    EventLog& log_;
    Handlers handlers_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer rewriteTimer_;
    Instant restoredAt_; ///< when the store came back from an older copy; zero: never
    std::vector<StoredObject> listed_; ///< objects of the pages read so far
    unsigned failures_ = 0; ///< consecutive
    unsigned listingsWithoutOwnRecord_ = 0; ///< consecutive listings without the record after it was created
    bool hasListed_ = false;
    bool hasCreatedOwnRecord_ = false;
    bool hasSeenOwnRecord_ = false;
    bool hasReadOwnRecord_ = false;
    bool isRewriting_ = false; ///< the store may have lost the record, which is not written again yet
    bool isRemoved_ = false;
};

} // namespace balsamreel::Relay
