// Latency of a server relative to its own past, as measured by its guard.
#pragma once

#include "balsamreel/Balance/Balancer.h"
#include "balsamreel/Balance/Health.h"
#include "balsamreel/Balance/TypicalLatency.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Balance {

/// Tracks all calls of one server and decides when calls should be diverted to other servers. Not thread-safe.
class ServerSlowdown {
public:
    void started(Support::Instant now, const std::string& route);

    /// Records the end of the call that started at startedAt.
    void finished(Support::Instant now, Support::Instant startedAt, const std::string& route, AttemptResult);

    /// True if the server is slow or failing, so that calls which another server can serve should go there.
    bool isDiverting(Support::Instant now) const;

    /// Recent latency relative to the usual one; nullopt if there was no recent response.
    std::optional<double> slowdown(Support::Instant now) const;

private:
    struct OpenCall {
        Support::Instant startedAt;
        std::string route;
    };

    bool hasLateCall(Support::Instant now) const;

    std::map<std::string, TypicalLatency> routes_;
    std::vector<OpenCall> open_;
    Health health_;
    std::optional<Support::Instant> lastResponseAt_;
};

} // namespace balsamreel::Balance
