// A caller's connection: carries the bytes of its request pipeline, keeps the time limits, and notices when the caller leaves.
#pragma once

#include "balsamreel/Relay/Model.h"
#include "balsamreel/Relay/PeerConnection.h"
#include "balsamreel/Relay/RequestPipeline.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace balsamreel::Relay {

class CallerConnection;

/// One request of a caller, to be answered once.
struct CallerRequest {
    std::shared_ptr<CallerConnection> connection;
    RequestNumber number = 0;

    auto operator<=>(const CallerRequest&) const = default;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    /// What the connection asks of its owner.
    struct Handlers {
        std::function<void(const CallerRequest&, IncomingRequest&&)> onRequest; ///< answered by answer()
        std::function<void(const std::shared_ptr<CallerConnection>&)> onCallerLeft; ///< while requests are open
        std::function<void(const std::shared_ptr<CallerConnection>&)> onClosed;
        std::function<bool(const IncomingRequest&)> canRunConcurrently; ///< with other requests of its connection
        std::function<CallerLimits()> limits;
        std::function<bool()> isShuttingDown; ///< answers then end their connections
    };

    CallerConnection(Socket, Handlers);

    void start();

    /// The answer to an open request.
    void respond(RequestNumber, ServerResponse);

    /// Ends the connection without an answer.
    void close();

    /// No request is open or on its way in.
    bool isIdle() const;

private:
    static constexpr std::size_t readBytes = 8 * 1024;

    void advance();
    void read();
    void onRead(const boost::system::error_code&, std::size_t);
    void write();
    void linger();
    void armTimer(Duration);
    void armReadTimer();

    Socket socket_;
    Handlers handlers_;
    RequestPipeline pipeline_;
    boost::asio::steady_timer timer_;
    std::array<char, readBytes> input_{};
    std::string output_; ///< being written
    ReadPhase phase_ = ReadPhase::Idle; ///< for which the timer was set
    std::size_t lingeredBytes_ = 0;
    bool isAdvancing_ = false;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool isLingering_ = false;
    bool isClosed_ = false;
};

} // namespace balsamreel::Relay
