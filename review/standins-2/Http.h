// Blocking HTTP/1.1 over POSIX sockets, for stand-ins that run a thread per connection.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace balsamreel::Review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A request or a response.
struct Message {
    std::string start; ///< request line or status line
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const;
    int status() const; ///< 0 if this is no response
    std::string header(const std::string& lowerCaseName) const;
};

/// A connected TCP socket. Closes it on destruction.
class Connection {
public:
    explicit Connection(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    ~Connection() { close(); }
    Connection(Connection&&) noexcept;
    Connection& operator=(Connection&&) noexcept;

    /// With a receive window, the other end can send no more than about this many bytes ahead.
    static Connection connectTo(const Address&, int windowBytes = 0);

    bool isOpen() const { return descriptor_ >= 0; }
    int descriptor() const { return descriptor_; }

    /// Returns false if the other end has closed the connection.
    bool send(std::string_view bytes);

    /// Appends received bytes to the buffer. Returns false at the end of the stream, after an error or at the deadline.
    bool receive(Clock::time_point deadline, std::size_t maximumBytes = 65536);

    /// Reads a message with a length; null if the connection ends or the deadline passes before it is complete.
    std::optional<Message> readMessage(Clock::time_point deadline);

    /// Whether the other end has closed the connection, or reset it.
    bool hasEnded() const { return hasEnded_; }

    /// Bytes received that belong to no message yet.
    const std::string& buffer() const { return buffer_; }

    void close();

private:
    int descriptor_ = -1;
    std::string buffer_;
    bool hasEnded_ = false;
};

/// A listening socket.
class Listener {
public:
    /// Listens at the first free port of the address from the given one on.
    Listener(const std::string& ip, std::uint16_t firstPort);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    Address address() const { return address_; }
    Connection accept() const;

private:
    int descriptor_ = -1;
    Address address_;
};

/// Returns the first port of the address, from the given one on, that is free at the moment.
Address freeAddress(const std::string& ip, std::uint16_t firstPort);

std::string responseText(int status, const std::string& headers, const std::string& body);

} // namespace balsamreel::Review
