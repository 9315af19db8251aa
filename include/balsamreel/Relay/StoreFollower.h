// Follows one collection of the store while asked to: lists it, then watches it, and lists again where the history is gone.
#pragma once

#include "balsamreel/Relay/EventLog.h"
#include "balsamreel/Relay/StoreCalls.h"
#include "balsamreel/Support/Random.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace balsamreel::Relay {

class StoreFollower {
public:
    struct Handlers {
        std::function<void(const std::vector<StoredObject>&)> onListing; ///< the whole collection
        std::function<void(const StoredObject&)> onChange;
    };

    /// The pause lets changes that come together be told by one watch.
    StoreFollower(Loop&, StoreCalls&, const StoreCodec&, Collection, Duration pause, std::uint64_t seed, EventLog&, Handlers);

    /// Lists once; a call that fails is not repeated.
    void poll();

    /// Starts to follow, or stops once the call that is open has ended.
    void follow(bool isWanted);

    bool isWanted() const { return isWanted_; }

    /// Follows, and the last call to the store was answered.
    bool isConnected() const { return isWanted_ && failures_ == 0 && hasListed_; }

private:
    void list(const std::string& after);
    void onPage(const StoreReply&);
    void watch();
    void onChanges(const StoreReply&);
    void onFailure(const StoreReply&, bool mustList);
    void onSuccess();
    void runAfter(Duration, std::function<void()>);
    bool stopIfUnwanted();

    StoreCalls& calls_;
    const StoreCodec& codec_;
    Collection collection_;
    Duration pause_;
    Support::Random random_;
    EventLog& log_;
    Handlers handlers_;
    boost::asio::steady_timer timer_;
    std::vector<StoredObject> listed_; ///< pages so far
    std::uint64_t revision_ = 0;
    unsigned failures_ = 0; ///< in a row
    bool hasListed_ = false; ///< since it follows
    bool isWanted_ = false;
    bool isRunning_ = false; ///< a call or a pause of following is open
};

} // namespace balsamreel::Relay
