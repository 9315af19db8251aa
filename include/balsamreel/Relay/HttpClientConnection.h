// An HTTP/1.1 client connection to a server or to the store: one request at a time, complete responses only.
#pragma once

#include "balsamreel/Relay/Model.h"
#include "balsamreel/Relay/PeerConnection.h"
#include "balsamreel/Relay/ReceivedBody.h"

#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace balsamreel::Relay {

/// A complete response with all headers.
struct HttpResponse {
    std::uint32_t status = 0;
    boost::beast::http::fields fields;
    Body body;
};

enum class HttpFailure : std::uint8_t { Unreachable, ///< could not connect; nothing was sent
    ConnectionLost, ///< closed before the response was complete
    Malformed, ///< not a valid response to this request
    MemoryExhausted ///< the node has no memory for the response
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// Identifies the response to a request where the server may also send responses to other requests, or a response twice.
/// The server repeats the request's value of the header in the response.
struct ResponseMatch {
    std::string header; ///< empty: any response matches
    std::string value;
};

class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
public:
    using Done = std::function<void(HttpResult)>;

    /// Without a budget, only the size of each response is limited. The number names the connection in log lines.
    HttpClientConnection(Loop&, Support::Endpoint, std::shared_ptr<MemoryBudget> = nullptr, std::uint64_t number = 0);
    HttpClientConnection(const HttpClientConnection&) = delete;
    HttpClientConnection& operator=(const HttpClientConnection&) = delete;

    /// Connects if necessary and sends a serialized request. The callback is called once, unless close() is called first.
    void exchange(std::string text, ResponseMatch match, bool isHead, Done done) { exchange(std::move(text), Body(), std::move(match), isHead, std::move(done)); }

    /// The same with the body apart, which is not copied.
    void exchange(std::string head, Body, ResponseMatch, bool isHead, Done);

    /// Closes the connection and drops a pending callback.
    void close();

    /// Whether the connection is open and idle, and the server is not about to close it.
    bool isReusable(Instant now) const;

    /// Whether the response to a request with this value of the matched header could be told from all others that the server
    /// may still send on this connection.
    bool canMatch(std::string_view value) const;
    Instant idleSince() const { return idleSince_; }
    std::uint64_t number() const { return number_; }
    std::uint64_t requestCount() const { return requestCount_; }

private:
    using Parser = boost::beast::http::response_parser<ReceivedBody>;

    void connect();
    void write();
    void read();
    void parse();
    void onEndOfStream();
    void restartParser();
    bool skipResponse();
    bool handleResponse();
    std::string_view matchedValue(); ///< of the response; empty if it has none
    void finish(HttpResult);
    void updateIdleTimeout(const boost::beast::http::fields&);

    Socket socket_;
    Support::Endpoint server_;
    boost::beast::flat_buffer input_;
    std::optional<Parser> parser_;
    std::string output_;
    Body body_; ///< sent after output_
    std::shared_ptr<MemoryBudget> responseMemory_;
    std::uint64_t number_ = 0;
    std::uint64_t requestCount_ = 0; ///< sent so far, including the current one
    unsigned skippedResponses_ = 0; ///< since the request was sent
    ResponseMatch match_;
    std::vector<std::size_t> sentValues_; ///< hashes of the matched values of all requests so far
    Done done_;
    bool isHead_ = false;
    bool isConnected_ = false;
    bool isReading_ = false;
    bool isWriting_ = false; ///< the request
    bool isRequestWritten_ = false;
    bool hasStreamEnded_ = false; ///< the server has ended its sending side
    bool isClosed_ = false;
    bool isClosing_ = false; ///< no further request may use this connection
    Instant idleSince_;
    Duration idleTimeout_;
};

} // namespace balsamreel::Relay
