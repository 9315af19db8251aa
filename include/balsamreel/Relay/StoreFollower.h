// Follows a collection of the store.
#pragma once

#include "balsamreel/Relay/Evacuations.h"
#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/StoreCalls.h"
#include "balsamreel/Support/Random.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Relay {

/// Lists a collection, then watches it for changes while it is wanted. Lists again if the store no longer has the history
/// since the last known revision, or has come back from an older copy: it then gives out revisions a second time.
class StoreFollower {
public:
    struct Handlers {
        std::function<void(const std::vector<StoredObject>&, const StorePosition&)> onListing; ///< the whole collection
        std::function<void(const std::vector<StoredObject>&, const StorePosition&)> onChanges; ///< in their order
    };

    /// The pause before each watch lets one watch return several changes that follow each other closely.
    StoreFollower(Loop&, StoreCalls&, const StoreCodec&, Collection, Duration pause, std::uint64_t seed, EventLog&, Handlers);

    /// Lists the collection once; a failed call is not retried.
    void poll();

    /// The era of the store that the objects in the handlers' current calls come from; null if it does not tell.
    std::optional<std::uint64_t> era() const { return era_; }

    /// Starts following, or stops after the open call.
    void follow(bool isWanted);

    bool isWanted() const { return isWanted_; }

    /// Whether the collection is followed and the last call to the store succeeded.
    bool isConnected() const { return isWanted_ && failures_ == 0 && hasListed_; }

private:
    void list(const std::string& after);
    void onPage(const StoreReply&);
    void watch();
    void onChanges(const StoreReply&);
    void onFailure(const StoreReply&, bool shouldRelist);
    void onSuccess();
    void runAfter(Duration, std::function<void()>);
    bool stopIfUnwanted();
    bool isFromOtherEra(const StoreReply& reply) const { return reply.era && era_ && *reply.era != *era_; }

    StoreCalls& calls_;
    const StoreCodec& codec_;
    Collection collection_;
    Duration pause_;
    Support::Random random_;
    EventLog& log_;
    Handlers handlers_;
    boost::asio::steady_timer timer_;
    std::vector<StoredObject> listed_; ///< objects of the pages read so far
    std::uint64_t revision_ = 0;
    std::optional<std::uint64_t> era_; ///< of the last listing, and so of revision_
    unsigned failures_ = 0; ///< consecutive
    bool hasListed_ = false; ///< since following was started
    bool isWanted_ = false;
    bool isRunning_ = false; ///< a call or pause of following is pending
};

} // namespace balsamreel::Relay
