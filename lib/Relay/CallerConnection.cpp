#include "balsamreel/Relay/CallerConnection.h"

#include <boost/asio/write.hpp>

namespace balsamreel::Relay {

namespace {

// After the last answer: the end of a connection with unread bytes would reset it, and the answer could be lost with it.
constexpr Duration lingerTimeout = std::chrono::seconds(1);
constexpr std::size_t maximumLingeredBytes = 1024 * 1024;

} // namespace

CallerConnection::CallerConnection(Socket socket, Handlers host)
    : socket_(std::move(socket))
    , handlers_(std::move(host))
    , pipeline_({handlers_.limits, handlers_.canRunConcurrently})
    , timer_(socket_.get_executor())
{
}

void CallerConnection::start()
{
    armTimer(handlers_.limits().idleTimeout);
    read();
}

// Ends a connection on which nothing is open; what is open has a deadline of its own.
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

// The first bytes of a request start the time for its header; a body may take its time as long as it goes on coming.
void CallerConnection::armReadTimer()
{
    auto phase = pipeline_.phase();
    bool isHeaderGoingOn = phase == ReadPhase::Header && phase_ == ReadPhase::Header;
    if (isHeaderGoingOn || isWriting_ || pipeline_.hasOpenRequests())
        return;
    phase_ = phase;
    auto limits = handlers_.limits();
    armTimer(phase == ReadPhase::Header ? limits.headerTimeout : limits.idleTimeout);
}

// Hands out what can be worked on, writes what is answered, and reads on.
void CallerConnection::advance()
{
    if (isAdvancing_ || isClosed_ || isLingering_)
        return;
    auto self = shared_from_this();
    isAdvancing_ = true;
    while (auto taken = pipeline_.takeNext()) {
        phase_ = ReadPhase::Idle;
        handlers_.onRequest({self, taken->number}, std::move(taken->incoming));
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
    pipeline_.receive({input_.data(), count});
    advance();
}

void CallerConnection::respond(RequestNumber number, ServerResponse respond)
{
    if (isClosed_)
        return;
    pipeline_.respond(number, std::move(respond), handlers_.isShuttingDown());
    advance();
}

void CallerConnection::write()
{
    if (isWriting_ || isClosed_)
        return;
    output_ = pipeline_.takeOutput();
    if (output_.empty())
        return;
    isWriting_ = true;
    auto self = shared_from_this();
    // A caller that reads nothing of its answer for this long is given up.
    auto untilAll = [self](const boost::system::error_code& error, std::size_t written) {
        self->armTimer(self->handlers_.limits().idleTimeout);
        return boost::asio::transfer_all()(error, written);
    };
    boost::asio::async_write(socket_, boost::asio::buffer(output_), untilAll, [self](const boost::system::error_code& error, std::size_t) {
        self->isWriting_ = false;
        if (self->isClosed_)
            return;
        if (error)
            return self->onRead(error, 0);
        self->phase_ = ReadPhase::Idle;
        self->write();
        if (self->isWriting_)
            return;
        if (self->pipeline_.hasEnded())
            return self->linger();
        self->advance();
    });
}

// The caller reads the answer and ends the connection.
void CallerConnection::linger()
{
    boost::system::error_code ignored; // the caller may have ended it already
    socket_.shutdown(boost::asio::socket_base::shutdown_send, ignored);
    isLingering_ = true;
    armTimer(lingerTimeout);
    read();
}

bool CallerConnection::isIdle() const
{
    return !isClosed_ && !isWriting_ && !isLingering_ && !pipeline_.hasOpenRequests() && pipeline_.phase() == ReadPhase::Idle;
}

void CallerConnection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    timer_.cancel();
    boost::system::error_code ignored; // the caller may have ended it already
    socket_.close(ignored);
    auto self = shared_from_this();
    boost::asio::post(socket_.get_executor(), [self] { self->handlers_.onClosed(self); });
}

} // namespace balsamreel::Relay
