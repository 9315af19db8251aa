#include "balsamreel/Relay/WatchDuty.h"

#include "balsamreel/Support/Hash.h"

#include <set>
#include <utility>

namespace balsamreel::Relay {

namespace {

// Enough that some hear of a change though a part of the nodes is turned away by the store, or their answers are lost.
constexpr std::size_t watchersOfFleet = 12;
// A node that stands in goes on until so many others watch.
constexpr std::size_t enoughWatchers = 4;
// The store may be down for all: then each further node that tries only adds to its load.
constexpr Duration standInInterval = std::chrono::seconds(2);

using Rank = std::pair<std::uint32_t, std::string_view>;

Rank rankOf(std::string_view name)
{
    return {Support::stableHash(name), name};
}

} // namespace

WatchDuty::WatchDuty(std::string name, std::string domain)
    : name_(std::move(name))
    , domain_(std::move(domain))
{
}

bool WatchDuty::decide(Instant now, const std::vector<WatchCandidate>& others, bool isFollowing)
{
    std::set<std::string_view> domains{domain_};
    std::size_t before = 0;
    std::size_t followingBefore = 0;
    bool isFollowed = isFollowing;
    for (const auto& other : others) {
        domains.insert(other.domain);
        isFollowed = isFollowed || other.isFollowing;
        bool isBefore = rankOf(other.name) < rankOf(name_);
        before += isBefore && other.domain == domain_ ? 1 : 0;
        followingBefore += isBefore && other.isFollowing ? 1 : 0;
    }
    if (isFollowed || followedAt_ == Instant())
        followedAt_ = now;
    if (isFollowing && followingBefore < enoughWatchers)
        return true;
    auto ofDomain = (watchersOfFleet + domains.size() - 1) / domains.size();
    auto standIns = static_cast<std::size_t>((now - followedAt_) / standInInterval);
    return before < ofDomain + standIns;
}

} // namespace balsamreel::Relay
