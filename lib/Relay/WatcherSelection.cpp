#include "balsamreel/Relay/WatcherSelection.h"

#include "balsamreel/Support/Hash.h"

#include <set>
#include <utility>

namespace balsamreel::Relay {

namespace {

// Enough that some see a change even if the store rejects part of the nodes or their responses are lost.
constexpr std::size_t fleetWatchers = 12;
// A node that watches without being selected any more continues until this many higher-ranked nodes watch.
constexpr std::size_t sufficientWatchers = 4;
// Limits how fast more nodes try: if the store is down for all, each further node only adds to its load.
constexpr Duration extraWatcherInterval = std::chrono::seconds(2);

using Rank = std::pair<std::uint32_t, std::string_view>;

Rank rankOf(std::string_view name)
{
    return {Support::stableHash(name), name};
}

} // namespace

WatcherSelection::WatcherSelection(std::string name, std::string domain)
    : name_(std::move(name))
    , domain_(std::move(domain))
{
}

bool WatcherSelection::decide(Instant now, const std::vector<WatchCandidate>& others, bool isFollowing)
{
    std::set<std::string_view> domains{domain_};
    std::size_t higherRanked = 0;
    std::size_t higherRankedFollowing = 0;
    bool isAnyFollowing = isFollowing;
    for (const auto& other : others) {
        domains.insert(other.domain);
        isAnyFollowing = isAnyFollowing || other.isFollowing;
        bool isHigherRanked = rankOf(other.name) < rankOf(name_);
        higherRanked += isHigherRanked && other.domain == domain_ ? 1 : 0;
        higherRankedFollowing += isHigherRanked && other.isFollowing ? 1 : 0;
    }
    if (isAnyFollowing || lastFollowedAt_ == Instant())
        lastFollowedAt_ = now;
    if (isFollowing && higherRankedFollowing < sufficientWatchers)
        return true;
    auto domainWatchers = (fleetWatchers + domains.size() - 1) / domains.size();
    auto extraWatchers = static_cast<std::size_t>((now - lastFollowedAt_) / extraWatcherInterval);
    return higherRanked < domainWatchers + extraWatchers;
}

} // namespace balsamreel::Relay
