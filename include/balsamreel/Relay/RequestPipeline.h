// The requests of one caller's connection: bytes in, requests out; answers in, bytes out. No socket and no clock.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace balsamreel::Relay {

/// A request as it came, before it is classified.
struct IncomingRequest {
    Request request;
    boost::beast::http::fields fields; ///< all headers
};

/// Tells the requests of one connection apart, in the order in which they came.
using RequestNumber = std::uint64_t;

/// What the next bytes of the caller belong to.
enum class ReadPhase : std::uint8_t { Idle, ///< a request that has not begun
    Header,
    Body };

/// Parses requests strictly. Requests that may overlap are handed out side by side, others one at a time; answers go out
/// in the order of the requests. Input that can't be taken yet is kept up to a bound, and none of it is handed out.
class RequestPipeline {
public:
    struct Handlers {
        std::function<CallerLimits()> limits;
        std::function<bool(const IncomingRequest&)> canRunConcurrently; ///< with other requests of its connection
    };
    struct NumberedRequest {
        RequestNumber number = 0;
        IncomingRequest incoming;
    };

    explicit RequestPipeline(Handlers);

    /// Bytes that the caller has sent.
    void receive(std::string_view bytes);

    /// The next request to work on, if there is one; to be answered by answer() once.
    std::optional<NumberedRequest> takeNext();

    /// With isClosing the connection ends after the last request that was read.
    void respond(RequestNumber, ServerResponse, bool isClosing);

    /// Moves out what is to be written now.
    std::string takeOutput();

    /// More bytes can be kept.
    bool wantsInput() const;

    /// Requests were handed out and are not answered yet, or wait to be handed out.
    bool hasOpenRequests() const { return !open_.empty() || waiting_.has_value(); }

    /// The last answer is in the output; what the caller sent behind it is dropped unread.
    bool hasEnded() const { return hasEnded_; }

    ReadPhase phase() const;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// A request in the order of answers.
    struct Open {
        RequestNumber number = 0;
        bool canRunConcurrently = false;
        bool isHead = false;
        bool isLast = false; ///< its answer ends the connection
        std::optional<ServerResponse> respond;
    };

    bool isBlocked() const;
    void restartParser();
    void parse();
    bool parseSome();
    void onHeader();
    void complete();
    void reject(std::uint32_t status);
    void flush();
    std::uint32_t headerFault() const; ///< status to reject with; 0: none

    Handlers handlers_;
    boost::beast::flat_buffer input_;
    std::optional<Parser> parser_;
    std::optional<IncomingRequest> waiting_; ///< whole, and not handed out yet
    bool isWaitingLast_ = false; ///< the caller wants the connection to end with the waiting request
    std::deque<Open> open_;
    std::string output_;
    RequestNumber nextNumber_ = 1;
    bool hasSeenHeader_ = false;
    bool isContinueDue_ = false; ///< the caller waits for a sign before it sends the body
    bool isReadingDone_ = false; ///< no further request is read
    bool isClosing_ = false;
    bool hasEnded_ = false;
};

} // namespace balsamreel::Relay
