#include "balsamreel/AtMostOnce/Claims.h"

#include <algorithm>
#include <set>
#include <utility>

namespace balsamreel::AtMostOnce {

namespace {

// FNV-1a hash. All builds and processes must compute the same value, which std::hash does not guarantee.
std::uint64_t hashOf(const std::string& text)
{
    constexpr std::uint64_t offsetBasis = 0xcbf29ce484222325;
    constexpr std::uint64_t prime = 0x100000001b3;
    std::uint64_t hash = offsetBasis;
    for (unsigned char byte : text)
        hash = (hash ^ byte) * prime;
    return hash;
}

// Finalizer: the last bytes of a text affect only the low bits of FNV-1a; this distributes them over all bits.
std::uint64_t spread(std::uint64_t hash)
{
    constexpr unsigned shiftBits = 33;
    constexpr std::uint64_t multiplier = 0xff51afd7ed558ccd;
    hash = (hash ^ (hash >> shiftBits)) * multiplier;
    return hash ^ (hash >> shiftBits);
}

} // namespace

std::size_t shardOf(const std::string& key)
{
    return spread(hashOf(key)) % claimShardCount;
}

std::size_t homeOf(std::size_t shard, const std::vector<std::string>& names)
{
    std::size_t home = 0;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < names.size(); ++index) {
        auto weight = spread(hashOf(names[index] + "/" + std::to_string(shard)));
        if (weight < highest)
            continue;
        highest = weight;
        home = index;
    }
    return home;
}

void ClaimShard::begin(std::uint64_t request, const ClaimRequest& claim)
{
    if (begins_.size() < options_.maximumPending)
        begins_.push_back({request, claim});
    else
        resolutions_.push_back({request, {ClaimResult::Full, std::nullopt}});
}

void ClaimShard::complete(const Completion& completion)
{
    // An owner that has given up must not be granted its claim afterwards.
    std::erase_if(begins_, [&](const Begin& begin) {
        bool isOwnedByCompletion = begin.request.token == completion.token;
        if (isOwnedByCompletion)
            resolutions_.push_back({begin.id, {ClaimResult::Unavailable, std::nullopt}});
        return isOwnedByCompletion;
    });
    // If a completion is dropped, its claim stays open and later counts as Unknown, which is safe but less precise.
    if (completions_.size() < options_.maximumPending)
        completions_.push_back(completion);
}

std::optional<ClaimReply> ClaimShard::decide(std::int64_t nowMicros, const ClaimRequest& request) const
{
    auto found = claims_.find(request.key);
    if (found == claims_.end() || found->second.expiry <= nowMicros)
        return std::nullopt;
    const auto& claim = found->second;
    bool isOwn = claim.token == request.token;
    if (isOwn && claim.state == ClaimState::Open)
        return ClaimReply{ClaimResult::Owned, std::nullopt};
    if (!isOwn && claim.fingerprint != request.fingerprint)
        return ClaimReply{ClaimResult::Mismatch, std::nullopt};
    switch (claim.state) {
    case ClaimState::NotRun:
        // The owner has given up this token, so it must not be granted again.
        return isOwn ? std::optional(ClaimReply{ClaimResult::Unavailable, std::nullopt}) : std::nullopt;
    case ClaimState::Done:
        return ClaimReply{ClaimResult::Done, claim.answer};
    case ClaimState::Unknown:
        return ClaimReply{ClaimResult::Unknown, std::nullopt};
    case ClaimState::Open:
        break;
    }
    bool isOverdue = nowMicros > claim.deadline + options_.ownerMarginMicros;
    return ClaimReply{isOverdue ? ClaimResult::Unknown : ClaimResult::InProgress, std::nullopt};
}

void ClaimShard::resolveDecided(std::int64_t nowMicros)
{
    std::erase_if(begins_, [&](const Begin& begin) {
        auto reply = decide(nowMicros, begin.request);
        if (reply)
            resolutions_.push_back({begin.id, std::move(*reply)});
        return reply.has_value();
    });
}

