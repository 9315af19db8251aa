// Finds the other nodes through the store, and keeps the entry of this one there.
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

/// Lists the nodes with what may be some seconds old. A node without an entry writes one, and lists until it sees it: the
/// listing then shows all entries that were written before. So of two nodes that start together at least one sees the other
/// and dials it; the greeting tells the rest. A node that has an entry already reads it for what it had noted there.
class NodeDirectory {
public:
    struct Handlers {
        std::function<void(const std::vector<StoredObject>&)> onListing;
        std::function<void(const std::optional<std::string>& content)> onOwnRecord; ///< once, as found at the start
    };

    NodeDirectory(Loop&, StoreCalls&, const StoreCodec&, std::string name, std::string content, std::uint64_t seed, EventLog&, Handlers);

    void start() { list({}); }

    /// The last call to the store was answered, and the nodes were listed.
    bool isConnected() const { return hasListed_ && failures_ == 0; }

    /// A listing has shown the own entry, and with it all that are older.
    bool hasSeenOwnRecord() const { return hasSeenOwnRecord_; }

    /// What the own entry is to hold from now on.
    void setContent(std::string content);

    /// Takes the own entry away: the VM leaves for good.
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
    bool checkReply(const StoreReply&, bool isGood, std::function<void()> again);
    void runAfter(Duration, std::function<void()>);

    StoreCalls& calls_;
    const StoreCodec& codec_;
    std::string name_;
    std::string content_;
    Support::Random random_;
    EventLog& log_;
    Handlers handlers_;
    boost::asio::steady_timer timer_;
    std::vector<StoredObject> listed_; ///< pages so far
    unsigned failures_ = 0; ///< in a row
    unsigned listingsWithoutOwnRecord_ = 0; ///< listings in a row that lacked the entry though it was written
    bool hasListed_ = false;
    bool hasCreatedOwnRecord_ = false;
    bool hasSeenOwnRecord_ = false; ///< a listing has shown the entry
    bool hasReadOwnRecord_ = false;
    bool isRemoved_ = false;
};

} // namespace balsamreel::Relay
