// What a node that has just started puts into force first.
#pragma once

#include "balsamreel/Config/Files.h"
#include "balsamreel/Support/Clock.h"

#include <set>

namespace balsamreel::Config {

struct StartupHeadOptions {
    std::size_t sufficientDomains = 3; ///< whose answers are enough
    Support::Duration timeout = std::chrono::milliseconds(1500); ///< then fewer answers will do
};

/// Gathers the heads of peers in several failure domains, so that one peer that lags does not decide. Not thread-safe.
class StartupHeadSelection {
public:
    StartupHeadSelection(StartupHeadOptions options, Support::Instant startedAt)
        : options_(options)
        , startedAt_(startedAt)
    {
    }

    /// A peer's answer; generation 0 if it follows none itself.
    void addHead(const std::string& domain, Head);

    /// Answers of this domain are in.
    bool hasResponse(const std::string& domain) const { return domains_.contains(domain); }

    /// The newest head offered may come into force.
    bool isDecided(Support::Instant now) const;
    const Head& newest() const { return newest_; }

private:
    StartupHeadOptions options_;
    Support::Instant startedAt_;
    std::set<std::string> domains_;
    Head newest_;
};

} // namespace balsamreel::Config
