// Claims on idempotency keys between entries, homes and the object store.
#pragma once

#include "balsamreel/AtMostOnce/Claims.h"
#include "balsamreel/Node/Context.h"
#include "balsamreel/Store/Client.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <array>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace balsamreel::Node {

/// Both sides of claiming: asks a key's home, and is home to some shards. Thread-safe.
class KeyClaims {
public:
    using Members = std::function<std::vector<Wire::MemberRecord>()>;

    KeyClaims(Context&, Members);
    ~KeyClaims();
    KeyClaims(const KeyClaims&) = delete;
    KeyClaims& operator=(const KeyClaims&) = delete;

    void start();

    /// Asks for a claim at the key's home, or through this node if the home does not answer. Waits until the deadline
    /// at most. Unavailable: the caller must not run the call, and completes the claim as NotRun.
    AtMostOnce::ClaimReply claim(const AtMostOnce::ClaimRequest&, Support::Instant deadline);

    /// Tells the home what became of a call, in the background.
    void complete(const AtMostOnce::Completion&);

    /// Serves other nodes' claims and completions.
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

private:
    /// A request at this home that waits for the store.
    struct Waiter {
        std::condition_variable resolved;
        std::optional<AtMostOnce::ClaimReply> reply;
    };
    struct Shard {
        AtMostOnce::ClaimShard claims;
        Support::Instant nextStep;
    };

    AtMostOnce::ClaimReply claimLocally(const AtMostOnce::ClaimRequest&, Support::Instant deadline);
    std::optional<std::string> post(const Support::Endpoint&, const char* kind, const std::string& body, Support::Duration timeout);
    std::optional<Support::Endpoint> remoteHome(std::size_t shard) const;
    void refreshHomes();
    void runShards(std::size_t worker);
    void runCompletions();
    void step(std::size_t shard, std::unique_lock<std::mutex>&);
    void load(std::size_t shard, std::unique_lock<std::mutex>&);
    void write(std::size_t shard, const AtMostOnce::Write&, std::unique_lock<std::mutex>&);
    void resolve(Shard&);
    std::string objectKey(std::size_t shard) const;

    Context& context_;
    Members members_;
    std::optional<Store::Client> store_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::array<Shard, AtMostOnce::claimShardCount> shards_;
    std::array<std::optional<Support::Endpoint>, AtMostOnce::claimShardCount> homes_; ///< nothing: this node
    std::map<std::uint64_t, Waiter*> waiters_;
    std::uint64_t nextRequest_ = 1;
    std::deque<AtMostOnce::Completion> completions_;
    bool isEnding_ = false;
    std::vector<std::thread> threads_;
};

/// A call that brings an Idempotency-Key.
class KeyedCall {
public:
    KeyedCall(Context& context, KeyClaims& claims)
        : context_(context)
        , claims_(claims)
    {
    }

    /// Completes the claim: as Unknown unless an outcome has been set.
    ~KeyedCall();
    KeyedCall(const KeyedCall&) = delete;
    KeyedCall& operator=(const KeyedCall&) = delete;

    /// True if the claim is owned and the call may run. If not, the caller has been answered.
    bool claim(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&, const RequestBody&, const std::string& route, Support::Instant deadline);

    void setOutcome(AtMostOnce::ClaimState, std::optional<AtMostOnce::RetainedResponse> answer = std::nullopt);

private:
    bool answer(const AtMostOnce::ClaimReply&, bool isBodyUnread, Poco::Net::HTTPServerResponse&);

    Context& context_;
    KeyClaims& claims_;
    std::optional<AtMostOnce::Completion> completion_;
};

} // namespace balsamreel::Node
