#include "balsamreel/Relay/HttpClientConnection.h"

#include "balsamreel/Relay/HttpText.h"
#include "balsamreel/Support/Numbers.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

#include <charconv>

namespace balsamreel::Relay {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t readBytes = 16 * 1024;
constexpr std::uint64_t maximumBodyBytes = 64U * 1024 * 1024;
constexpr std::uint32_t maximumHeaderBytes = 64 * 1024;
// Of a line that belongs to the framing of a chunked body, and of the fields behind it.
constexpr std::size_t maximumFramingBytes = 64 * 1024;
// Interim answers and answers to earlier requests in front of the one that is waited for.
constexpr unsigned maximumSkippedReplies = 16;
// Used where the server does not say how long it keeps an idle connection.
constexpr Duration assumedIdleLimit = std::chrono::seconds(4);
// The server may end a connection while a request is on its way; it is left alone for this long before.
constexpr Duration idleMargin = std::chrono::milliseconds(900);
constexpr std::uint32_t firstFinalStatus = 200;

} // namespace

HttpClientConnection::HttpClientConnection(Loop& loop, Support::Endpoint server, std::shared_ptr<ResponseMemoryBudget> memory)
    : socket_(loop)
    , server_(std::move(server))
    , memory_(std::move(memory))
    , idleLimit_(assumedIdleLimit)
{
}

bool HttpClientConnection::isReusable(Instant now) const
{
    return isConnected_ && !isClosed_ && !isLast_ && !done_ && now - idleSince_ < idleLimit_ - idleMargin;
}

void HttpClientConnection::exchange(std::string text, ResponseMatch mark, bool isHead, Done done)
{
    output_ = std::move(text);
    mark_ = std::move(mark);
    isHead_ = isHead;
    done_ = std::move(done);
    isWritten_ = false;
    skipped_ = 0;
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
        // Reported later, so that the caller isn't called back from inside its own call.
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
    boost::asio::async_write(socket_, boost::asio::buffer(output_), [self](const boost::system::error_code& error, std::size_t) {
        if (self->isClosed_)
            return;
        // The reading side sees the end too, and may still hold an answer that came before it.
        self->isWritten_ = !error;
        if (error)
            self->isLast_ = true;
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
            return self->close(); // the end of an idle connection, or bytes that belong to no request
        if (error == boost::asio::error::eof)
            return self->parseEnd();
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
}

void HttpClientConnection::parse()
{
    while (input_.size() > 0) {
        boost::system::error_code error;
        auto used = parser_->put(input_.data(), error);
        input_.consume(used);
        bool needsMore = error == http::error::need_more;
        if ((error && !needsMore) || !isWithinBounds(needsMore))
            return finish(HttpFailure::Malformed);
        if (needsMore)
            break;
        if (!parser_->is_done())
            continue;
        if (takeResponse())
            return;
    }
    if (!isClosed_ && done_ && !isReading_)
        read();
}

// A server in trouble may send bytes without end.
bool HttpClientConnection::isWithinBounds(bool needsMore)
{
    if (needsMore && input_.size() > maximumFramingBytes)
        return false;
    return hold(input_.size() + parser_->get().body().size());
}

// False if all unfinished answers together hold too much.
bool HttpClientConnection::hold(std::size_t bytes)
{
    if (!memory_)
        return true;
    memory_->held = memory_->held - held_ + bytes;
    held_ = bytes;
    return memory_->held <= memory_->limit;
}

void HttpClientConnection::parseEnd()
{
    isLast_ = true;
    boost::system::error_code error;
    if (parser_->got_some())
        parser_->put_eof(error);
    if (error || !parser_->is_done())
        return finish(HttpFailure::ConnectionLost);
    if (!takeResponse())
        finish(HttpFailure::ConnectionLost);
}

// False if the next message has to be read.
bool HttpClientConnection::skipResponse()
{
    if (++skipped_ > maximumSkippedReplies) {
        finish(HttpFailure::Malformed);
        return true;
    }
    restartParser();
    return false;
}

// False if the message read is not the answer and the next one has to be read.
bool HttpClientConnection::takeResponse()
{
    auto& message = parser_->get();
    auto status = message.result_int();
    if (status < firstFinalStatus)
        return skipResponse();
    if (!mark_.header.empty()) {
        auto value = message[boost::beast::string_view(mark_.header.data(), mark_.header.size())];
        bool isOther = !value.empty() && std::string_view(value.data(), value.size()) != mark_.value;
        if (isOther)
            return skipResponse();
    }
    noteKeepAlive(message.base());
    if (!message.keep_alive() || parser_->need_eof() || input_.size() > 0 || !isWritten_)
        isLast_ = true;
    finish(HttpResponse{status, message.base(), std::move(message.body())});
    return true;
}

void HttpClientConnection::noteKeepAlive(const http::fields& fields)
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
        idleLimit_ = std::chrono::seconds(seconds);
}

void HttpClientConnection::finish(HttpResult result)
{
    auto done = std::move(done_);
    done_ = nullptr;
    hold(0);
    idleSince_ = Support::monotonicNow();
    bool isFailed = std::holds_alternative<HttpFailure>(result);
    if (isFailed || isLast_)
        close();
    else if (!isReading_)
        read(); // sees the end of the connection while it is idle
    if (done)
        done(std::move(result));
}

void HttpClientConnection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    hold(0);
    done_ = nullptr;
    boost::system::error_code ignored; // the connection may have ended already
    socket_.close(ignored);
}

} // namespace balsamreel::Relay
