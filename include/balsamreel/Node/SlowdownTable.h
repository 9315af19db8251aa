// The pace of each local server, for its guard.
#pragma once

#include "balsamreel/Balance/ServerSlowdown.h"
#include "balsamreel/Support/Endpoint.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace balsamreel::Node {

/// Thread-safe.
class SlowdownTable {
public:
    /// One call at a server; counts as broken unless it is finished.
    class Measurement {
    public:
        Measurement(SlowdownTable&, const Support::Endpoint&, const std::string& route);
        ~Measurement();
        Measurement(const Measurement&) = delete;
        Measurement& operator=(const Measurement&) = delete;

        /// The call has ended now; only the first end counts.
        void finish(Balance::AttemptResult);

    private:
        SlowdownTable& slowdowns_;
        Support::Endpoint server_;
        std::string route_;
        Support::Instant startedAt_;
        bool isOpen_ = true;
    };

    bool isDiverting(Support::Instant now, const Support::Endpoint&) const;
    std::optional<double> slowdown(Support::Instant now, const Support::Endpoint&) const;

private:
    mutable std::mutex mutex_;
    std::map<Support::Endpoint, Balance::ServerSlowdown> slowdowns_;
};

} // namespace balsamreel::Node
