// Parses the requests of one caller's connection and serializes the responses. Uses no socket and no clock.
#pragma once

#include "balsamreel/Relay/Model.h"
#include "balsamreel/Relay/ReceivedBody.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace balsamreel::Relay {

/// A received request that has not been routed yet.
struct IncomingRequest {
    Request request;
    boost::beast::http::fields fields; ///< all headers
};

/// Identifies a request within its connection. Numbers rise in the order of arrival.
using RequestNumber = std::uint64_t;

/// The part of a request that the next received bytes belong to.
enum class ReadPhase : std::uint8_t { Idle, ///< the next request has not begun
    Header,
    Body };

/// Parses requests strictly. Requests that can run concurrently are returned together, all others one at a time. Responses
/// are written in the order of the requests. Input that can't be processed yet is buffered up to a limit.
class RequestPipeline {
public:
    struct Handlers {
        std::function<CallerLimits()> limits;
        std::function<bool(const IncomingRequest&)> canRunConcurrently; ///< with other requests of the same connection
        std::shared_ptr<MemoryBudget> memory = nullptr; ///< of requests; null: only the size of each request is limited
        std::function<void()> onBodyRefused = nullptr; ///< there is output, as the body was dropped to make room for others
    };
    struct NumberedRequest {
        RequestNumber number = 0;
        IncomingRequest incoming;
    };

    explicit RequestPipeline(Handlers);
    RequestPipeline(const RequestPipeline&) = delete;
    RequestPipeline& operator=(const RequestPipeline&) = delete;

    /// Processes bytes received from the caller.
    void receive(std::string_view bytes);

    /// Returns the next request that may start, if any. Exactly one call of respond() is due for it.
    std::optional<NumberedRequest> takeNext();

    /// Sets the response to a request. With isClosing, the connection ends after the last request that has been read.
    void respond(RequestNumber, ServerResponse, bool isClosing);

    /// Returns the bytes to write next, a limited number at a time; empty if there are none.
    std::string takeOutput();

    /// Drops all responses, for a connection that is closed.
    void dropOutput();

    /// Whether more input can be buffered.
    bool wantsInput() const;

    /// Whether requests were returned and have no response yet, or wait to be returned.
    bool hasOpenRequests() const { return !open_.empty() || pending_.has_value(); }

    /// Whether the last response is in the output. Later input is dropped unread.
    bool hasEnded() const { return hasEnded_; }

    ReadPhase phase() const;

private:
    using Parser = boost::beast::http::request_parser<ReceivedBody>;

    /// A request that waits for its response or for the responses before it.
    struct OpenRequest {
        RequestNumber number = 0;
        bool canRunConcurrently = false;
        bool isHead = false;
        bool isLast = false; ///< the connection ends after its response
        std::optional<ServerResponse> response;
    };

    /// A serialized response that takeOutput() has not returned completely.
    struct Output {
        std::string head;
        Body body;
        std::size_t nextSegment = 0; ///< of the body
        bool isHeadTaken = false;
    };

    bool isBlocked() const;
    void addOutput(std::string head, Body);
    void takeFrom(Output&, std::string& text);
    std::size_t inputLimit() const;
    bool chargeInput();
    void dropInput();
    void restartParser();
    void parse();
    bool parseSome();
    void onHeaderComplete();
    void onRequestComplete();
    void reject(std::uint32_t status);
    void onBodyRefused();
    void writeResponses();
    std::uint32_t checkHeader() const; ///< returns the status to reject the request with; 0: valid

    Handlers handlers_;
    boost::beast::flat_buffer input_;
    std::optional<Parser> parser_;
    std::optional<IncomingRequest> pending_; ///< complete, but not returned by takeNext() yet
    bool isPendingLast_ = false; ///< the caller asks to close the connection after the pending request
    std::deque<OpenRequest> open_;
    std::deque<Output> output_;
    std::size_t outputBytes_ = 0; ///< that takeOutput() has not returned
    MemoryReservation inputMemory_; ///< of input_
    RequestNumber nextNumber_ = 1;
    bool hasSeenHeader_ = false;
    bool isContinueDue_ = false; ///< the caller waits for "100 Continue" before it sends the body
    bool isReadingDone_ = false; ///< no further request is read
    bool isClosing_ = false;
    bool hasEnded_ = false;
};

} // namespace balsamreel::Relay
