#include "balsamreel/Relay/HttpClientConnection.h"

#include "balsamreel/Relay/HttpText.h"
#include "balsamreel/Support/Numbers.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <functional>

namespace balsamreel::Relay {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t readBytes = 16 * 1024;
constexpr std::uint64_t maximumBodyBytes = 64U * 1024 * 1024;
constexpr std::uint32_t maximumHeaderBytes = 64 * 1024;
// Limit on a chunk header line of a chunked body, and on the trailer fields.
constexpr std::size_t maximumFramingBytes = 64 * 1024;
// Limit on interim responses and responses to earlier requests before the expected one.
constexpr unsigned maximumSkippedResponses = 16;
// Assumed if the server does not report how long it keeps an idle connection open.
constexpr Duration assumedIdleTimeout = std::chrono::seconds(4);
// A request may be in transit when the server closes the connection, so the connection is not reused during this time
// before the idle timeout.
constexpr Duration idleTimeoutMargin = std::chrono::milliseconds(900);
// Bounds the memory for the values of the matched header that a connection remembers.
constexpr std::size_t maximumMatchedRequests = 1000;
constexpr std::uint32_t firstStatus = 100;
constexpr std::uint32_t switchingProtocols = 101; // never asked for
constexpr std::uint32_t firstFinalStatus = 200;
constexpr std::uint32_t lastStatus = 599;

bool isValidStatus(std::uint32_t status)
{
    return status >= firstStatus && status <= lastStatus && status != switchingProtocols;
}

} // namespace

HttpClientConnection::HttpClientConnection(Loop& loop, Support::Endpoint server, std::shared_ptr<MemoryBudget> responseMemory, std::uint64_t number)
    : socket_(loop)
    , server_(std::move(server))
    , responseMemory_(std::move(responseMemory))
    , number_(number)
    , idleTimeout_(assumedIdleTimeout)
{
}

bool HttpClientConnection::isReusable(Instant now) const
{
    return isConnected_ && !isClosed_ && !isClosing_ && !done_ && now - idleSince_ < idleTimeout_ - idleTimeoutMargin;
}

// The server may send a late copy of any earlier response, also of one to an earlier sending of the same request.
bool HttpClientConnection::canMatch(std::string_view value) const
{
    return !value.empty() && std::ranges::find(sentValues_, std::hash<std::string_view>()(value)) == sentValues_.end();
}

void HttpClientConnection::exchange(std::string head, Body body, ResponseMatch match, bool isHead, Done done)
{
    output_ = std::move(head);
    body_ = std::move(body);
    match_ = std::move(match);
    isHead_ = isHead;
    done_ = std::move(done);
    isRequestWritten_ = false;
    isWriting_ = true;
    hasStreamEnded_ = false;
    skippedResponses_ = 0;
    ++requestCount_;
    if (!match_.header.empty())
        sentValues_.push_back(std::hash<std::string_view>()(match_.value));
    restartParser();
    if (isConnected_)
        return write();
    connect();
}

void HttpClientConnection::connect()
{
    auto self = shared_from_this();
    boost::system::error_code error;
    auto address = boost::asio::ip::make_address(server_.host, error);
    if (error) {
        // Posted, so that the callback never runs inside exchange().
        boost::asio::post(socket_.get_executor(), [self] { self->finish(HttpFailure::Unreachable); });
        return;
    }
    socket_.async_connect({address, server_.port}, [self](const boost::system::error_code& failure) {
        if (self->isClosed_)
            return;
        if (failure)
            return self->finish(HttpFailure::Unreachable);
        tuneSocket(self->socket_);
        self->isConnected_ = true;
        self->write();
    });
}

void HttpClientConnection::write()
{
    auto self = shared_from_this();
    std::vector<boost::asio::const_buffer> buffers{boost::asio::buffer(output_)};
    for (const auto& segment : body_.segments())
        buffers.push_back(boost::asio::buffer(segment));
    // The handler keeps the body, as the exchange may end before it is written.
    boost::asio::async_write(socket_, buffers, [self, body = std::move(body_)](const boost::system::error_code& error, std::size_t) {
        if (self->isClosed_)
            return;
        // The failure is left to the read handler, which detects it too and may still receive a response sent before it.
        self->isRequestWritten_ = !error;
        std::string().swap(self->output_); // an idle connection does not keep the memory of a long header
        self->isWriting_ = false;
        if (error)
            self->isClosing_ = true;
        if (self->hasStreamEnded_ && self->done_)
            self->onEndOfStream();
    });
    if (!isReading_)
        read();
}

