// Claims on idempotency keys: who may run a keyed call, and what became of it.
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

enum class ClaimState : std::uint8_t { Open, ///< its owner may run the call
    Done, ///< the call ran
    NotRun, ///< its owner gave it up; another may claim the key
    Unknown ///< the call may have run
};

/// Names one entry's right to run a keyed call.
using ClaimToken = Wire::AttemptId;

/// A claim as it stands in the store. Times are wall micros.
struct Claim {
    ClaimToken token;
    ClaimState state = ClaimState::Open;
    std::uint64_t fingerprint = 0; ///< of the request; another request with the same key is refused
    std::int64_t deadline = 0; ///< after this an open claim's owner has lost its outcome
    std::int64_t expiry = 0;
    std::optional<RetainedResponse> answer; ///< of a Done claim, if it was short
};

using ClaimMap = std::map<std::string, Claim>; ///< by digest of the key

/// An entry asks for the right to run a call.
struct ClaimRequest {
    std::string key; ///< digest
    ClaimToken token;
    std::uint64_t fingerprint = 0;
    std::int64_t deadline = 0; ///< wall micros
};

/// The owner tells what became of its call.
struct Completion {
    std::string key;
    ClaimToken token;
    ClaimState state = ClaimState::Unknown;
    std::optional<RetainedResponse> answer;
};

enum class ClaimResult : std::uint8_t { Owned, ///< the claim is in the store: this call alone may run
    Done,
    InProgress,
    Unknown,
    Mismatch, ///< the key was used for another request
    Full, ///< no room for further claims
    Unavailable ///< the store did not take the claim
};

constexpr Support::NameTable<ClaimResult, 7> claimResultNames{{{ClaimResult::Owned, "owned"}, {ClaimResult::Done, "done"}, {ClaimResult::InProgress, "in-progress"}, {ClaimResult::Unknown, "unknown"}, {ClaimResult::Mismatch, "key-reused"}, {ClaimResult::Full, "claims-full"}, {ClaimResult::Unavailable, "store-unavailable"}}};

struct ClaimReply {
    ClaimResult result = ClaimResult::Unavailable;
    std::optional<RetainedResponse> answer;
};

constexpr std::size_t claimShardCount = 64;
constexpr std::size_t maximumKeyBytes = 64; ///< of a digest
constexpr std::size_t maximumClaimResponseBytes = 1024;

/// The shard that holds a key's claim.
std::size_t shardOf(const std::string& key);

/// Rendezvous hashing: the index of the name that is home to a shard. The list must not be empty.
std::size_t homeOf(std::size_t shard, const std::vector<std::string>& names);

struct ClaimShardOptions {
    std::int64_t retentionMicros = 3'600'000'000; ///< of a claim, after which its key is as new
    std::int64_t ownerMarginMicros = 2'000'000; ///< an open claim is in progress until its deadline and this much more
    std::size_t maximumBytes = 900'000; ///< of the shard's object
    std::size_t maximumPending = 4096; ///< requests and completions that wait
};

struct Load { };
/// A conditional update: only if the object's version is the one given, or if there is no object yet.
struct Write {
    std::string value;
    std::optional<std::uint64_t> version;
};
struct Idle { };
using ShardStep = std::variant<Idle, Load, Write>;

/// An answer to one request.
struct ClaimResolution {
    std::uint64_t request = 0;
    ClaimReply reply;
};

/// What one home knows of one shard, and its next step. Any number of homes may work on a shard at once: only the
/// conditional update decides. Not thread-safe.
class ClaimShard {
public:
    explicit ClaimShard(ClaimShardOptions options = {})
        : options_(options)
    {
    }

    void begin(std::uint64_t request, const ClaimRequest&);
    void complete(const Completion&);
    bool hasWork() const { return !begins_.empty() || !completions_.empty(); }

    /// What to do at the store now; the result must be reported before the next step.
    ShardStep next(std::int64_t nowMicros);

    /// Results of Load; no object is an empty shard.
    void loaded(const std::string& value, std::uint64_t version);
    void loadedNone();

    /// Results of Write. Unknown: it may or may not have taken effect.
    void written(std::uint64_t version);
    void conflicted();
    void writeUnknown();

    /// The store can't be reached: all requests are answered; completions wait.
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
    ClaimMap claims_; ///< as the store held them at that version
    ClaimMap draft_; ///< as they are in the write under way
    std::size_t draftedCompletions_ = 0;
    std::vector<Begin> begins_;
    std::vector<Completion> completions_;
    std::vector<ClaimResolution> resolutions_;
};

/// Encoded forms, for the store and between nodes. The decoders give nothing if malformed.
std::string encodeClaims(const ClaimMap&);
std::optional<ClaimMap> decodeClaims(const std::string&);
std::string encodeRequest(const ClaimRequest&);
std::optional<ClaimRequest> decodeRequest(const std::string&);
std::string encodeCompletion(const Completion&);
std::optional<Completion> decodeCompletion(const std::string&);
std::string encodeReply(const ClaimReply&);
std::optional<ClaimReply> decodeReply(const std::string&);

} // namespace balsamreel::AtMostOnce
