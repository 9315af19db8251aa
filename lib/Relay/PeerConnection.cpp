#include "balsamreel/Relay/PeerConnection.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace balsamreel::Relay {

namespace {

// A peer that reads nothing for long has its connection ended before its frames fill the memory.
constexpr std::size_t maximumPendingBytes = 16U * 1024 * 1024;
constexpr std::size_t readBytes = 16 * 1024;
// A connection on which nothing is acknowledged for this long is taken for silent.
constexpr int silenceLimitMillis = 1500;
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

} // namespace

void tuneSocket(Socket& socket)
{
    boost::system::error_code ignored; // an option that the system lacks only delays the detection of silence
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(silenceLimitMillis), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(keepAliveIdleSeconds), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(keepAliveIntervalSeconds), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>(keepAliveProbes), ignored);
}

PeerConnection::PeerConnection(Socket socket)
    : socket_(std::move(socket))
    , lastReceivedAt_(Support::monotonicNow())
{
}

void PeerConnection::start(Handlers handlers)
{
    handlers_ = std::move(handlers);
    read();
}

void PeerConnection::read()
{
    auto self = shared_from_this();
    socket_.async_read_some(input_.prepare(readBytes), [self](const boost::system::error_code& error, std::size_t count) {
        if (!self->isOpen_)
            return;
        if (error)
            return self->fail(error.message());
        self->lastReceivedAt_ = Support::monotonicNow();
        self->input_.commit(count);
        if (self->processFrames())
            self->read();
    });
}

// False once the link has ended.
bool PeerConnection::processFrames()
{
    while (input_.size() >= frameHeaderBytes) {
        std::string_view bytes(static_cast<const char*>(input_.data().data()), input_.size());
        auto length = frameLength(bytes);
        if (!length) {
            fail("frame too long");
            return false;
        }
        if (bytes.size() < frameHeaderBytes + *length)
            return true;
        auto message = decodeFrame(bytes.substr(frameHeaderBytes, *length));
        input_.consume(frameHeaderBytes + *length);
        if (!message) {
            fail("frame that can't be read");
            return false;
        }
        handlers_.onMessage(std::move(*message));
        if (!isOpen_)
            return false;
    }
    return true;
}

void PeerConnection::sendFrame(std::string_view frame)
{
    if (!isOpen_)
        return;
    pending_ += frame;
    if (pending_.size() > maximumPendingBytes)
        return fail("peer does not read");
    if (writing_.empty())
        write();
}

void PeerConnection::write()
{
    writing_.swap(pending_);
    auto self = shared_from_this();
    boost::asio::async_write(socket_, boost::asio::buffer(writing_), [self](const boost::system::error_code& error, std::size_t) {
        if (!self->isOpen_)
            return;
        if (error)
            return self->fail(error.message());
        self->writing_.clear();
        if (!self->pending_.empty())
            self->write();
    });
}

void PeerConnection::fail(const std::string& cause)
{
    if (!isOpen_)
        return;
    auto self = shared_from_this();
    auto onClosed = std::move(handlers_.onClosed);
    close();
    // Later, so that a caller in the middle of its own work isn't called back.
    boost::asio::post(socket_.get_executor(), [self, onClosed, cause] {
        if (onClosed)
            onClosed(cause);
    });
}

void PeerConnection::close()
{
    if (!isOpen_)
        return;
    isOpen_ = false;
    boost::system::error_code ignored; // the connection may have ended already
    socket_.close(ignored);
    auto self = shared_from_this();
    // The handlers may own what calls this; they are let go after it has returned.
    boost::asio::post(socket_.get_executor(), [self] { self->handlers_ = {}; });
}

} // namespace balsamreel::Relay
