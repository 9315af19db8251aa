// Client of the platform's object store over HTTP.
#pragma once

#include "balsamreel/Store/Breaker.h"
#include "balsamreel/Store/CallBudget.h"
#include "balsamreel/Store/ObjectStore.h"
#include "balsamreel/Support/Endpoint.h"

#include <atomic>
#include <list>
#include <memory>
#include <mutex>

namespace Poco::Net {
class HTTPResponse;
} // namespace Poco::Net

namespace balsamreel::Store {

struct ClientOptions {
    Support::Duration timeout = std::chrono::seconds(2); ///< for one call, in addition to the wait time of a watch
    double callsPerSecond = 20; ///< rate limit of this client; a watch counts as one call
    double burst = 200; ///< calls that may be made at once after an idle period
    BreakerOptions breaker;
};

/// Calls the store over persistent connections, subject to a call budget and a circuit breaker. Thread-safe.
class Client : public ObjectStore {
public:
    explicit Client(Support::Endpoint store, Support::Duration timeout = std::chrono::seconds(2));
    Client(Support::Endpoint store, const ClientOptions&);
    ~Client() override;
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    std::error_code get(const std::string& key, Object&) override;
    std::error_code list(const std::string& prefix, Listing&) override;
    std::error_code put(const std::string& key, const std::string& value, const Precondition&, std::uint64_t& version) override;
    std::error_code remove(const std::string& key, const Precondition&) override;

    /// Waits until an object below the prefix changes after revision or the wait time expires. Sets newest to the newest
    /// revision. Errors: Unavailable, BudgetSpent, Malformed.
    std::error_code watch(const std::string& prefix, std::uint64_t revision, Support::Duration wait, std::uint64_t& newest);

    /// Returns the number of calls made so far, including retries.
    std::uint64_t calls() const { return calls_; }

    /// Returns true if the circuit breaker is open or half-open, so that calls are rejected or limited to trials.
    bool isBreakerTripped() const;

private:
    struct Request;
    struct Reply;
    struct Connection;

    std::error_code call(const Request&, Reply&);
    std::error_code exchange(const Request&, Connection&, Reply&);
    std::error_code admit();
    std::error_code reportToBreaker(std::error_code);
    std::unique_ptr<Connection> acquire();
    void release(std::unique_ptr<Connection>);
    void closeIdleConnections();

    Support::Endpoint store_;
    ClientOptions options_;
    std::atomic<std::uint64_t> calls_{0};
    mutable std::mutex mutex_;
    CallBudget budget_; ///< guarded by mutex_
    Breaker breaker_; ///< guarded by mutex_
    std::list<std::unique_ptr<Connection>> idle_; ///< guarded by mutex_
};

} // namespace balsamreel::Store
