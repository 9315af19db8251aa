// A server for tests of clients: sends bytes that a correct server would not send.
#pragma once

#include "balsamreel/Support/Endpoint.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Thread.h>
#include <Poco/Timespan.h>

#include <array>
#include <string>
#include <thread>

namespace balsamreel::Support {

/// How a RawServer ends each connection.
enum class Ending : std::uint8_t { Close,
    Reset };

/// Accepts one connection after another, reads a part of a request, sends fixed bytes and ends the connection.
class RawServer {
public:
    explicit RawServer(std::string response, Ending ending = Ending::Close)
        : response_(std::move(response))
        , ending_(ending)
        , socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , endpoint_{"127.0.0.1", socket_.address().port()}
        , thread_([this](const std::stop_token& token) { run(token); })
    {
    }

    const Endpoint& endpoint() const { return endpoint_; }

private:
    void run(const std::stop_token& token)
    {
        const Poco::Timespan pollInterval(0, 10'000);
        const Poco::Timespan endDelay(0, 30'000);
        while (!token.stop_requested()) {
            if (!socket_.poll(pollInterval, Poco::Net::Socket::SELECT_READ))
                continue;
            auto connection = socket_.acceptConnection();
            std::array<char, 4096> request{};
            connection.receiveBytes(request.data(), static_cast<int>(request.size()));
            connection.sendBytes(response_.data(), static_cast<int>(response_.size()));
            Poco::Thread::sleep(endDelay.totalMilliseconds());
            if (ending_ == Ending::Reset)
                connection.setLinger(true, 0);
            connection.close();
        }
    }

    std::string response_;
    Ending ending_;
    Poco::Net::ServerSocket socket_;
    Endpoint endpoint_;
    std::jthread thread_;
};

} // namespace balsamreel::Support
