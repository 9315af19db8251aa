// One TCP connection between two nodes that carries frames both ways.
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

/// Sets what every connection of the node needs: no delay, and an early end of connections that have gone silent.
void tuneSocket(Socket&);

/// Reads frames until the connection ends; queues frames to write. Ends itself on any error.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    struct Handlers {
        std::function<void(PeerMessage&&)> onMessage;
        std::function<void(const std::string& cause)> onClosed; ///< at most once, never from inside close()
    };

    explicit PeerConnection(Socket);

    void start(Handlers);
    void send(const PeerMessage& message) { sendFrame(encodeFrame(message)); }

    /// For a message that goes to many: it is encoded once.
    void sendFrame(std::string_view frame);

    /// Ends the connection for what the other side did; onClosed tells the cause.
    void fail(const std::string& cause);

    /// Ends the connection; no handler is called any more.
    void close();

    bool isOpen() const { return isOpen_; }

    /// When the last byte came.
    Instant lastReceivedAt() const { return lastReceivedAt_; }

private:
    void read();
    bool processFrames();
    void write();

    Socket socket_;
    Handlers handlers_;
    boost::beast::flat_buffer input_;
    std::string pending_; ///< frames to write next
    std::string writing_;
    bool isOpen_ = true;
    Instant lastReceivedAt_;
};

} // namespace balsamreel::Relay
