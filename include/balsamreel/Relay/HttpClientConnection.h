// One HTTP/1.1 connection to a server or to the store: one request at a time, whole answers only.
#pragma once

#include "balsamreel/Relay/Model.h"
#include "balsamreel/Relay/PeerConnection.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace balsamreel::Relay {

/// A whole answer as it came, with all headers.
struct HttpResponse {
    std::uint32_t status = 0;
    boost::beast::http::fields fields;
    std::string body;
};

enum class HttpFailure : std::uint8_t { Unreachable, ///< no connection; nothing was sent
    ConnectionLost, ///< ended before the whole answer was in
    Malformed ///< not an answer to this request
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// Names the answers that belong to a request, where the server can send others.
struct ResponseMatch {
    std::string header; ///< empty: any answer belongs to the request
    std::string value;
};

/// Bounds what unfinished answers on several connections hold together, in bytes.
struct ResponseMemoryBudget {
    std::size_t limit = 0;
    std::size_t held = 0;
};

class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
public:
    using Done = std::function<void(HttpResult)>;

    /// Without a memory of its own, only each answer by itself is bounded.
    HttpClientConnection(Loop&, Support::Endpoint, std::shared_ptr<ResponseMemoryBudget> = nullptr);
    ~HttpClientConnection() { hold(0); }
    HttpClientConnection(const HttpClientConnection&) = delete;
    HttpClientConnection& operator=(const HttpClientConnection&) = delete;

    /// Sends the bytes of one request, after connecting if need be. The callback comes once, unless close() comes first.
    void exchange(std::string text, ResponseMatch, bool isHead, Done);

    /// Ends the connection; a pending callback is dropped.
    void close();

    /// Open, idle, and not announced by the server to end by now.
    bool isReusable(Instant now) const;
    Instant idleSince() const { return idleSince_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read();
    void parse();
    void parseEnd();
    void restartParser();
    bool hold(std::size_t bytes);
    bool isWithinBounds(bool needsMore);
    bool skipResponse();
    bool takeResponse();
    void finish(HttpResult);
    void noteKeepAlive(const boost::beast::http::fields&);

    Socket socket_;
    Support::Endpoint server_;
    boost::beast::flat_buffer input_;
    std::optional<Parser> parser_;
    std::string output_;
    std::shared_ptr<ResponseMemoryBudget> memory_;
    std::size_t held_ = 0; ///< part of this connection in memory_
    unsigned skipped_ = 0; ///< messages that were not the answer, since the request was sent
    ResponseMatch mark_;
    Done done_;
    bool isHead_ = false;
    bool isConnected_ = false;
    bool isReading_ = false;
    bool isWritten_ = false;
    bool isClosed_ = false;
    bool isLast_ = false; ///< no further request may use this connection
    Instant idleSince_;
    Duration idleLimit_;
};

} // namespace balsamreel::Relay
