#include "balsamreel/Standins/FakeLink.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <poll.h>

namespace balsamreel::Standins {

namespace {

constexpr std::size_t maximumPendingBytes = 64 * 1024;
constexpr int pollMillis = 20;
constexpr Support::Duration faultDelay = std::chrono::milliseconds(300);
constexpr std::size_t endCount = 2;

Poco::Net::SocketAddress addressOf(const Support::Endpoint& endpoint)
{
    return {endpoint.host, endpoint.port};
}

} // namespace

std::optional<LinkRoute> parseLinkRoute(const std::string& text)
{
    auto equals = text.find('=');
    if (equals == std::string::npos)
        return std::nullopt;
    auto listen = Support::parseEndpoint(text.substr(0, equals));
    auto target = Support::parseEndpoint(text.substr(equals + 1));
    if (!listen || !target)
        return std::nullopt;
    return LinkRoute{*listen, *target};
}

FakeLink::FakeLink(std::vector<LinkRoute> routes, std::uint64_t seed)
    : routes_(std::move(routes))
    , random_(seed)
{
    constexpr int backlog = 256;
    for (const auto& route : routes_) {
        Poco::Net::ServerSocket socket;
        socket.bind(addressOf(route.listen), true, false);
        socket.listen(backlog);
        listeners_.push_back(socket);
    }
}

FakeLink::~FakeLink()
{
    isEnding_ = true;
    if (thread_.joinable())
        thread_.join();
}

void FakeLink::start()
{
    thread_ = std::thread([this] { run(); });
}

void FakeLink::injectFault(Connection& connection, LinkFault fault)
{
    switch (fault) {
    case LinkFault::Silence:
        connection.isSilent = true;
        break;
    case LinkFault::OneWay:
        connection.isOneWay = true;
        break;
    case LinkFault::Delay:
        connection.delayedUntil = Support::monotonicNow() + faultDelay;
        break;
    case LinkFault::Reset:
        connection.isBroken = true;
        // Closing a socket with a linger time of 0 resets the connection.
        for (auto& end : connection.ends)
            end.setLinger(true, 0);
        break;
    }
}

std::size_t FakeLink::injectFault(LinkFault fault, double share, std::optional<std::size_t> route)
{
    std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (auto& connection : connections_) {
        bool isSelected = !connection.isSilent && (!route || *route == connection.route);
        if (!isSelected || random_.fraction() >= share)
            continue;
        injectFault(connection, fault);
        ++count;
    }
    return count;
}

void FakeLink::accept(std::size_t route)
{
    Connection connection;
    connection.route = route;
    connection.ends[0] = listeners_[route].acceptConnection();
    try {
        connection.ends[1].connect(addressOf(routes_[route].target));
    } catch (const Poco::Exception&) {
        // The connecting end sees its connection closed, as if the target were gone.
        return;
    }
    for (auto& end : connection.ends) {
        end.setBlocking(false);
        end.setNoDelay(true);
    }
    connections_.push_back(std::move(connection));
}

void FakeLink::receive(Connection& connection, std::size_t from)
{
    auto& flow = connection.flows[from];
    std::array<char, 16 * 1024> buffer;
    int count = connection.ends[from].receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (count == 0)
        flow.isAtEnd = true;
    bool isLost = connection.isOneWay && from == 0;
    if (count > 0 && !isLost)
        flow.pending.append(buffer.data(), static_cast<std::size_t>(count));
}

void FakeLink::send(Connection& connection, std::size_t from)
{
    auto& flow = connection.flows[from];
    auto& target = connection.ends[1 - from];
    if (!flow.pending.empty()) {
        int count = target.sendBytes(flow.pending.data(), static_cast<int>(flow.pending.size()));
        flow.pending.erase(0, static_cast<std::size_t>(std::max(0, count)));
    }
    if (flow.isAtEnd && flow.pending.empty() && !flow.isShutDown) {
        target.shutdownSend();
        flow.isShutDown = true;
    }
}

bool FakeLink::isFinished(const Connection& connection)
{
    return connection.isBroken || (connection.flows[0].isShutDown && connection.flows[1].isShutDown);
}

std::vector<pollfd> FakeLink::pollSet() const
{
    std::vector<pollfd> polled;
    for (const auto& listener : listeners_)
        polled.push_back({listener.impl()->sockfd(), POLLIN, 0});
    for (const auto& connection : connections_) {
        for (std::size_t end = 0; end < endCount; ++end) {
            short events = 0;
            const auto& flow = connection.flows[end];
            if (!flow.isAtEnd && flow.pending.size() < maximumPendingBytes)
                events |= POLLIN;
            if (!connection.flows[1 - end].pending.empty())
                events |= POLLOUT;
            // poll() ignores negative descriptors.
            bool isPaused = connection.isSilent || Support::monotonicNow() < connection.delayedUntil;
            int descriptor = isPaused || events == 0 ? -1 : connection.ends[end].impl()->sockfd();
            polled.push_back({descriptor, events, 0});
        }
    }
    return polled;
}

void FakeLink::transfer(Connection& connection, const pollfd* polled)
{
    if (connection.isSilent || connection.isBroken || Support::monotonicNow() < connection.delayedUntil)
        return;
    try {
        for (std::size_t end = 0; end < endCount; ++end) {
            if (polled[end].revents & (POLLIN | POLLHUP | POLLERR))
                receive(connection, end);
        }
        for (std::size_t end = 0; end < endCount; ++end)
            send(connection, end);
    } catch (const Poco::Exception&) {
        connection.isBroken = true;
    }
}

void FakeLink::run()
{
    while (!isEnding_) {
        std::vector<pollfd> polled;
        {
            std::lock_guard lock(mutex_);
            polled = pollSet();
        }
        ::poll(polled.data(), polled.size(), pollMillis);
        std::lock_guard lock(mutex_);
        auto polledCount = connections_.size();
        for (std::size_t index = 0; index < polledCount; ++index)
            transfer(connections_[index], polled.data() + listeners_.size() + endCount * index);
        for (std::size_t route = 0; route < listeners_.size(); ++route) {
            if (polled[route].revents & POLLIN)
                accept(route);
        }
        std::erase_if(connections_, isFinished);
    }
}

} // namespace balsamreel::Standins
