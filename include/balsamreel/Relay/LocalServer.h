// What a node knows of the server beside it, from the server's own announcements. Pure decisions.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <map>
#include <optional>
#include <string>

namespace balsamreel::Relay {

/// Follows one server through restarts, late announcements and reused ids. Not thread-safe.
class LocalServer {
public:
    explicit LocalServer(std::string service, Support::Endpoint address);

    /// Takes an announcement; false if it is older than what is known or names another server.
    bool handleAnnouncement(const Announcement&);

    /// Takes a server that was found healthy before it has announced itself; its first announcement replaces it.
    void discover(const std::string& instance, std::uint32_t slots);

    /// The server has said something of itself since this node started.
    bool hasReported() const { return hasReported_; }

    /// The process with this id leaves; later announcements of the same process are ignored.
    void handleLeave(const std::string& instance, std::optional<std::int64_t> processStartMillis);

    /// The process behind the address is not the announced one; nothing is sent until the next announcement.
    void onInstanceMismatch() { current_.reset(); }

    /// The server that may get work: announced, ready and not gone.
    const Announcement* ready() const;

    /// The latest announcement, whatever its state; null before the first and after the server has left.
    const Announcement* current() const { return current_ ? &*current_ : nullptr; }

private:
    std::string service_;
    Support::Endpoint address_;
    std::optional<Announcement> current_;
    bool hasReported_ = false;
    std::map<std::string, std::int64_t> departedBornMillis_; ///< per id: start of the newest process that has left
};

} // namespace balsamreel::Relay
