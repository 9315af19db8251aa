#include "balsamreel/Relay/PeerConnection.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace balsamreel::Relay {

namespace {

// Closes the connection to a peer that has stopped reading before the frames queued for it exhaust the memory.
constexpr std::size_t maximumPendingBytes = 16U * 1024 * 1024;
// Parts of bodies that are written before the next messages.
constexpr std::size_t bodyPartsPerWrite = 4;
// TCP_NOTSENT_LOWAT of a connection that carries long bodies: what the system holds ahead of other messages.
constexpr int maximumUnsentBytes = 64 * 1024;
constexpr std::size_t readBytes = 16 * 1024;
// Empty buffers above this size are freed.
constexpr std::size_t maximumIdleBufferBytes = 64 * 1024;
// TCP_USER_TIMEOUT: a connection is dead if sent data stays unacknowledged for this long.
constexpr int userTimeoutMillis = 1500;
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

} // namespace

void tuneSocket(Socket& socket)
{
    boost::system::error_code ignored; // without an option, dead connections are only detected later
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(userTimeoutMillis), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(keepAliveIdleSeconds), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(keepAliveIntervalSeconds), ignored);
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>(keepAliveProbes), ignored);
}

PeerConnection::PeerConnection(Socket socket, std::shared_ptr<MemoryBudget> sendQueueMemory)
    : socket_(std::move(socket))
    , queueMemory_(std::move(sendQueueMemory))
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

// Returns false once the connection is closed.
bool PeerConnection::processFrames()
{
    while (input_.size() >= frameHeaderBytes) {
        std::string_view bytes(static_cast<const char*>(input_.data().data()), input_.size());
        auto length = frameLength(bytes, frameLimit_);
        if (!length) {
            fail("frame exceeds the size limit");
            return false;
        }
        if (bytes.size() < frameHeaderBytes + *length)
            return true;
        auto message = decodeFrame(bytes.substr(frameHeaderBytes, *length));
        input_.consume(frameHeaderBytes + *length);
        if (!message) {
            fail("malformed frame");
            return false;
        }
        handlers_.onMessage(std::move(*message));
        if (!isOpen_)
            return false;
    }
    if (input_.size() == 0 && input_.capacity() > maximumIdleBufferBytes)
        input_.shrink_to_fit();
    return true;
}

void PeerConnection::sendFrame(std::string_view frame)
{
    if (!isOpen_)
        return;
    pending_ += frame;
    bool hasMemory = queueMemory_.tryResize(pending_.size() + writing_.size(), Support::monotonicNow());
    if (!hasMemory || pending_.size() > maximumPendingBytes)
        return fail("send queue full: the peer does not read");
    if (writing_.empty())
        write();
}

void PeerConnection::sendBody(std::uint64_t serial, Body body)
{
    if (!isOpen_)
        return;
    boost::system::error_code ignored; // without it, other messages wait for more of the body
    socket_.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>(maximumUnsentBytes), ignored);
    bodies_.push_back({serial, std::move(body), 0});
    if (writing_.empty())
        write();
}

void PeerConnection::cancelBody(std::uint64_t serial)
{
    std::erase_if(bodies_, [serial](const OutgoingBody& outgoing) { return outgoing.serial == serial; });
}

// The bodies take turns.
void PeerConnection::queueBodyParts()
{
    for (std::size_t count = 0; count < bodyPartsPerWrite && !bodies_.empty(); ++count) {
        auto outgoing = std::move(bodies_.front());
        bodies_.pop_front();
        const auto& segments = outgoing.body.segments();
        pending_ += encodeFrame(BodyPart{outgoing.serial, segments[outgoing.nextSegment]});
        if (++outgoing.nextSegment < segments.size())
            bodies_.push_back(std::move(outgoing));
    }
}

void PeerConnection::write()
{
    queueBodyParts();
    writing_.swap(pending_);
    queueMemory_.resize(writing_.size());
    auto self = shared_from_this();
    boost::asio::async_write(socket_, boost::asio::buffer(writing_), [self](const boost::system::error_code& error, std::size_t) {
        if (!self->isOpen_)
            return;
        if (error)
            return self->fail(error.message());
        self->writing_.clear();
        if (self->writing_.capacity() > maximumIdleBufferBytes)
            self->writing_.shrink_to_fit();
        self->queueMemory_.resize(self->pending_.size());
        if (!self->pending_.empty() || !self->bodies_.empty())
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
    // Posted, so that onClosed does not run while the code that called fail() is still at work.
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
    bodies_.clear();
    queueMemory_.resize(0);
    boost::system::error_code ignored; // the connection may be closed already
    socket_.close(ignored);
    auto self = shared_from_this();
    // The handlers may own the object whose code called close(); they are destroyed after it has returned.
    boost::asio::post(socket_.get_executor(), [self] { self->handlers_ = {}; });
}

} // namespace balsamreel::Relay
