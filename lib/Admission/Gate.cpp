#include "balsamreel/Admission/Gate.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Admission {

using Support::Duration;
using Support::Instant;

namespace {

constexpr double serviceTimeWeight = 0.1;
// A route is long if its work runs this many times longer than the shortest route's.
constexpr double longFactor = 8;
constexpr std::size_t queuePerSlot = 8;

} // namespace

Gate::Gate(GateOptions options)
    : options_(options)
{
}

Lane Gate::laneOf(const Ticket& ticket) const
{
    if (ticket.hint != LaneHint::Learn)
        return ticket.hint == LaneHint::Long ? Lane::Long : Lane::Short;
    auto own = serviceMicros_.find(ticket.route);
    if (own == serviceMicros_.end())
        return Lane::Short;
    double shortest = own->second;
    for (const auto& [route, micros] : serviceMicros_)
        shortest = std::min(shortest, micros);
    return own->second > longFactor * shortest ? Lane::Long : Lane::Short;
}

std::uint32_t Gate::longLimit() const
{
    auto share = static_cast<std::uint32_t>(std::floor(options_.slots * options_.longShare));
    return std::clamp<std::uint32_t>(share, 1, std::max<std::uint32_t>(1, options_.slots));
}

bool Gate::mayRun(Lane lane) const
{
    if (options_.isUnlimited)
        return true;
    if (running_.size() >= options_.slots)
        return false;
    return lane == Lane::Short || runningLong_ < longLimit();
}

void Gate::run(Instant now, const Ticket& ticket, Lane lane)
{
    running_[ticket.id] = {lane, ticket.route, now};
    if (lane == Lane::Long)
        ++runningLong_;
}

Duration Gate::expectedWait() const
{
    double total = 0;
    for (const auto& waiting : waiting_) {
        auto found = serviceMicros_.find(waiting.ticket.route);
        total += found == serviceMicros_.end() ? 0 : found->second;
    }
    return Duration(static_cast<Duration::rep>(total / std::max<std::uint32_t>(1, options_.slots)));
}

Decision Gate::offer(Instant now, const Ticket& ticket)
{
    if (isDraining_)
        return Refused{RefusalReason::Draining, {}};
    if (ticket.deadline <= now)
        return Refused{RefusalReason::DeadlineTooNear, expectedWait()};
    auto lane = laneOf(ticket);
    if (mayRun(lane)) {
        run(now, ticket, lane);
        return Admitted();
    }
    auto wait = expectedWait();
    if (waiting_.size() >= queuePerSlot * options_.slots || wait > options_.maximumQueueWait)
        return Refused{RefusalReason::Overloaded, wait};
    if (now + wait > ticket.deadline)
        return Refused{RefusalReason::DeadlineTooNear, wait};
    waiting_.push_back({ticket, lane, now});
    return Queued();
}

std::vector<Resolution> Gate::admitWaiting(Instant now)
{
    std::vector<Resolution> resolutions;
    for (auto current = waiting_.begin(); current != waiting_.end();) {
        if (!mayRun(current->lane)) {
            ++current;
            continue;
        }
        if (current->ticket.deadline <= now)
            resolutions.push_back({current->ticket.id, Refused{RefusalReason::DeadlineTooNear, {}}});
        else {
            run(now, current->ticket, current->lane);
            resolutions.push_back({current->ticket.id, Admitted()});
        }
        current = waiting_.erase(current);
    }
    return resolutions;
}

std::vector<Resolution> Gate::finish(Instant now, std::uint64_t ticket, bool hasSucceeded)
{
    auto found = running_.find(ticket);
    if (found == running_.end())
        return {};
    const auto& running = found->second;
    if (running.lane == Lane::Long)
        --runningLong_;
    if (hasSucceeded) {
        double micros = static_cast<double>((now - running.since).count());
        auto& average = serviceMicros_[running.route];
        average += (average > 0 ? serviceTimeWeight : 1.0) * (micros - average);
    }
    running_.erase(found);
    return admitWaiting(now);
}

void Gate::cancel(std::uint64_t ticket)
{
    std::erase_if(waiting_, [&](const Waiting& waiting) { return waiting.ticket.id == ticket; });
}

std::vector<Resolution> Gate::tick(Instant now)
{
    std::vector<Resolution> resolutions;
    std::erase_if(waiting_, [&](const Waiting& waiting) {
        bool isLate = waiting.ticket.deadline <= now;
        bool isStale = now - waiting.since > options_.maximumQueueWait;
        if (isLate || isStale)
            resolutions.push_back({waiting.ticket.id, Refused{isLate ? RefusalReason::DeadlineTooNear : RefusalReason::WaitedTooLong, {}}});
        return isLate || isStale;
    });
    for (auto& resolution : admitWaiting(now))
        resolutions.push_back(resolution);
    return resolutions;
}

GateLoad Gate::load(Instant) const
{
    return {static_cast<std::uint32_t>(running_.size()), static_cast<std::uint32_t>(waiting_.size()), options_.slots, expectedWait()};
}

} // namespace balsamreel::Admission
