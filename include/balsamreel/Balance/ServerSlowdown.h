// How fast a server answers compared with its own past, as its guard sees it.
#pragma once

#include "balsamreel/Balance/Balancer.h"
#include "balsamreel/Balance/Health.h"
#include "balsamreel/Balance/TypicalLatency.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Balance {

/// Follows all calls of one server, and tells when others would serve better. Not thread-safe.
class ServerSlowdown {
public:
    void started(Support::Instant now, const std::string& route);

    /// A call that started then has ended.
    void finished(Support::Instant now, Support::Instant startedAt, const std::string& route, AttemptResult);

    /// The server is slow or failing, and a call that another server can take should go there.
    bool isDiverting(Support::Instant now) const;

    /// Recent latency relative to the usual one; nothing if no answer came lately.
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
