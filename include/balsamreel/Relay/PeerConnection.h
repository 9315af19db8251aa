// A TCP connection between two nodes that carries frames in both directions.
#pragma once

#include "balsamreel/Relay/PeerMessages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace balsamreel::Relay {

using Loop = boost::asio::io_context;
using Socket = boost::asio::ip::tcp::socket;

/// Sets the options of all of the node's connections: no Nagle delay, and short timeouts that end dead connections early.
void tuneSocket(Socket&);

/// Reads frames and writes queued ones until the connection is closed. Any error closes it.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    struct Handlers {
        std::function<void(PeerMessage&&)> onMessage;
        std::function<void(const std::string& cause)> onClosed; ///< called at most once, never from within close()
    };

    /// Without a budget, only the memory of each connection's send queue is limited.
    explicit PeerConnection(Socket, std::shared_ptr<MemoryBudget> sendQueueMemory = nullptr);

    void start(Handlers);
    void send(const PeerMessage& message) { sendFrame(encodeFrame(message)); }

    /// Sends an encoded message, so that a message to many peers is encoded once.
    void sendFrame(std::string_view frame);

    /// Sends the body of a LongAttemptRequest or a LongAttemptReply in parts, between other messages and as the peer reads.
    void sendBody(std::uint64_t serial, Body);

    /// Drops what has not been sent of a body.
    void cancelBody(std::uint64_t serial);

    /// Closes the connection because of an error; onClosed gets the cause.
    void fail(const std::string& cause);

    /// Closes the connection; no handler is called afterwards.
    void close();

    bool isOpen() const { return isOpen_; }

    /// Sets the limit on received frames; initially maximumFrameBytes.
    void setFrameLimit(std::size_t bytes) { frameLimit_ = bytes; }

    /// When the last byte was received; initially the time of construction.
    Instant lastReceivedAt() const { return lastReceivedAt_; }

private:
    struct OutgoingBody {
        std::uint64_t serial = 0;
        Body body;
        std::size_t nextSegment = 0;
    };

    void read();
    bool processFrames();
    void write();
    void queueBodyParts();

    Socket socket_;
    Handlers handlers_;
    boost::beast::flat_buffer input_;
    std::string pending_; ///< frames to write once writing_ is sent
    std::string writing_;
    MemoryReservation queueMemory_; ///< of pending_ and writing_
    std::deque<OutgoingBody> bodies_;
    std::size_t frameLimit_ = maximumFrameBytes;
    bool isOpen_ = true;
    Instant lastReceivedAt_;
};

} // namespace balsamreel::Relay
