// Claims on idempotency keys. Keys are divided into shards; the home of a shard is the node that reads and writes the
// shard's claims in the object store on behalf of the entries.
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

/// Both roles of a node: as an entry it sends claims to the home of a key, and it is the home of some shards itself.
/// Thread-safe.
class KeyClaims {
public:
    using Members = std::function<std::vector<Wire::MemberRecord>()>;

    KeyClaims(Context&, Members);
    ~KeyClaims();
    KeyClaims(const KeyClaims&) = delete;
    KeyClaims& operator=(const KeyClaims&) = delete;

    void start();

    /// Requests a claim from the key's home, or makes it from this node if the home does not respond. Waits until the
    /// deadline at most. On Unavailable the call must not be run and the claim must be completed as NotRun.
    AtMostOnce::ClaimReply claim(const AtMostOnce::ClaimRequest&, Support::Instant deadline);

    /// Reports the outcome of a call to the home, in the background.
    void complete(const AtMostOnce::Completion&);

    /// Serves the claims and completions of other nodes.
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

private:
    /// A claim request at this home that waits for the store.
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
    std::array<std::optional<Support::Endpoint>, AtMostOnce::claimShardCount> homes_; ///< empty if this node is the home
    std::map<std::uint64_t, Waiter*> waiters_;
    std::uint64_t nextRequest_ = 1;
    std::deque<AtMostOnce::Completion> completions_;
    bool isEnding_ = false;
    std::vector<std::thread> threads_;
};

/// A call with an Idempotency-Key header.
class KeyedCall {
public:
    KeyedCall(Context& context, KeyClaims& claims)
        : context_(context)
        , claims_(claims)
    {
    }

    /// Completes the claim, as Unknown if the call was to run and no outcome has been set.
    ~KeyedCall();
    KeyedCall(const KeyedCall&) = delete;
    KeyedCall& operator=(const KeyedCall&) = delete;

    /// Returns true if the claim is owned and the call may run. Otherwise the response has been sent to the caller.
    bool claim(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&, const RequestBody&, const std::string& route, Support::Instant deadline);

    void setOutcome(AtMostOnce::ClaimState, std::optional<AtMostOnce::RetainedResponse> retainedResponse = std::nullopt);

private:
    bool respond(const AtMostOnce::ClaimReply&, bool isBodyUnread, Poco::Net::HTTPServerResponse&);

    Context& context_;
    KeyClaims& claims_;
    std::optional<AtMostOnce::Completion> completion_;
};

} // namespace balsamreel::Node
