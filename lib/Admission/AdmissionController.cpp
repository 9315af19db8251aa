#include "balsamreel/Admission/AdmissionController.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamreel::Admission {

using Support::Duration;
using Support::Instant;

namespace {

constexpr std::size_t maximumQueuedPerSlot = 8;
constexpr std::array lanes{Lane::Short, Lane::Long};
// A queue that has not been empty for this long does not absorb a burst but adds delay (standing queue).
constexpr Duration standingQueueThreshold = std::chrono::milliseconds(100);
constexpr double minimumQueueTargetMicros = 5000;
// A call in the short lane that runs this many times longer than a typical call occupies its slot like a long call.
constexpr double longRunningFactor = 8;

Duration micros(double count)
{
    return Duration(static_cast<Duration::rep>(count));
}

std::size_t indexOf(Lane lane)
{
    return static_cast<std::size_t>(lane);
}

} // namespace

AdmissionController::AdmissionController(AdmissionOptions options)
    : options_(options)
    , limiter_({options.slots, options.maximumLimitFactor})
{
}

void AdmissionController::setOptions(const AdmissionOptions& options)
{
    options_ = options;
    limiter_.setOptions({options.slots, options.maximumLimitFactor});
}

// At least one long call may run, otherwise long calls would starve. With two or more slots, one is reserved for short
// calls.
std::uint32_t AdmissionController::longLimit() const
{
    auto limit = limiter_.limit();
    auto share = static_cast<std::uint32_t>(std::floor(limit * options_.longShare));
    return std::clamp<std::uint32_t>(share, 1, std::max<std::uint32_t>(1, limit - 1));
}

bool AdmissionController::mayRun(Lane lane) const
{
    if (options_.isUnlimited)
        return true;
    if (running_.size() >= limiter_.limit())
        return false;
    return lane == Lane::Short || runningLong_ < longLimit();
}

void AdmissionController::run(Instant now, const Ticket& ticket, Lane lane)
{
    bool isUnloaded = running_.size() < std::max<std::size_t>(1, limiter_.limit() / 2);
    running_[ticket.id] = {lane, ticket.hint, isUnloaded, ticket.route, now};
    runningLong_ += lane == Lane::Long ? 1 : 0;
}

double AdmissionController::laneSlots(Lane lane) const
{
    if (lane == Lane::Long)
        return longLimit();
    auto limit = limiter_.limit();
    return std::max<std::uint32_t>(1, limit - std::min(limit, runningLong_));
}

double AdmissionController::laneServiceMicros(Lane lane, double cost) const
{
    return lane == Lane::Long ? cost : classifier_.typicalMicros();
}

// The work ahead drains through all slots of the lane; then the call waits until one of them becomes free.
Duration AdmissionController::waitAfter(double workAhead, Lane lane, double cost) const
{
    return micros((workAhead + laneServiceMicros(lane, cost)) / laneSlots(lane));
}

Duration AdmissionController::allowedWait(Instant now, Lane lane, double cost) const
{
    double service = laneServiceMicros(lane, cost);
    bool isStanding = now - lastEmpty_[indexOf(lane)] > standingQueueThreshold + micros(service);
    if (!isStanding)
        return options_.maximumQueueWait;
    // Queued work for one service time keeps all slots busy; more only adds delay.
    return std::min(options_.maximumQueueWait, micros(std::max(minimumQueueTargetMicros, service)));
}

bool AdmissionController::isOverfull(Instant now, Lane lane) const
{
    const auto* last = queue_.last(lane);
    // One ticket may always wait; its expiry bounds the wait.
    if (!last || queue_.size(lane) == 1)
        return false;
    bool isTooMany = queue_.size(lane) > maximumQueuedPerSlot * options_.slots;
    return isTooMany || micros(queue_.work(lane) / laneSlots(lane)) > allowedWait(now, lane, last->cost);
}

void AdmissionController::recordEmptyLanes(Instant now)
{
    for (auto lane : lanes) {
        if (queue_.size(lane) == 0)
            lastEmpty_[indexOf(lane)] = now;
    }
}

Decision AdmissionController::enqueue(Instant now, const Ticket& ticket, Lane lane)
{
    recordEmptyLanes(now);
    double cost = classifier_.expectedMicros(ticket.route);
    auto wait = waitAfter(queue_.workAhead(ticket, lane, cost), lane, cost);
    if (options_.maximumQueueWait <= Duration::zero())
        return Refused{RefusalReason::Overloaded, wait};
    // A call that would wait and then end after its deadline is refused now, so that it does not use a slot that others need.
    if (now + wait + micros(cost) > ticket.deadline)
        return Refused{RefusalReason::DeadlineTooNear, wait};
    auto expiry = std::min(ticket.deadline - micros(cost), now + options_.maximumQueueWait);
    queue_.push({ticket, lane, now, expiry, cost});
    shedExcess(now, lane, evicted_);
    auto own = std::ranges::find(evicted_, ticket.id, &Resolution::ticket);
    if (own == evicted_.end())
        return Queued();
    evicted_.erase(own);
    return Refused{RefusalReason::Overloaded, wait};
}

