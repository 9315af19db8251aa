// The node's own entry in the store, by which the others find it.
#pragma once

#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/StoreCalls.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Relay {

/// Writes the entry where it is missing or differs, and takes it away when the VM leaves for good.
class NodeRegistration {
public:
    NodeRegistration(Loop&, StoreCalls&, const StoreCodec&, std::string name, std::string content, EventLog&);

    /// What the store holds, as a listing tells it.
    void onListing(const std::vector<StoredObject>&);

    /// A change of the own entry, by whomever.
    void onChange(const StoredObject&);

    /// Removes the entry; the callback comes when the store has answered or does not answer.
    void remove(std::function<void()> done);

private:
    void write();
    void onWritten(const StoreReply&);

    StoreCalls& calls_;
    const StoreCodec& codec_;
    std::string name_;
    std::string content_;
    EventLog& log_;
    boost::asio::steady_timer timer_;
    std::optional<StoredObject> stored_;
    bool isWriting_ = false;
    bool isRemoved_ = false;
};

} // namespace balsamreel::Relay
