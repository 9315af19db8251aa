// One HTTP request to another process and its response, over a pooled connection; both bodies are streamed.
#pragma once

#include "balsamreel/Node/Errors.h"
#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/HttpClient.h"

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

/// A connection to a node or server.
class Session : public Support::HttpClientSession {
public:
    using Support::HttpClientSession::HttpClientSession;

    /// Reads the body of the response just received. Errors: ResponseTruncated if it ends early, CallerLeft if the sink
    /// stops.
    std::error_code readBody(const Poco::Net::HTTPResponse&, bool hasBody, const Sink&);

    /// True if the other end has closed the idle connection or sent unexpected data.
    bool isStale();

protected:
    void connect(const Poco::Net::SocketAddress&) override;
};

/// Idle connections for reuse. Thread-safe.
class ConnectionPool {
public:
    explicit ConnectionPool(Support::Duration connectTimeout = std::chrono::milliseconds(500))
        : connectTimeout_(connectTimeout)
    {
    }

    /// Returns an idle connection, or a new one that is not connected yet.
    std::unique_ptr<Session> acquire(Support::Instant now, const Support::Endpoint&);

    /// Returns a new connection that is not connected yet.
    std::unique_ptr<Session> open(const Support::Endpoint&) const;
    void release(Support::Instant now, const Support::Endpoint&, std::unique_ptr<Session>);

    /// Closes the idle connections to an endpoint after one to it was found silent or broken.
    void discard(const Support::Endpoint&);

    /// Closes connections that have been idle too long.
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

/// The body of a caller's request. Its prefix is kept in memory, so that a short body can be sent again.
class RequestBody {
public:
    explicit RequestBody(Poco::Net::HTTPServerRequest&);

    /// Reads up to maximumBufferedBytes; a body announced as longer is not read yet. Errors: RequestTruncated if the body
    /// ends early.
    std::error_code readPrefix();

    /// True if the whole body is in memory.
    bool isBuffered() const { return isBuffered_; }

    /// The part of the body in memory.
    const std::string& prefix() const { return prefix_; }

    /// True if the part that is not in memory has been read from the caller, so that the body can't be sent again.
    bool isConsumed() const { return isConsumed_; }

    /// Sets the content length or chunked transfer encoding of the request that will carry the body.
    void setFraming(Poco::Net::HTTPRequest&) const;

    /// Writes the whole body. Errors: RequestTruncated if the caller's body ends early, NoResponse if the stream fails.
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
    bool expectsContinue = false; ///< send the body only after the target's "100 Continue"
    bool isFreshConnection = false; ///< open a new connection instead of reusing an idle one
    Poco::Net::StreamSocket* caller = nullptr; ///< watched for a disconnect while waiting; null: not watched
    Support::Duration checkDelay{}; ///< duration of silence before the first check
    std::function<std::optional<Support::Duration>()> check; ///< called during silence; returns the delay until the next check, or nothing to stop waiting
    Support::Duration reusedConnectionTimeout{}; ///< maximum wait for a response on a reused connection; zero: until the deadline
    Support::Duration bodyIdleTimeout = std::chrono::seconds(5); ///< maximum silence within a response body, unless more time is left until the deadline
};

/// Sends a request and receives the head of the response; relay() then streams the body.
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

    /// Streams the body of the response into the sink, then returns the connection to the pool if it can be reused.
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

/// The socket of a request that this process serves.
Poco::Net::StreamSocket& socketOf(Poco::Net::HTTPServerRequest&);

/// True if the other end has closed its connection.
bool hasClosed(Poco::Net::StreamSocket&);

/// Copies end-to-end headers; skips Content-Length, hop-by-hop headers and balsamreel's own X-Balsam-* headers.
void copyHeaders(const Poco::Net::MessageHeader& from, Poco::Net::MessageHeader& to);

/// Sends a response with the outcome not-run; closes the connection if the request body is still unread.
void sendNotRun(Poco::Net::HTTPServerResponse&, int status, const std::string& reason, Support::Duration retryAfter, bool isBodyUnread);

/// Streams the response of an exchange to the caller. On an error the caller's connection is closed too.
std::error_code relayResponse(Exchange&, const Poco::Net::HTTPResponse& targetResponse, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&, const Session::Sink& copy = {});

/// True if the request announces a body.
bool requestHasBody(const Poco::Net::HTTPServerRequest&);

} // namespace balsamreel::Node
