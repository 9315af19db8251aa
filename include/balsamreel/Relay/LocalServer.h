// State of the server on the node's own VM, mainly from the server's announcements. No I/O.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <map>
#include <optional>
#include <string>

namespace balsamreel::Relay {

/// Tracks one server across restarts, late announcements and reused instance ids. Not thread-safe.
class LocalServer {
public:
    explicit LocalServer(std::string service, Support::Endpoint address);

    /// Applies an announcement. Returns false if it is outdated or about another server.
    bool handleAnnouncement(const Announcement&);

    /// Sets a server that was found healthy before it announced itself; its first announcement replaces this.
    void discover(const std::string& instance, std::uint32_t slots);

    /// Whether the server has sent an announcement or a leave since this node started.
    bool hasReported() const { return hasReported_; }

    /// The server process with this instance id leaves; its later announcements are ignored. Without a start time, the
    /// current process with this id is meant.
    void handleLeave(const std::string& instance, std::optional<std::int64_t> processStartMillis);

    /// Another process than the announced one responded at the address; no server is ready until the next announcement.
    void onInstanceMismatch() { current_.reset(); }

    /// Returns the server if it may receive attempts, otherwise null.
    const Announcement* ready() const;

    /// Returns the latest announcement in any state; null before the first one and after the server has left.
    const Announcement* current() const { return current_ ? &*current_ : nullptr; }

private:
    std::string service_;
    Support::Endpoint address_;
    std::optional<Announcement> current_;
    bool hasReported_ = false;
    std::map<std::string, std::int64_t> departedStartMillis_; ///< by instance id: start of the newest process that left
};

} // namespace balsamreel::Relay
