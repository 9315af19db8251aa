#include "Http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <stdexcept>
#include <utility>
#include <vector>

namespace balsamreel::Review {

namespace {

constexpr std::string_view endOfHead = "\r\n\r\n";

sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("not an address: " + address.ip);
    return result;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

Message parseHead(const std::string& head)
{
    Message message;
    auto lineEnd = head.find("\r\n");
    message.start = head.substr(0, lineEnd);
    while (lineEnd != std::string::npos && lineEnd + 2 < head.size()) {
        auto begin = lineEnd + 2;
        lineEnd = head.find("\r\n", begin);
        auto line = head.substr(begin, lineEnd == std::string::npos ? lineEnd : lineEnd - begin);
        auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto valueBegin = line.find_first_not_of(' ', colon + 1);
        message.headers[lowerCase(line.substr(0, colon))] = valueBegin == std::string::npos ? std::string() : line.substr(valueBegin);
    }
    return message;
}

} // namespace

std::string Message::target() const
{
    auto begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

int Message::status() const
{
    return start.starts_with("HTTP/") ? std::atoi(start.c_str() + start.find(' ')) : 0;
}

std::string Message::header(const std::string& lowerCaseName) const
{
    auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

Connection::Connection(Connection&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , buffer_(std::move(other.buffer_))
    , hasEnded_(other.hasEnded_)
{
}

Connection& Connection::operator=(Connection&& other) noexcept
{
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    buffer_ = std::move(other.buffer_);
    hasEnded_ = other.hasEnded_;
    return *this;
}

Connection Connection::connectTo(const Address& address, int windowBytes)
{
    Connection connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (windowBytes > 0)
        ::setsockopt(connection.descriptor_, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof windowBytes);
    auto target = socketAddress(address);
    if (::connect(connection.descriptor_, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        connection.close();
        return connection;
    }
    int on = 1;
    ::setsockopt(connection.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            hasEnded_ = true;
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool Connection::receive(Clock::time_point deadline, std::size_t maximumBytes)
{
    auto left = std::chrono::duration_cast<Millis>(deadline - Clock::now()).count();
    pollfd polled{descriptor_, POLLIN, 0};
    if (descriptor_ < 0 || ::poll(&polled, 1, static_cast<int>(std::max<Millis::rep>(0, left))) <= 0)
        return false;
    std::vector<char> chunk(maximumBytes);
    auto count = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
        hasEnded_ = true;
        return false;
    }
    buffer_.append(chunk.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<Message> Connection::readMessage(Clock::time_point deadline)
{
    std::size_t end = std::string::npos;
    while ((end = buffer_.find(endOfHead)) == std::string::npos) {
        if (!receive(deadline))
            return std::nullopt;
    }
    auto message = parseHead(buffer_.substr(0, end));
    auto bodyBegin = end + endOfHead.size();
    auto length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
    while (buffer_.size() < bodyBegin + length) {
        if (!receive(deadline))
            return std::nullopt;
    }
    message.body = buffer_.substr(bodyBegin, length);
    buffer_.erase(0, bodyBegin + length);
    return message;
}

void Connection::close()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

Listener::Listener(const std::string& ip, std::uint16_t firstPort)
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , address_{ip, firstPort}
{
    constexpr int backlog = 256;
    constexpr unsigned tries = 50;
    int on = 1;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    for (unsigned attempt = 0; attempt < tries; ++attempt, ++address_.port) {
        auto wanted = socketAddress(address_);
        if (::bind(descriptor_, reinterpret_cast<const sockaddr*>(&wanted), sizeof wanted) == 0 && ::listen(descriptor_, backlog) == 0)
            return;
    }
    throw std::runtime_error("cannot listen at " + ip);
}

Listener::~Listener()
{
    ::close(descriptor_);
}

Connection Listener::accept() const
{
    return Connection(::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC));
}

Address freeAddress(const std::string& ip, std::uint16_t firstPort)
{
    return Listener(ip, firstPort).address();
}

std::string responseText(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace balsamreel::Review
