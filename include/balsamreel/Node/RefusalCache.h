// What an entry remembers for a short while of servers that refuse work.
#pragma once

#include "balsamreel/Balance/Balancer.h"
#include "balsamreel/Support/Clock.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamreel::Node {

/// A call as far as it matters for who is served first.
struct CallRank {
    std::uint64_t depth = 0; ///< deeper goes first
    unsigned priority = 0; ///< lower goes first
};

/// Servers that refused a call need not be asked again until their queues have moved on. Not thread-safe.
class RefusalCache {
public:
    /// The server has refused a call because it has too much work for the time given.
    void recordRefusal(Support::Instant now, const std::string& service, const Balance::ServerId&, const std::string& caller, CallRank, Support::Duration expectedWait);

    /// Servers of the service that would refuse a call of this caller and rank now. A caller whose own
    /// calls have not been refused lately gets none: its fair share is decided at the guards.
    std::vector<Balance::ServerId> refusingServers(Support::Instant now, const std::string& service, const std::string& caller, CallRank);

    /// The longest time for which a refusal counts.
    static constexpr Support::Duration maximumRetention = std::chrono::milliseconds(100);
    static constexpr std::size_t maximumCallers = 4096;

private:
    struct Refusal {
        Support::Instant until;
        CallRank rank;
    };

    std::unordered_map<std::string, std::map<Balance::ServerId, Refusal>> services_;
    std::unordered_map<std::string, Support::Instant> callers_; ///< by service and address: refused until
};

} // namespace balsamreel::Node
