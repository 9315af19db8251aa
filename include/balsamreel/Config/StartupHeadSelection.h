// Selects the configuration that a node activates first after its start.
#pragma once

#include "balsamreel/Config/Files.h"
#include "balsamreel/Support/Clock.h"

#include <set>

namespace balsamreel::Config {

struct StartupHeadOptions {
    std::size_t sufficientDomains = 3; ///< number of domains whose responses suffice
    Support::Duration timeout = std::chrono::milliseconds(1500); ///< after this time fewer responses suffice
};

/// Collects the heads of peers in several failure domains and selects the newest, so that a single lagging peer does not
/// determine the configuration. Not thread-safe.
class StartupHeadSelection {
public:
    StartupHeadSelection(StartupHeadOptions options, Support::Instant startedAt)
        : options_(options)
        , startedAt_(startedAt)
    {
    }

    /// Adds a peer's response; generation 0 if the peer has no configuration itself.
    void addHead(const std::string& domain, Head);

    /// Returns true if a peer of this domain has responded.
    bool hasResponse(const std::string& domain) const { return domains_.contains(domain); }

    /// Returns true if newest() may be activated.
    bool isDecided(Support::Instant now) const;
    const Head& newest() const { return newest_; }

private:
    StartupHeadOptions options_;
    Support::Instant startedAt_;
    std::set<std::string> domains_;
    Head newest_;
};

} // namespace balsamreel::Config
