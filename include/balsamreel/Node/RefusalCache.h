// The recent refusals of servers, as an entry keeps them for a short time.
#pragma once

#include "balsamreel/Balance/Balancer.h"
#include "balsamreel/Support/Clock.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamreel::Node {

/// Determines which of two calls is served first.
struct CallRank {
    std::uint64_t depth = 0; ///< calls deeper in a call chain are served first
    unsigned priority = 0; ///< lower values are served first
};

/// Keeps an entry from sending more calls to servers that have refused one, until their queues have moved on. Not
/// thread-safe.
class RefusalCache {
public:
    /// Records that the server refused a call because it has too much work to serve the call in time.
    void recordRefusal(Support::Instant now, const std::string& service, const Balance::ServerId&, const std::string& caller, CallRank, Support::Duration expectedWait);

    /// Returns the servers of the service that would refuse a call of this caller and rank now. Empty for a caller whose
    /// own calls have not been refused recently: the guards decide on its fair share.
    std::vector<Balance::ServerId> refusingServers(Support::Instant now, const std::string& service, const std::string& caller, CallRank);

    /// The maximum time for which a refusal counts.
    static constexpr Support::Duration maximumRetention = std::chrono::milliseconds(100);
    static constexpr std::size_t maximumCallers = 4096;

private:
    struct Refusal {
        Support::Instant until;
        CallRank rank;
    };

    std::unordered_map<std::string, std::map<Balance::ServerId, Refusal>> services_;
    std::unordered_map<std::string, Support::Instant> callers_; ///< end of the retention by service and address
};

} // namespace balsamreel::Node
