#include "balsamreel/Relay/CallerConnection.h"

#include <boost/asio/write.hpp>

namespace balsamreel::Relay {

namespace {

// After the last response the connection is half-closed and further input is discarded: closing a socket with unread
// input resets the connection, and the reset can destroy a response that the caller has not read yet.
constexpr Duration lingerTimeout = std::chrono::seconds(1);
constexpr std::size_t maximumLingeredBytes = 1024 * 1024;

} // namespace

CallerConnection::CallerConnection(Socket socket, Handlers handlers)
    : socket_(std::move(socket))
    , handlers_(std::move(handlers))
    , pipeline_({handlers_.limits, handlers_.canRunConcurrently, handlers_.requestMemory, [this] { advance(); }})
    , timer_(socket_.get_executor())
    , outputMemory_(handlers_.responseMemory)
    , lastReadAt_(Support::monotonicNow())
{
}

void CallerConnection::start()
{
    armTimer(handlers_.limits().idleTimeout);
    read();
}

// On expiry closes the connection if a write has stalled or no request is open. Open requests have deadlines of their own.
void CallerConnection::armTimer(Duration duration)
{
    std::weak_ptr<CallerConnection> weak = shared_from_this();
    timer_.expires_after(duration);
    timer_.async_wait([weak](const boost::system::error_code& cancelled) {
        auto self = weak.lock();
        if (!cancelled && self && (self->isWriting_ || !self->pipeline_.hasOpenRequests()))
            self->close();
    });
}

// The header timeout runs from the first bytes of a request. The timeout for a body restarts with every read, so a body
// may take any time as long as bytes keep arriving.
void CallerConnection::armReadTimer()
{
    auto phase = pipeline_.phase();
    bool isSameHeader = phase == ReadPhase::Header && phase_ == ReadPhase::Header;
    if (isSameHeader || isWriting_ || pipeline_.hasOpenRequests())
        return;
    phase_ = phase;
    auto limits = handlers_.limits();
    armTimer(phase == ReadPhase::Header ? limits.headerTimeout : limits.idleTimeout);
}

// Dispatches the requests that may start, writes finished responses and continues to read.
void CallerConnection::advance()
{
    if (isAdvancing_ || isClosed_ || isLingering_)
        return;
    auto self = shared_from_this();
    isAdvancing_ = true;
    while (auto next = pipeline_.takeNext()) {
        phase_ = ReadPhase::Idle;
        handlers_.onRequest({self, next->number}, std::move(next->incoming));
        if (isClosed_)
            break;
    }
    isAdvancing_ = false;
    write();
    armReadTimer();
    read();
}

void CallerConnection::read()
{
    bool wantsInput = isLingering_ || pipeline_.wantsInput();
    if (isReading_ || isClosed_ || !wantsInput)
        return;
    isReading_ = true;
    auto self = shared_from_this();
    socket_.async_read_some(boost::asio::buffer(input_), [self](const boost::system::error_code& error, std::size_t count) {
        self->isReading_ = false;
        if (!self->isClosed_)
            self->onRead(error, count);
    });
}

void CallerConnection::onRead(const boost::system::error_code& error, std::size_t count)
{
    if (error) {
        if (pipeline_.hasOpenRequests())
            handlers_.onCallerLeft(shared_from_this());
        return close();
    }
    if (isLingering_) {
        lingeredBytes_ += count;
        return lingeredBytes_ > maximumLingeredBytes ? close() : read();
    }
    lastReadAt_ = Support::monotonicNow();
    pipeline_.receive({input_.data(), count});
    advance();
}

void CallerConnection::respond(RequestNumber number, ServerResponse response)
{
    if (isClosed_)
        return;
    pipeline_.respond(number, std::move(response), handlers_.isShuttingDown());
    advance();
}

void CallerConnection::write()
{
    if (isWriting_ || isClosed_)
        return;
    output_ = pipeline_.takeOutput();
    outputMemory_.resize(output_.size());
    if (output_.empty())
        return unread_.detach();
    isWriting_ = true;
    lastWriteAt_ = Support::monotonicNow();
    if (!unread_.isAttached()) {
        writtenBytes_ = 0;
        unread_.attach(handlers_.responseMemory, lastWriteAt_, [this] { close(); });
    }
    auto self = shared_from_this();
    auto untilComplete = [self](const boost::system::error_code& error, std::size_t written) {
        self->onWriteProgress(written);
        return boost::asio::transfer_all()(error, written);
    };
    boost::asio::async_write(socket_, boost::asio::buffer(output_), untilComplete, [self](const boost::system::error_code& error, std::size_t) {
        self->isWriting_ = false;
        if (self->isClosed_)
            return;
        if (error)
            return self->onRead(error, 0);
        self->writtenBytes_ += self->output_.size();
        self->phase_ = ReadPhase::Idle;
        self->write();
        if (self->isWriting_)
            return;
        if (self->pipeline_.hasEnded())
            return self->linger();
        self->advance();
    });
}

// Every partial write restarts the timer, so a caller that reads nothing of its response for this long is disconnected.
void CallerConnection::onWriteProgress(std::size_t written)
{
    if (isClosed_)
        return;
    armTimer(handlers_.limits().idleTimeout);
    lastWriteAt_ = Support::monotonicNow();
    unread_.recordProgress(writtenBytes_ + written, lastWriteAt_);
}

// Closes the sending side and waits for the caller to read the response and close the connection.
void CallerConnection::linger()
{
    boost::system::error_code ignored; // the caller may have closed the connection already
    socket_.shutdown(boost::asio::socket_base::shutdown_send, ignored);
    isLingering_ = true;
    armTimer(lingerTimeout);
    read();
}

bool CallerConnection::isIdle() const
{
    return !isClosed_ && !isWriting_ && !isLingering_ && !pipeline_.hasOpenRequests() && pipeline_.phase() == ReadPhase::Idle;
}

std::optional<Instant> CallerConnection::stalledSince() const
{
    if (isWriting_ && !isClosed_)
        return lastWriteAt_;
    bool isReceiving = !isClosed_ && !isLingering_ && !pipeline_.hasOpenRequests() && pipeline_.phase() != ReadPhase::Idle;
    return isReceiving ? std::optional(lastReadAt_) : std::nullopt;
}

void CallerConnection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    timer_.cancel();
    boost::system::error_code ignored; // the caller may have closed the connection already
    socket_.close(ignored);
    pipeline_.dropOutput();
    outputMemory_.resize(0);
    unread_.detach();
    auto self = shared_from_this();
    // Posted, as the budget may close the connection while the code that needs memory is at work.
    boost::asio::post(socket_.get_executor(), [self] {
        if (self->pipeline_.hasOpenRequests())
            self->handlers_.onCallerLeft(self);
        self->handlers_.onClosed(self);
    });
}

} // namespace balsamreel::Relay
