#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Support {

/// Timestamp of a hybrid logical clock: wall clock microseconds that never decrease, and a counter to break ties.
struct HybridTime {
    std::int64_t micros = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime&) const = default;
};

/// Hybrid logical clock. Returns timestamps later than any it has returned or observed. Thread-safe.
class HybridClock {
public:
    HybridTime tick(std::int64_t wallMicros);

    /// Merges a timestamp received with a message. Ignores timestamps more than maximumLeadMicros ahead, so that one wrong
    /// clock cannot advance all others.
    void observe(HybridTime, std::int64_t wallMicros);

    static constexpr std::int64_t maximumLeadMicros = 60'000'000;

private:
    std::mutex mutex_;
    HybridTime last_;
};

/// One change of state in a process.
struct TimelineEvent {
    HybridTime at;
    std::string node;
    std::string kind;
    std::string detail; ///< key=value pairs
};

/// Bounded buffer of this process's events; drops the oldest first. Events of all processes are ordered by their
/// timestamps. Thread-safe.
class Timeline {
public:
    explicit Timeline(std::string node)
        : node_(std::move(node))
    {
    }

    void record(std::string_view kind, std::string detail);
    std::vector<TimelineEvent> events() const;
    HybridClock& clock() { return clock_; }

    static constexpr std::size_t capacity = 2048;

private:
    std::string node_;
    HybridClock clock_;
    mutable std::mutex mutex_;
    std::deque<TimelineEvent> events_;
};

} // namespace balsamreel::Support
