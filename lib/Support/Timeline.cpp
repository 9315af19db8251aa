#include "balsamreel/Support/Timeline.h"

#include "balsamreel/Support/Clock.h"

#include <algorithm>

namespace balsamreel::Support {

HybridTime HybridClock::tick(std::int64_t wallMicros)
{
    std::lock_guard lock(mutex_);
    if (wallMicros > last_.micros)
        last_ = {wallMicros, 0};
    else
        ++last_.counter;
    return last_;
}

void HybridClock::observe(HybridTime seen, std::int64_t wallMicros)
{
    if (seen.micros > wallMicros + maximumLeadMicros)
        return;
    std::lock_guard lock(mutex_);
    last_ = std::max(last_, seen);
}

void Timeline::record(std::string_view kind, std::string detail)
{
    auto at = clock_.tick(wallMicros());
    std::lock_guard lock(mutex_);
    events_.push_back({at, node_, std::string(kind), std::move(detail)});
    if (events_.size() > capacity)
        events_.pop_front();
}

std::vector<TimelineEvent> Timeline::events() const
{
    std::lock_guard lock(mutex_);
    return {events_.begin(), events_.end()};
}

} // namespace balsamreel::Support
