// The slowdown of each local server, as measured by the guard.
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
    /// Measures one call at a server. The call counts as Broken unless finish() is called.
    class Measurement {
    public:
        Measurement(SlowdownTable&, const Support::Endpoint&, const std::string& route);
        ~Measurement();
        Measurement(const Measurement&) = delete;
        Measurement& operator=(const Measurement&) = delete;

        /// Records the end of the call. Only the first invocation counts.
        void finish(Balance::AttemptResult);

    private:
        SlowdownTable& table_;
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
