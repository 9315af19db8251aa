// Crowds of callers that send much, stop anywhere and read nothing, and one ordinary caller.
#pragma once

#include "balsamreel/Support/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <memory>
#include <ostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace balsamreel {

/// The bytes that each connection of a crowd sends: a header, then a piece again and again.
struct Crowd {
    std::string name;
    std::string header;
    std::string piece;
    std::size_t pieceCount = 0;
    bool isInterleaved = false; ///< a piece on each connection in turn
};

inline void PrintTo(const Crowd& crowd, std::ostream* stream) // NOLINT(readability-identifier-naming): the name that GoogleTest expects
{
    *stream << crowd.name;
}

/// One connection of a crowd, which never reads.
class HostileCaller {
public:
    HostileCaller(boost::asio::io_context& loop, const Support::Endpoint& address, const Crowd& crowd)
        : crowd_(crowd)
        , socket_(loop)
    {
        constexpr int receiveBytes = 4096; // keeps responses out of the system's buffers
        boost::system::error_code error;
        socket_.open(boost::asio::ip::tcp::v4(), error);
        socket_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBytes), error);
        socket_.connect({boost::asio::ip::make_address(address.host), address.port}, error);
        isEnded_ = static_cast<bool>(error);
        socket_.non_blocking(true, error);
        next_ = crowd.header.empty() ? crowd.piece : crowd.header + crowd.piece;
    }

    bool isDone() const { return isEnded_ || sentPieces_ == crowd_.pieceCount; }

    /// Whether bytes of a response have arrived, or the connection has ended.
    bool isAnswered()
    {
        char byte = 0;
        boost::system::error_code error;
        socket_.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
        return error != boost::asio::error::would_block;
    }

    /// Sends what the socket takes of the next piece.
    void send()
    {
        boost::system::error_code error;
        auto count = socket_.write_some(boost::asio::buffer(next_.data() + offset_, next_.size() - offset_), error);
        isEnded_ = error && error != boost::asio::error::would_block;
        offset_ += error ? 0 : count;
        if (offset_ < next_.size())
            return;
        ++sentPieces_;
        offset_ = 0;
        next_ = crowd_.piece;
    }

private:
    const Crowd& crowd_;
    boost::asio::ip::tcp::socket socket_;
    std::string next_;
    std::size_t offset_ = 0;
    std::size_t sentPieces_ = 0;
    bool isEnded_ = false;
};

using HostileCallers = std::vector<std::unique_ptr<HostileCaller>>;

inline HostileCallers connectCallers(boost::asio::io_context& loop, const Support::Endpoint& address, const Crowd& crowd, std::size_t count)
{
    HostileCallers callers;
    for (std::size_t index = 0; index < count; ++index)
        callers.push_back(std::make_unique<HostileCaller>(loop, address, crowd));
    return callers;
}

/// Sends the bytes of all callers; those that the node no longer reads from are given up after a while.
inline void play(HostileCallers& callers, bool isInterleaved, std::chrono::seconds patience = std::chrono::seconds(60))
{
    auto end = std::chrono::steady_clock::now() + patience;
    auto isPending = [](const auto& caller) { return !caller->isDone(); };
    while (std::chrono::steady_clock::now() < end) {
        auto pending = std::ranges::find_if(callers, isPending);
        if (pending == callers.end())
            return;
        if (!isInterleaved) {
            (*pending)->send();
            continue;
        }
        for (; pending != callers.end(); pending = std::find_if(std::next(pending), callers.end(), isPending))
            (*pending)->send();
    }
}

/// Lets one caller after the other connect, send its bytes and wait for its response.
inline HostileCallers playInTurn(boost::asio::io_context& loop, const Support::Endpoint& address, const Crowd& crowd, std::size_t count, std::chrono::seconds patience = std::chrono::seconds(1))
{
    HostileCallers callers;
    for (std::size_t index = 0; index < count; ++index) {
        auto& caller = *callers.emplace_back(std::make_unique<HostileCaller>(loop, address, crowd));
        auto end = std::chrono::steady_clock::now() + patience;
        while (!(caller.isDone() && caller.isAnswered()) && std::chrono::steady_clock::now() < end) {
            if (!caller.isDone())
                caller.send();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    return callers;
}

/// Bytes that have arrived at an address and were not read yet.
inline std::size_t unreadBytes(const Support::Endpoint& address)
{
    std::ifstream sockets("/proc/net/tcp");
    auto port = fmt::format(":{:04X}", address.port);
    std::string line;
    std::size_t total = 0;
    while (std::getline(sockets, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        if (local.ends_with(port) && state == "01")
            total += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return total;
}

/// Waits until the node has read all that it will read from callers that send nothing more.
inline void waitUntilRead(const Support::Endpoint& address)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    for (std::size_t before = SIZE_MAX; std::chrono::steady_clock::now() < end;) {
        auto unread = unreadBytes(address);
        if (unread == before)
            return;
        before = unread;
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
}

/// Returns the status of the response to one request; 0 if there is none.
inline unsigned statusOf(const Support::Endpoint& address, const std::string& bytes)
{
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket socket(loop);
    boost::system::error_code error;
    socket.connect({boost::asio::ip::make_address(address.host), address.port}, error);
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    boost::beast::flat_buffer buffer;
    boost::beast::http::response_parser<boost::beast::http::string_body> response;
    response.body_limit(boost::none);
    boost::beast::http::read(socket, buffer, response, error);
    return error ? 0 : response.get().result_int();
}

inline bool isServedInTheEnd(const Support::Endpoint& address, const std::string& bytes)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < end) {
        if (statusOf(address, bytes) == 200)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

} // namespace balsamreel
