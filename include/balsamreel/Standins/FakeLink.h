// A TCP relay that injects faults into its open connections; new connections are not affected.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/NameTable.h"
#include "balsamreel/Support/Random.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

struct pollfd;

namespace balsamreel::Standins {

/// A listening address and the address that its connections are relayed to.
struct LinkRoute {
    Support::Endpoint listen;
    Support::Endpoint target;
};

/// Parses "LISTEN=TARGET". Returns nullopt if malformed.
std::optional<LinkRoute> parseLinkRoute(const std::string&);

/// Fault of an open connection.
enum class LinkFault : std::uint8_t { Silence, ///< stays open, but relays nothing any more, not even a close
    OneWay, ///< discards all further bytes from the connecting end
    Delay, ///< relays nothing for a while, then everything held back
    Reset };

constexpr Support::NameTable<LinkFault, 4> linkFaultNames{{{LinkFault::Silence, "silence"}, {LinkFault::OneWay, "one-way"}, {LinkFault::Delay, "delay"}, {LinkFault::Reset, "reset"}}};

/// Relays the bytes of all connections on one thread.
class FakeLink {
public:
    /// Throws Poco::Net::NetException if an address can't be bound.
    FakeLink(std::vector<LinkRoute>, std::uint64_t seed);
    ~FakeLink();
    FakeLink(const FakeLink&) = delete;
    FakeLink& operator=(const FakeLink&) = delete;

    void start();

    /// Silences a random share of the open connections of one route or, without a route, of all. Returns the number silenced.
    std::size_t silence(double share, std::optional<std::size_t> route) { return injectFault(LinkFault::Silence, share, route); }

    /// Same as silence(), with any fault. Connections that are silenced already are left out.
    std::size_t injectFault(LinkFault, double share, std::optional<std::size_t> route);

private:
    /// Bytes buffered in one direction.
    struct Flow {
        std::string pending;
        bool isAtEnd = false;
        bool isShutDown = false;
    };
    struct Connection {
        std::size_t route = 0;
        std::array<Poco::Net::StreamSocket, 2> ends; ///< the connecting end and the target's end
        std::array<Flow, 2> flows; ///< indexed by the end that the bytes come from
        bool isSilent = false;
        bool isOneWay = false;
        Support::Instant delayedUntil;
        bool isBroken = false;
    };

    static void injectFault(Connection&, LinkFault);
    void run();
    void accept(std::size_t route);
    static void receive(Connection&, std::size_t from);
    static void send(Connection&, std::size_t from);
    static bool isFinished(const Connection&);
    std::vector<pollfd> pollSet() const;
    void transfer(Connection&, const pollfd* polled);

    std::vector<LinkRoute> routes_;
    std::vector<Poco::Net::ServerSocket> listeners_;
    std::mutex mutex_;
    std::vector<Connection> connections_;
    Support::Random random_;
    std::atomic<bool> isEnding_{false};
    std::thread thread_;
};

} // namespace balsamreel::Standins
