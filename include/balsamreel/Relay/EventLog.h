// Structured log lines on standard output. Their volume is limited, and writing never blocks.
#pragma once

#include "balsamreel/Relay/PeerConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <map>
#include <string>
#include <string_view>

namespace balsamreel::Relay {

/// Selects the rate limit of a line. Routine lines are dropped earlier than notable ones.
enum class LogClass : std::uint8_t { Routine, ///< successful requests
    Notable ///< refusals, failures, and changes in the node's view of the system
};

/// Buffers lines and writes them in batches. Lines that exceed the rate limit of their class, or the buffer because the
/// reader is too slow, are dropped and counted.
class EventLog {
public:
    EventLog(Loop&, std::string source, int descriptor);

    template <typename... Arguments>
    void line(LogClass logClass, std::string_view event, fmt::format_string<Arguments...> fields, Arguments&&... arguments)
    {
        if (admit(logClass))
            append(event, fmt::format(fields, std::forward<Arguments>(arguments)...));
        else
            ++droppedLines_;
    }

    /// Writes buffered lines until the descriptor would block.
    void flush();

    std::uint64_t droppedLineCount() const { return droppedLinesTotal_ + droppedLines_; }

private:
    struct Rate {
        Instant second;
        unsigned lines = 0;
    };

    bool admit(LogClass);
    void append(std::string_view event, const std::string& fields);
    void scheduleFlush();

    boost::asio::steady_timer timer_;
    std::string source_;
    int descriptor_;
    std::string buffer_;
    std::map<LogClass, Rate> rates_;
    std::uint64_t droppedLines_ = 0; ///< since the last "lines-left-out" line
    std::uint64_t droppedLinesTotal_ = 0;
    bool isScheduled_ = false;
};

} // namespace balsamreel::Relay