void HttpClientConnection::read()
{
    isReading_ = true;
    auto self = shared_from_this();
    socket_.async_read_some(input_.prepare(readBytes), [self](const boost::system::error_code& error, std::size_t count) {
        self->isReading_ = false;
        if (self->isClosed_)
            return;
        if (!self->done_)
            return self->close(); // the server closed the idle connection, or sent bytes that belong to no request
        if (error == boost::asio::error::eof)
            return self->onEndOfStream();
        if (error)
            return self->finish(HttpFailure::ConnectionLost);
        self->input_.commit(count);
        self->parse();
    });
}

void HttpClientConnection::restartParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->skip(isHead_);
    parser_->body_limit(maximumBodyBytes);
    parser_->header_limit(maximumHeaderBytes);
    parser_->get().body() = BodyReceiver(responseMemory_, nullptr);
}

void HttpClientConnection::parse()
{
    while (input_.size() > 0) {
        boost::system::error_code error;
        auto consumed = parser_->put(input_.data(), error);
        input_.consume(consumed);
        bool needsMore = error == http::error::need_more;
        if (error == boost::system::errc::not_enough_memory)
            return finish(HttpFailure::MemoryExhausted);
        // A faulty server may send framing without end.
        if ((error && !needsMore) || (needsMore && input_.size() > maximumFramingBytes))
            return finish(HttpFailure::Malformed);
        if (needsMore)
            break;
        if (!parser_->is_done())
            continue;
        if (handleResponse())
            return;
    }
    if (!isClosed_ && done_ && !isReading_)
        read();
}

// The end of the stream completes a body without a length only if the connection was not reset. A failed write may have taken
// the error of a reset from the socket, so that the read reports an orderly end; then the body may be incomplete.
void HttpClientConnection::onEndOfStream()
{
    isClosing_ = true;
    hasStreamEnded_ = true;
    bool endsWithStream = parser_->is_header_done() && parser_->need_eof();
    if (endsWithStream && isWriting_)
        return;
    if (endsWithStream && !isRequestWritten_)
        return finish(HttpFailure::ConnectionLost);
    boost::system::error_code error;
    if (parser_->got_some())
        parser_->put_eof(error);
    if (error || !parser_->is_done())
        return finish(HttpFailure::ConnectionLost);
    if (!handleResponse())
        finish(HttpFailure::ConnectionLost);
}

// Returns false if the next response has to be read, or true if the exchange failed after too many skipped ones.
bool HttpClientConnection::skipResponse()
{
    if (++skippedResponses_ > maximumSkippedResponses) {
        finish(HttpFailure::Malformed);
        return true;
    }
    restartParser();
    return false;
}

std::string_view HttpClientConnection::matchedValue()
{
    auto value = parser_->get()[boost::beast::string_view(match_.header.data(), match_.header.size())];
    return {value.data(), value.size()};
}

// Returns false if the response was skipped and the next one has to be read.
bool HttpClientConnection::handleResponse()
{
    auto& message = parser_->get();
    auto status = message.result_int();
    if (!isValidStatus(status)) {
        finish(HttpFailure::Malformed);
        return true;
    }
    if (status < firstFinalStatus)
        return skipResponse();
    if (!match_.header.empty()) {
        auto value = matchedValue();
        if (value.empty() && requestCount_ > 1) {
            // It may belong to an earlier request.
            finish(HttpFailure::Malformed);
            return true;
        }
        if (!value.empty() && value != match_.value)
            return skipResponse();
        // A copy of a response without the value could not be told from later responses.
        if (value.empty() || sentValues_.size() >= maximumMatchedRequests)
            isClosing_ = true;
    }
    updateIdleTimeout(message.base());
    if (!message.keep_alive() || parser_->need_eof() || input_.size() > 0 || !isRequestWritten_)
        isClosing_ = true;
    finish(HttpResponse{status, message.base(), message.body().finish()});
    return true;
}

void HttpClientConnection::updateIdleTimeout(const http::fields& fields)
{
    auto value = fields[http::field::keep_alive];
    constexpr std::string_view key = "timeout=";
    std::string_view text(value.data(), value.size());
    auto start = text.find(key);
    if (start == std::string_view::npos)
        return;
    text.remove_prefix(start + key.size());
    unsigned seconds = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec == std::errc())
        idleTimeout_ = std::chrono::seconds(seconds);
}

void HttpClientConnection::finish(HttpResult result)
{
    auto done = std::move(done_);
    done_ = nullptr;
    idleSince_ = Support::monotonicNow();
    bool isFailed = std::holds_alternative<HttpFailure>(result);
    if (isFailed || isClosing_)
        close();
    else if (!isReading_)
        read(); // detects that the server closes the idle connection
    if (done)
        done(std::move(result));
}

void HttpClientConnection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    done_ = nullptr;
    parser_.reset(); // gives back the memory of an incomplete response
    boost::system::error_code ignored; // the connection may have ended already
    socket_.close(ignored);
}

} // namespace balsamreel::Relay
