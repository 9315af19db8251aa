// Asynchronous calls to the object store: one at a time per connection, each with a timeout.
#pragma once

#include "balsamreel/Relay/HttpClientConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Relay {

/// The collections that the node uses in the store.
enum class Collection : std::uint8_t { Configuration,
    Nodes };

constexpr Support::NameTable<Collection, 2> collectionNames{{{Collection::Configuration, "configuration"}, {Collection::Nodes, "nodes"}}};

/// A request in the store's own protocol.
struct StoreCall {
    std::string method;
    std::string target;
    std::string body;
};

struct StoredObject {
    std::string name;
    std::uint64_t revision = 0;
    std::string content; ///< the part that the writer set, as text
    bool isDeleted = false;
};

/// A page of a listing, or the changes that a watch returns.
struct StoreListing {
    std::vector<StoredObject> objects;
    std::uint64_t revision = 0; ///< revision to start a watch from
    bool isTruncated = false;
};

/// Translates between the node's calls and the store's protocol. Pure functions.
struct StoreCodec {
    std::function<StoreCall(Collection, const std::string& after, bool mayBeStale)> list;
    std::function<StoreCall(Collection, const std::string& name)> get;
    std::function<StoreCall(Collection, std::uint64_t revision, Duration wait)> watch;
    std::function<StoreCall(Collection, const std::string& name, const std::string& content)> create;
    std::function<StoreCall(Collection, const std::string& name, const std::string& content)> replace;
    std::function<StoreCall(Collection, const std::string& name)> remove;
    std::function<std::optional<StoredObject>(const std::string& body)> readObject;
    std::function<std::optional<StoreListing>(const std::string& body)> readListing;
    std::function<std::optional<StoreListing>(const std::string& body)> readChanges;
    std::string eraHeader; ///< counts how often the store has come back from an older copy of its data
};

/// The complete response to a call, or none if it failed or timed out.
struct StoreReply {
    std::uint32_t status = 0; ///< HTTP status; 0: no response
    std::string body;
    std::optional<std::uint64_t> era; ///< null if the response does not tell
};

/// Sends calls over a pool of connections, one per open call.
class StoreCalls {
public:
    using Done = std::function<void(StoreReply)>;

    StoreCalls(Loop&, Support::Endpoint store, std::string eraHeader);

    void call(const StoreCall&, Duration timeout, Done);

    /// The newest era that a response or another node has named; 0: none.
    std::uint64_t era() const { return era_; }

    /// Records the era that another node or a response names.
    void recordEra(std::uint64_t era);

    /// Whether the response shows the store as it was before it came back from its newest copy.
    bool isOutdated(const StoreReply& reply) const { return reply.era && *reply.era < era_; }

    /// Called when the era rises: the store has come back from an older copy. Not called for the first era.
    std::function<void()> onEraRise;

    /// Calls sent so far.
    std::uint64_t count() const { return count_; }
    void close();

private:
    std::optional<std::uint64_t> eraOf(const boost::beast::http::fields&) const;

    Loop& loop_;
    Support::Endpoint store_;
    std::string eraHeader_;
    std::vector<std::shared_ptr<HttpClientConnection>> idle_;
    std::uint64_t count_ = 0;
    std::uint64_t era_ = 0;
    bool isClosed_ = false;
};

} // namespace balsamreel::Relay
