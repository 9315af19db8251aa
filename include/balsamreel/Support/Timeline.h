// The time line: events of all processes, ordered by a hybrid logical clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace balsamreel::Support {

/// A hybrid logical time stamp: wall micros that never fall, and a counter for ties.
struct HybridTime {
    std::int64_t micros = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime&) const = default;
};

/// Gives stamps that are later than all it has given or seen. Thread-safe.
class HybridClock {
public:
    HybridTime tick(std::int64_t wallMicros);

    /// Takes in a stamp that came with a message. Stamps further ahead than
    /// maximumLead are ignored, so that one wrong clock can't drag all others.
    void observe(HybridTime, std::int64_t wallMicros);

    static constexpr std::int64_t maximumLeadMicros = 60'000'000;

private:
    std::mutex mutex_;
    HybridTime last_;
};

/// One change of state.
struct TimelineEvent {
    HybridTime at;
    std::string node;
    std::string kind;
    std::string detail; ///< key=value pairs
};

/// A bounded ring of this process's events; the oldest go first. Thread-safe.
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
