// A TCP relay whose open connections can be harmed while new ones work.
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

/// A listening address and where its connections lead.
struct LinkRoute {
    Support::Endpoint listen;
    Support::Endpoint target;
};

/// Reads "LISTEN=TARGET"; nothing if malformed.
std::optional<LinkRoute> parseLinkRoute(const std::string&);

/// What happens to an open connection.
enum class LinkFault : std::uint8_t { Silence, ///< carries nothing any more, not even its end
    OneWay, ///< bytes of the connecting end are lost from now on
    Delay, ///< carries nothing for a while, and then all
    Reset };

constexpr Support::NameTable<LinkFault, 4> linkFaultNames{{{LinkFault::Silence, "silence"}, {LinkFault::OneWay, "one-way"}, {LinkFault::Delay, "delay"}, {LinkFault::Reset, "reset"}}};

/// Relays bytes on one thread. A silenced connection stays open and carries nothing any more, not even its end.
class FakeLink {
public:
    /// Throws Poco::Net::NetException if an address can't be bound.
    FakeLink(std::vector<LinkRoute>, std::uint64_t seed);
    ~FakeLink();
    FakeLink(const FakeLink&) = delete;
    FakeLink& operator=(const FakeLink&) = delete;

    void start();

    /// Silences a share of the connections open now, of all routes or of one; gives their number.
    std::size_t silence(double share, std::optional<std::size_t> route) { return injectFault(LinkFault::Silence, share, route); }

    /// The same with any fault.
    std::size_t injectFault(LinkFault, double share, std::optional<std::size_t> route);

private:
    /// Bytes on their way in one direction.
    struct Flow {
        std::string pending;
        bool isAtEnd = false;
        bool isShutDown = false;
    };
    struct Connection {
        std::size_t route = 0;
        std::array<Poco::Net::StreamSocket, 2> ends; ///< the connecting one and the target's
        std::array<Flow, 2> flows; ///< by the end that they come from
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
