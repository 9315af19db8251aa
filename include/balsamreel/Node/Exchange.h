// One request to another process and its answer, over a pooled connection, streamed both ways.
#pragma once

#include "balsamreel/Node/Errors.h"
#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Endpoint.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>

namespace balsamreel::Node {

/// A connection to a node or server whose bodies are read with a check that they are whole.
class Session : public Poco::Net::HTTPClientSession {
public:
    using Poco::Net::HTTPClientSession::HTTPClientSession;

    /// Takes parts of a body; false stops the reading.
    using Sink = std::function<bool(const char* data, std::size_t size)>;

    /// Reads the body of the answer just received; ResponseTruncated if it is not whole.
    std::error_code readBody(const Poco::Net::HTTPResponse&, bool hasBody, const Sink&);

    /// The peer has closed the idle connection, or sent something unasked.
    bool isStale();

protected:
    void connect(const Poco::Net::SocketAddress&) override;

private:
    std::error_code readFixed(std::uint64_t length, const Sink&);
    std::error_code readChunked(const Sink&);
    std::error_code readToEnd(const Sink&);
    bool readChunkSize(std::uint64_t& size);
    bool skipLine();
};

/// Idle connections to be used again. Thread-safe.
class ConnectionPool {
public:
    explicit ConnectionPool(Support::Duration connectTimeout = std::chrono::milliseconds(500))
        : connectTimeout_(connectTimeout)
    {
    }

    /// An idle connection, or a new one that is not yet open.
    std::unique_ptr<Session> acquire(Support::Instant now, const Support::Endpoint&);

    /// A connection that is not yet open.
    std::unique_ptr<Session> open(const Support::Endpoint&) const;
    void release(Support::Instant now, const Support::Endpoint&, std::unique_ptr<Session>);

    /// Closes the idle connections to an address at which one has been found silent or broken.
    void discard(const Support::Endpoint&);

    /// Closes what has been idle too long.
    void tick(Support::Instant now);
    std::size_t idleCount() const;

private:
    struct Idle {
        std::unique_ptr<Session> session;
        Support::Instant since;
    };

    static constexpr Support::Duration maximumIdle = std::chrono::seconds(10);
    static constexpr std::size_t maximumIdlePerEndpoint = 64;

    Support::Duration connectTimeout_;
    mutable std::mutex mutex_;
    std::map<Support::Endpoint, std::list<Idle>> idle_;
};

/// The body of a caller's request: its first part in memory, so that small ones can be sent again.
class RequestBody {
public:
    explicit RequestBody(Poco::Net::HTTPServerRequest&);

    /// Reads up to the kept size. RequestTruncated if the body ends early.
    std::error_code readPrefix();

    /// All of the body is in memory.
    bool isBuffered() const { return isBuffered_; }

    /// The part in memory.
    const std::string& prefix() const { return prefix_; }

    /// The part that is not in memory has been taken from the caller, so it can't be sent again.
    bool isConsumed() const { return isConsumed_; }

    /// Sets the length or chunked coding of the request that will carry the body.
    void setFraming(Poco::Net::HTTPRequest&) const;

    /// Writes all of it. RequestTruncated if the caller's part ends early.
    std::error_code writeTo(std::ostream&);

    static constexpr std::size_t maximumBufferedBytes = 64 * 1024;

private:
    bool isTruncated(std::uint64_t total) const;

    Poco::Net::HTTPServerRequest& request_;
    std::string prefix_;
    bool isBuffered_ = false;
    bool isConsumed_ = false;
};

/// Options of one exchange.
struct ExchangeOptions {
    Support::Endpoint target;
    Support::Instant deadline;
    bool expectsContinue = false; ///< a long body is sent only after the target's "100 Continue"
    bool isFreshConnection = false; ///< use no idle connection
    Poco::Net::StreamSocket* caller = nullptr; ///< watched while waiting; null: not watched
    Support::Duration checkDelay{}; ///< silence before the first check
    std::function<std::optional<Support::Duration>()> check; ///< gives the silence before the next one, or nothing to stop waiting
    Support::Duration reusedConnectionTimeout{}; ///< longest wait on a connection that was idle before; zero: until the deadline
    Support::Duration bodyIdleTimeout = std::chrono::seconds(5); ///< longest silence in mid-body, if more than the time left
};

/// Sends a request and receives the head of the answer; then relay() streams the body.
class Exchange {
public:
    Exchange(ConnectionPool& pool, ExchangeOptions options)
        : pool_(pool)
        , options_(std::move(options))
    {
    }
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    /// Errors: ExchangeError.
    std::error_code start(Poco::Net::HTTPRequest&, RequestBody&, Poco::Net::HTTPResponse&);

    /// Streams the answer's body into the sink; afterwards the connection may serve others.
    std::error_code relay(const Poco::Net::HTTPResponse&, bool hasBody, const Session::Sink&);

private:
    std::error_code sendAndWait(Poco::Net::HTTPRequest&, RequestBody&, Poco::Net::HTTPResponse&);
    std::error_code waitReadable();
    void setReceiveTimeout();

    ConnectionPool& pool_;
    ExchangeOptions options_;
    std::unique_ptr<Session> session_;
    bool wasSent_ = false;
    bool isReused_ = false;
};

/// The socket behind a server's request.
Poco::Net::StreamSocket& socketOf(Poco::Net::HTTPServerRequest&);

/// The other end has closed its connection.
bool hasClosed(Poco::Net::StreamSocket&);

/// Copies end-to-end headers; those of the connection and of balsamreel itself stay behind.
void copyHeaders(const Poco::Net::MessageHeader& from, Poco::Net::MessageHeader& to);

/// Answers with "not run" and closes the connection if a body is still unread.
void sendNotRun(Poco::Net::HTTPServerResponse&, int status, const std::string& reason, Support::Duration retryAfter, bool isBodyUnread);

/// Streams an exchange's answer to the caller. ResponseTruncated: the caller's connection has been cut too.
std::error_code relayResponse(Exchange&, const Poco::Net::HTTPResponse& answer, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&, const Session::Sink& copy = {});

/// The request announces a body.
bool requestHasBody(const Poco::Net::HTTPServerRequest&);

/// An answer of this status to this method carries a body.
bool responseHasBody(const std::string& method, int status);

} // namespace balsamreel::Node