Decision AdmissionController::submit(Instant now, const Ticket& ticket)
{
    if (isDraining_)
        return Refused{RefusalReason::Draining, {}};
    if (ticket.deadline <= now)
        return Refused{RefusalReason::DeadlineTooNear, {}};
    auto lane = classifier_.laneOf(ticket);
    if (!mayRun(lane))
        return enqueue(now, ticket, lane);
    run(now, ticket, lane);
    return Admitted();
}

std::vector<Resolution> AdmissionController::takeEvicted()
{
    return std::exchange(evicted_, {});
}

void AdmissionController::shedExcess(Instant now, Lane lane, std::vector<Resolution>& resolutions)
{
    while (isOverfull(now, lane)) {
        const auto* last = queue_.last(lane);
        auto wait = waitAfter(queue_.work(lane) - last->cost, lane, last->cost);
        auto id = last->ticket.id;
        queue_.remove(id);
        resolutions.push_back({id, Refused{RefusalReason::Overloaded, wait}});
    }
}

void AdmissionController::refuseExpired(Instant now, std::vector<Resolution>& resolutions)
{
    for (const auto* waiting = queue_.firstToExpire(); waiting && waiting->expiry <= now; waiting = queue_.firstToExpire()) {
        bool isStale = now - waiting->since >= options_.maximumQueueWait;
        auto reason = isStale ? RefusalReason::WaitedTooLong : RefusalReason::DeadlineTooNear;
        resolutions.push_back({waiting->ticket.id, Refused{reason, waitAfter(queue_.work(waiting->lane), waiting->lane, waiting->cost)}});
        queue_.remove(waiting->ticket.id);
    }
}

void AdmissionController::admitWaiting(Instant now, std::vector<Resolution>& resolutions)
{
    refuseExpired(now, resolutions);
    while (auto lane = queue_.firstLane()) {
        if (!mayRun(*lane))
            lane = *lane == Lane::Long && queue_.size(Lane::Short) > 0 ? Lane::Short : Lane::Long;
        if (queue_.size(*lane) == 0 || !mayRun(*lane))
            break;
        auto waiting = queue_.popFirst(*lane);
        run(now, waiting.ticket, waiting.lane);
        resolutions.push_back({waiting.ticket.id, Admitted()});
    }
    recordEmptyLanes(now);
}

std::vector<Resolution> AdmissionController::finish(Instant now, std::uint64_t ticket, bool hasSucceeded)
{
    auto handle = running_.extract(ticket);
    if (handle.empty())
        return {};
    const auto& running = handle.mapped();
    runningLong_ -= running.lane == Lane::Long ? 1 : 0;
    auto service = now - running.since;
    if (hasSucceeded) {
        double slowdown = classifier_.slowdown(running.route, service);
        classifier_.learn(running.route, service, running.isUnloaded);
        if (!options_.isUnlimited)
            limiter_.finished(now, running.since, slowdown, classifier_.typicalMicros(), !queue_.isEmpty());
    } else
        // A fast error carries no information on the service time; a call that failed late is a lower bound of it.
        classifier_.learnAtLeast(running.route, service);
    std::vector<Resolution> resolutions;
    admitWaiting(now, resolutions);
    return resolutions;
}

void AdmissionController::begin(Instant now, std::uint64_t ticket)
{
    auto found = running_.find(ticket);
    if (found != running_.end())
        found->second.since = now;
}

std::vector<Resolution> AdmissionController::withdraw(Instant now, std::uint64_t ticket)
{
    auto handle = running_.extract(ticket);
    if (handle.empty())
        return {};
    runningLong_ -= handle.mapped().lane == Lane::Long ? 1 : 0;
    std::vector<Resolution> resolutions;
    admitWaiting(now, resolutions);
    return resolutions;
}

void AdmissionController::cancel(std::uint64_t ticket)
{
    queue_.remove(ticket);
}

// Moves running calls to the long lane once they have run for longer than the threshold, unless their hint is Short.
void AdmissionController::reclassifyLongRunning(Instant now)
{
    double thresholdMicros = longRunningFactor * classifier_.typicalMicros();
    if (thresholdMicros <= 0 || options_.isUnlimited)
        return;
    for (auto& [id, running] : running_) {
        auto elapsed = now - running.since;
        if (running.lane == Lane::Long || running.hint == LaneHint::Short || static_cast<double>(elapsed.count()) < thresholdMicros)
            continue;
        classifier_.learnAtLeast(running.route, elapsed);
        running.lane = Lane::Long;
        ++runningLong_;
    }
}

std::vector<Resolution> AdmissionController::tick(Instant now)
{
    std::vector<Resolution> resolutions;
    reclassifyLongRunning(now);
    admitWaiting(now, resolutions);
    for (auto lane : lanes)
        shedExcess(now, lane, resolutions);
    return resolutions;
}

AdmissionLoad AdmissionController::load(Instant) const
{
    AdmissionLoad load;
    load.running = static_cast<std::uint32_t>(running_.size());
    load.queued = static_cast<std::uint32_t>(queue_.size());
    load.limit = limiter_.limit();
    load.runningLong = runningLong_;
    load.longLimit = longLimit();
    load.typicalService = micros(classifier_.typicalMicros());
    if (!mayRun(Lane::Short))
        load.expectedWait = waitAfter(queue_.work(Lane::Short), Lane::Short, classifier_.typicalMicros());
    return load;
}

} // namespace balsamreel::Admission
