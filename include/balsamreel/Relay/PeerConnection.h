// A TCP connection between two nodes that carries frames in both directions.
#pragma once

#include "balsamreel/Relay/PeerMessages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

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

    explicit PeerConnection(Socket);

    void start(Handlers);
    void send(const PeerMessage& message) { sendFrame(encodeFrame(message)); }

    /// Sends an encoded message, so that a message to many peers is encoded once.
    void sendFrame(std::string_view frame);

    /// Closes the connection because of an error; onClosed gets the cause.
    void fail(const std::string& cause);

    /// Closes the connection; no handler is called afterwards.
    void close();

    bool isOpen() const { return isOpen_; }

    /// When the last byte was received; initially the time of construction.
    Instant lastReceivedAt() const { return lastReceivedAt_; }

private:
    void read();
    bool processFrames();
    void write();

    Socket socket_;
    Handlers handlers_;
    boost::beast::flat_buffer input_;
    std::string pending_; ///< frames to write once writing_ is sent
    std::string writing_;
    bool isOpen_ = true;
    Instant lastReceivedAt_;
};

} // namespace balsamreel::Relay
