// Claims on idempotency keys: which entry may run a keyed call, and the outcome of the call.
#pragma once

#include "balsamreel/AtMostOnce/AttemptTable.h"
#include "balsamreel/Support/NameTable.h"
#include "balsamreel/Wire/Headers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamreel::AtMostOnce {

enum class ClaimState : std::uint8_t { Open, ///< the owner may run the call
    Done, ///< the call ran
    NotRun, ///< the owner gave up without running the call; others may claim the key
    Unknown ///< the call may have run
};

/// Identifies the right of one entry to run a keyed call.
using ClaimToken = Wire::AttemptId;

/// A claim as stored. Times are microseconds of wall-clock time.
struct Claim {
    ClaimToken token;
    ClaimState state = ClaimState::Open;
    std::uint64_t fingerprint = 0; ///< of the request; a different request with the same key is refused
    std::int64_t deadline = 0; ///< after this time (plus a margin) the outcome of an open claim is unknown
    std::int64_t expiry = 0;
    std::optional<RetainedResponse> answer; ///< response of a Done claim, if short enough to be retained
};

using ClaimMap = std::map<std::string, Claim>; ///< by digest of the idempotency key

/// Request of an entry for the right to run a call.
struct ClaimRequest {
    std::string key; ///< digest of the idempotency key
    ClaimToken token;
    std::uint64_t fingerprint = 0;
    std::int64_t deadline = 0; ///< wall-clock microseconds
};

/// Report of the owner on the outcome of its call.
struct Completion {
    std::string key;
    ClaimToken token;
    ClaimState state = ClaimState::Unknown;
    std::optional<RetainedResponse> answer;
};

enum class ClaimResult : std::uint8_t { Owned, ///< the claim is stored: only this call may run
    Done,
    InProgress,
    Unknown,
    Mismatch, ///< the key was used for a different request
    Full, ///< no space for further claims
    Unavailable ///< the claim could not be stored
};

constexpr Support::NameTable<ClaimResult, 7> claimResultNames{{{ClaimResult::Owned, "owned"}, {ClaimResult::Done, "done"}, {ClaimResult::InProgress, "in-progress"}, {ClaimResult::Unknown, "unknown"}, {ClaimResult::Mismatch, "key-reused"}, {ClaimResult::Full, "claims-full"}, {ClaimResult::Unavailable, "store-unavailable"}}};

struct ClaimReply {
    ClaimResult result = ClaimResult::Unavailable;
    std::optional<RetainedResponse> answer;
};

constexpr std::size_t claimShardCount = 64;
constexpr std::size_t maximumKeyBytes = 64; ///< size of a digest
constexpr std::size_t maximumClaimResponseBytes = 1024;

/// Returns the shard that holds the claim of a key.
std::size_t shardOf(const std::string& key);

/// Returns the index of the home of a shard: the node that processes its claims, by rendezvous hashing over the node names.
/// The list must not be empty.
std::size_t homeOf(std::size_t shard, const std::vector<std::string>& names);

struct ClaimShardOptions {
    std::int64_t retentionMicros = 3'600'000'000; ///< lifetime of a claim; afterwards the key can be used again
    std::int64_t ownerMarginMicros = 2'000'000; ///< an open claim counts as in progress until this long after its deadline
    std::size_t maximumBytes = 900'000; ///< size of the stored object of the shard
    std::size_t maximumPending = 4096; ///< limit for queued requests, and for queued completions
};

struct Load { };
/// Conditional update: succeeds only if the object has the given version, or does not exist if none is given.
struct Write {
    std::string value;
    std::optional<std::uint64_t> version;
};
struct Idle { };
using ShardStep = std::variant<Idle, Load, Write>;

/// The reply to one request.
struct ClaimResolution {
    std::uint64_t request = 0;
    ClaimReply reply;
};

/// State machine of one shard at one home. Several homes may work on a shard concurrently; the conditional update
/// resolves conflicts. Not thread-safe.
class ClaimShard {
public:
    explicit ClaimShard(ClaimShardOptions options = {})
        : options_(options)
    {
    }

    void begin(std::uint64_t request, const ClaimRequest&);
    void complete(const Completion&);
    bool hasWork() const { return !begins_.empty() || !completions_.empty(); }

    /// Returns the next store operation. Its result must be reported before the next call.
    ShardStep next(std::int64_t nowMicros);

    /// Results of Load; a missing object is an empty shard.
    void loaded(const std::string& value, std::uint64_t version);
    void loadedNone();

    /// Results of Write; after writeUnknown(), the write may or may not have taken effect.
    void written(std::uint64_t version);
    void conflicted();
    void writeUnknown();

    /// The store can't be reached: rejects all pending requests; completions stay queued.
    void unavailable();

    std::vector<ClaimResolution> takeResolutions();
    std::size_t size() const { return claims_.size(); }

private:
    struct Begin {
        std::uint64_t id = 0;
        ClaimRequest request;
        bool isDrafted = false;
    };

    std::optional<ClaimReply> decide(std::int64_t nowMicros, const ClaimRequest&) const;
    void resolveDecided(std::int64_t nowMicros);
    bool draftBegins(std::int64_t nowMicros, ClaimMap& draft);
    bool draftCompletions(ClaimMap& draft);
    std::string encodeDraft(ClaimMap& draft) const;
    void resolveDrafted(ClaimResult);

    ClaimShardOptions options_;
    bool isLoaded_ = false;
    std::optional<std::uint64_t> version_;
    ClaimMap claims_; ///< content of the store at version_
    ClaimMap draft_; ///< content of the write in progress
    std::size_t draftedCompletions_ = 0;
    std::vector<Begin> begins_;
    std::vector<Completion> completions_;
    std::vector<ClaimResolution> resolutions_;
};

/// Encodings for the store and for messages between nodes. The decoders return nullopt for malformed input.
std::string encodeClaims(const ClaimMap&);
std::optional<ClaimMap> decodeClaims(const std::string&);
std::string encodeRequest(const ClaimRequest&);
std::optional<ClaimRequest> decodeRequest(const std::string&);
std::string encodeCompletion(const Completion&);
std::optional<Completion> decodeCompletion(const std::string&);
std::string encodeReply(const ClaimReply&);
std::optional<ClaimReply> decodeReply(const std::string&);

} // namespace balsamreel::AtMostOnce
