// Structured log lines on standard output: bounded in volume, never blocking.
#pragma once

#include "balsamreel/Relay/PeerConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <map>
#include <string>
#include <string_view>

namespace balsamreel::Relay {

/// Whether a kind of line gives way to others when there are many.
enum class LogClass : std::uint8_t { Routine, ///< requests that went well
    Notable ///< refusals, failures, and changes of what the process believes
};

/// Collects lines and writes them in batches. Lines beyond the rate of their class, and lines that the reader is too slow for, are counted.
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

    /// Writes what is collected, as far as the reader takes it.
    void flush();

    std::uint64_t droppedLineCount() const { return droppedLinesTotal_ + droppedLines_; }

private:
    struct Rate {
        Instant second;
        unsigned lines = 0;
    };

    bool admit(LogClass);
    void append(std::string_view event, const std::string& fields);
    void schedule();

    boost::asio::steady_timer timer_;
    std::string source_;
    int descriptor_;
    std::string buffer_;
    std::map<LogClass, Rate> rates_;
    std::uint64_t droppedLines_ = 0; ///< since the last line that told
    std::uint64_t droppedLinesTotal_ = 0;
    bool isScheduled_ = false;
};

} // namespace balsamreel::Relay
