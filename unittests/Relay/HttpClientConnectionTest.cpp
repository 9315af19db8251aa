#include "balsamreel/Relay/HttpClientConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Relay {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t longBodyBytes = 8U * 1024 * 1024; // more than the sockets buffer
constexpr auto maximumWait = 20s;

/// How a server ends the connection.
enum class Ending : std::uint8_t { None,
    Reset,
    HalfClose ///< ends its sending side, and reads the rest of the request
};

/// A server that responds to the first bytes of a request, and then ends the connection.
class EarlyServer {
public:
    EarlyServer(Loop& loop, std::string response, Ending ending, std::chrono::milliseconds delay)
        : acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , socket_(loop)
        , timer_(loop)
        , response_(std::move(response))
        , ending_(ending)
        , delay_(delay)
    {
        acceptor_.async_accept(socket_, [this](const boost::system::error_code& error) {
            if (!error)
                respond();
        });
    }

    Support::Endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
    void respond()
    {
        socket_.async_read_some(boost::asio::buffer(input_), [this](const boost::system::error_code&, std::size_t) {
            boost::asio::write(socket_, boost::asio::buffer(response_));
            timer_.expires_after(delay_);
            timer_.async_wait([this](const boost::system::error_code&) { end(); });
        });
    }

    void end()
    {
        if (ending_ == Ending::Reset) {
            socket_.set_option(boost::asio::socket_base::linger(true, 0));
            socket_.close();
        } else if (ending_ == Ending::HalfClose) {
            socket_.shutdown(tcp::socket::shutdown_send);
            readOn();
        }
    }

    void readOn()
    {
        socket_.async_read_some(boost::asio::buffer(input_), [this](const boost::system::error_code& error, std::size_t) {
            if (!error)
                readOn();
        });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, 65536> input_{};
    std::string response_;
    Ending ending_;
    std::chrono::milliseconds delay_;
};

std::string requestWithBody(std::size_t bytes)
{
    return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'b');
}

HttpResult exchange(const std::string& response, Ending ending, std::chrono::milliseconds delay, std::size_t bodyBytes)
{
    Loop loop;
    EarlyServer server(loop, response, ending, delay);
    auto connection = std::make_shared<HttpClientConnection>(loop, server.address());
    std::optional<HttpResult> result;
    connection->exchange(requestWithBody(bodyBytes), {}, false, [&](HttpResult received) { result = std::move(received); });
    auto end = std::chrono::steady_clock::now() + maximumWait;
    while (!result && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_for(5ms);
    }
    connection->close();
    return result.value_or(HttpFailure::Unreachable);
}

const std::string withoutLength = "HTTP/1.1 200 OK\r\n\r\n" + std::string(3000, 'x');

} // namespace

// Guards against partial bodies: the failed write of the request takes the socket's error, so the read after it reports the
// end of the stream, which completes a body without a length.
TEST(HttpClientConnection, BodyWithoutLengthIsLostIfTheConnectionIsResetWhileTheRequestIsWritten)
{
    for (auto delay : {0ms, 30ms, 300ms}) {
        for (int round = 0; round < 5; ++round) {
            auto result = exchange(withoutLength, Ending::Reset, delay, longBodyBytes);
            ASSERT_TRUE(std::holds_alternative<HttpFailure>(result)) << "delay " << delay.count() << " ms";
            EXPECT_EQ(std::get<HttpFailure>(result), HttpFailure::ConnectionLost);
        }
    }
}

TEST(HttpClientConnection, BodyWithoutLengthIsWholeIfTheServerReadsTheRestOfTheRequest)
{
    auto result = exchange(withoutLength, Ending::HalfClose, 30ms, longBodyBytes);
    ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
    EXPECT_EQ(std::get<HttpResponse>(result).body.size(), 3000U);
}

TEST(HttpClientConnection, StatusesThatNoFinalResponseHasAreMalformed)
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        auto result = exchange("HTTP/1.1 " + status + " X\r\nContent-Length: 1\r\n\r\nx", Ending::None, 0ms, 10);
        ASSERT_TRUE(std::holds_alternative<HttpFailure>(result)) << status;
        EXPECT_EQ(std::get<HttpFailure>(result), HttpFailure::Malformed) << status;
    }
}

TEST(HttpClientConnection, InvalidHeadsAndFramingAreMalformed)
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 1\r\n\r\nx";
    const std::vector<std::string> responses{start + "Na me: v\r\n" + length, start + "Name : v\r\n" + length, start + "Na\tme: v\r\n" + length, start + "Na\x01me: v\r\n" + length, start + std::string("Na\0me: v\r\n", 10) + length, start + "Name: v\x01w\r\n" + length, start + ": v\r\n" + length, start + "Transfer-Encoding: chunked\r\n\r\n1;a b\x01\r\nx\r\n0\r\n\r\n", start + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nTr ailer: v\r\n\r\n", start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy", start + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n1\r\nx\r\n0\r\n\r\n"};
    for (const auto& response : responses) {
        auto result = exchange(response, Ending::None, 0ms, 10);
        ASSERT_TRUE(std::holds_alternative<HttpFailure>(result)) << response;
        EXPECT_EQ(std::get<HttpFailure>(result), HttpFailure::Malformed) << response;
    }
}

} // namespace balsamreel::Relay