bool ClaimShard::draftBegins(std::int64_t nowMicros, ClaimMap& draft)
{
    std::set<std::string> draftedKeys;
    for (auto& begin : begins_) {
        // Draft only the first request for a key; the others are decided by its result.
        begin.isDrafted = draftedKeys.insert(begin.request.key).second;
        if (!begin.isDrafted)
            continue;
        draft[begin.request.key] = {begin.request.token, ClaimState::Open, begin.request.fingerprint, begin.request.deadline, nowMicros + options_.retentionMicros, std::nullopt};
    }
    return !draftedKeys.empty();
}

bool ClaimShard::draftCompletions(ClaimMap& draft)
{
    bool isChanged = false;
    for (const auto& completion : completions_) {
        auto found = draft.find(completion.key);
        bool isOpen = found != draft.end() && found->second.token == completion.token && found->second.state == ClaimState::Open;
        if (!isOpen)
            continue;
        found->second.state = completion.state;
        found->second.answer = completion.answer;
        isChanged = true;
    }
    draftedCompletions_ = completions_.size();
    return isChanged;
}

std::string ClaimShard::encodeDraft(ClaimMap& draft) const
{
    auto value = encodeClaims(draft);
    if (value.size() <= options_.maximumBytes)
        return value;
    // Drop the retained responses to save space; the claims themselves stay until they expire.
    for (auto& [key, claim] : draft)
        claim.answer.reset();
    return encodeClaims(draft);
}

void ClaimShard::resolveDrafted(ClaimResult result)
{
    std::erase_if(begins_, [&](const Begin& begin) {
        if (begin.isDrafted)
            resolutions_.push_back({begin.id, {result, std::nullopt}});
        return begin.isDrafted;
    });
}

ShardStep ClaimShard::next(std::int64_t nowMicros)
{
    if (!hasWork())
        return Idle();
    if (!isLoaded_)
        return Load();
    resolveDecided(nowMicros);
    draft_ = claims_;
    std::erase_if(draft_, [&](const auto& entry) { return entry.second.expiry <= nowMicros; });
    bool hasCompletions = draftCompletions(draft_);
    auto withoutBegins = draft_;
    bool hasBegins = draftBegins(nowMicros, draft_);
    auto value = hasBegins || hasCompletions ? encodeDraft(draft_) : std::string();
    if (value.size() > options_.maximumBytes) {
        resolveDrafted(ClaimResult::Full);
        draft_ = std::move(withoutBegins);
        hasBegins = false;
        value = encodeDraft(draft_);
    }
    if (hasBegins || hasCompletions)
        return Write{std::move(value), version_};
    completions_.clear();
    return Idle();
}

void ClaimShard::loaded(const std::string& value, std::uint64_t version)
{
    auto claims = decodeClaims(value);
    // Claims that can't be decoded may contain any key, so no call may run.
    if (!claims)
        return unavailable();
    claims_ = std::move(*claims);
    version_ = version;
    isLoaded_ = true;
}

void ClaimShard::loadedNone()
{
    claims_.clear();
    version_.reset();
    isLoaded_ = true;
}

void ClaimShard::written(std::uint64_t version)
{
    claims_ = std::move(draft_);
    version_ = version;
    resolveDrafted(ClaimResult::Owned);
    completions_.erase(completions_.begin(), completions_.begin() + static_cast<std::ptrdiff_t>(draftedCompletions_));
}

void ClaimShard::conflicted()
{
    isLoaded_ = false;
}

void ClaimShard::writeUnknown()
{
    // The next load shows whether the write took effect.
    isLoaded_ = false;
}

void ClaimShard::unavailable()
{
    isLoaded_ = false;
    for (const auto& begin : begins_)
        resolutions_.push_back({begin.id, {ClaimResult::Unavailable, std::nullopt}});
    begins_.clear();
}

std::vector<ClaimResolution> ClaimShard::takeResolutions()
{
    return std::exchange(resolutions_, {});
}

} // namespace balsamreel::AtMostOnce
