// A caller's connection: transfers the bytes of its RequestPipeline, enforces timeouts and detects that the caller disconnects.
#pragma once

#include "balsamreel/Relay/Model.h"
#include "balsamreel/Relay/PeerConnection.h"
#include "balsamreel/Relay/RequestPipeline.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace balsamreel::Relay {

class CallerConnection;

/// Identifies a caller's request, for which exactly one response is due.
struct CallerRequest {
    std::shared_ptr<CallerConnection> connection;
    RequestNumber number = 0;

    auto operator<=>(const CallerRequest&) const = default;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    /// Callbacks to the owner of the connection.
    struct Handlers {
        std::function<void(const CallerRequest&, IncomingRequest&&)> onRequest; ///< the response is due through respond()
        std::function<void(const std::shared_ptr<CallerConnection>&)> onCallerLeft; ///< the caller disconnected while requests were open
        std::function<void(const std::shared_ptr<CallerConnection>&)> onClosed;
        std::function<bool(const IncomingRequest&)> canRunConcurrently; ///< with other requests of the same connection
        std::function<CallerLimits()> limits;
        std::function<bool()> isShuttingDown; ///< while true, a connection ends after the last request that has been read
        std::shared_ptr<MemoryBudget> requestMemory; ///< of all connections together
        std::shared_ptr<MemoryBudget> responseMemory; ///< of all connections together
    };

    CallerConnection(Socket, Handlers);

    void start();

    /// Sends the response to an open request.
    void respond(RequestNumber, ServerResponse);

    /// Closes the connection. Open requests get no response.
    void close();

    /// Whether the connection is open, and no request is open or partially received.
    bool isIdle() const;

    /// When the caller last read bytes of a response, or sent bytes of a partially received request; nothing if the connection
    /// does not wait for the caller.
    std::optional<Instant> stalledSince() const;

private:
    static constexpr std::size_t readBytes = 8 * 1024;

    void advance();
    void read();
    void onRead(const boost::system::error_code&, std::size_t);
    void write();
    void onWriteProgress(std::size_t written);
    void linger();
    void armTimer(Duration);
    void armReadTimer();

    Socket socket_;
    Handlers handlers_;
    RequestPipeline pipeline_;
    boost::asio::steady_timer timer_;
    std::array<char, readBytes> input_{};
    std::string output_; ///< the bytes that are being written
    MemoryReservation outputMemory_; ///< of output_
    MemoryBudget::Holder unread_; ///< the responses that the caller has not read
    std::size_t writtenBytes_ = 0; ///< before output_, since unread_ was attached
    Instant lastWriteAt_; ///< when the socket last took bytes, or a write began
    ReadPhase phase_ = ReadPhase::Idle; ///< that the timer was armed for
    Instant lastReadAt_; ///< initially the time of construction
    std::size_t lingeredBytes_ = 0;
    bool isAdvancing_ = false;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool isLingering_ = false;
    bool isClosed_ = false;
};

} // namespace balsamreel::Relay
