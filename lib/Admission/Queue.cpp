#include "balsamreel/Admission/Queue.h"

#include <algorithm>

namespace balsamreel::Admission {

namespace {

constexpr unsigned maximumDepth = 64;
constexpr std::size_t maximumIdleCallers = 1024;
// Charged for a call at least, so that callers share also before service times are known.
constexpr double minimumChargeMicros = 1000;

double chargeOf(const Queue::WaitingTicket& entry)
{
    return std::max(minimumChargeMicros, entry.cost);
}

} // namespace

// Others hold slots while they wait for a deeper call, so it goes first.
Queue::Rank Queue::rankOf(const Ticket& ticket)
{
    return {maximumDepth - std::min(maximumDepth, ticket.depth), ticket.priority};
}

void Queue::push(WaitingTicket entry)
{
    auto id = entry.ticket.id;
    auto& lane = lanes_[index(entry.lane)];
    if (lane.callers.size() > maximumIdleCallers + lane.waitingCallers)
        dropIdleCallers(lane);
    auto& caller = lane.callers[entry.ticket.caller];
    auto rank = rankOf(entry.ticket);
    Key key{rank, std::max(lane.virtualTime, caller.finishTag), id};
    caller.finishTag = key.tag + chargeOf(entry);
    caller.waitingWork += entry.cost;
    lane.waitingCallers += caller.waiting++ == 0 ? 1 : 0;
    lane.work += entry.cost;
    lane.workOfRank[rank] += entry.cost;
    lane.order.insert(key);
    expiries_.emplace(entry.expiry, id);
    entries_.emplace(id, Placed{std::move(entry), key, nextSequence_++});
}

const Queue::Placed* Queue::firstPlaced(Lane lane) const
{
    const auto& order = lanes_[index(lane)].order;
    return order.empty() ? nullptr : &entries_.at(order.begin()->ticket);
}

const Queue::WaitingTicket* Queue::first(Lane lane) const
{
    const auto* placed = firstPlaced(lane);
    return placed ? &placed->entry : nullptr;
}

const Queue::WaitingTicket* Queue::last(Lane lane) const
{
    const auto& order = lanes_[index(lane)].order;
    return order.empty() ? nullptr : &entries_.at(order.rbegin()->ticket).entry;
}

// Tags of different lanes can't be compared, so among equals the earlier arrival goes first.
std::optional<Lane> Queue::firstLane() const
{
    const auto* shortPlaced = firstPlaced(Lane::Short);
    const auto* longPlaced = firstPlaced(Lane::Long);
    if (!shortPlaced || !longPlaced)
        return shortPlaced ? std::optional(Lane::Short) : longPlaced ? std::optional(Lane::Long)
                                                                     : std::nullopt;
    if (shortPlaced->key.rank != longPlaced->key.rank)
        return shortPlaced->key.rank < longPlaced->key.rank ? Lane::Short : Lane::Long;
    return shortPlaced->sequence < longPlaced->sequence ? Lane::Short : Lane::Long;
}

Queue::WaitingTicket Queue::extract(std::uint64_t ticket)
{
    auto node = entries_.extract(ticket);
    auto& placed = node.mapped();
    auto& entry = placed.entry;
    auto& lane = lanes_[index(entry.lane)];
    lane.order.erase(placed.key);
    expiries_.erase({entry.expiry, ticket});
    auto& caller = lane.callers[entry.ticket.caller];
    caller.waitingWork = std::max(0.0, caller.waitingWork - entry.cost);
    lane.waitingCallers -= --caller.waiting == 0 ? 1 : 0;
    auto rank = lane.workOfRank.find(placed.key.rank);
    rank->second -= entry.cost;
    lane.work -= entry.cost;
    // Sums of reals drift; an empty queue holds exactly nothing.
    if (lane.order.empty()) {
        lane.work = 0;
        lane.workOfRank.clear();
        // The busy period is over: all callers start the next one alike.
        lane.callers.clear();
    } else if (rank->second <= 0)
        lane.workOfRank.erase(rank);
    return std::move(entry);
}

Queue::WaitingTicket Queue::popFirst(Lane which)
{
    auto& lane = lanes_[index(which)];
    auto key = *lane.order.begin();
    lane.virtualTime = std::max(lane.virtualTime, key.tag);
    return extract(key.ticket);
}

std::optional<Queue::WaitingTicket> Queue::remove(std::uint64_t ticket)
{
    auto found = entries_.find(ticket);
    if (found == entries_.end())
        return std::nullopt;
    auto entry = extract(ticket);
    // What does not run is not charged.
    auto& callers = lanes_[index(entry.lane)].callers;
    auto caller = callers.find(entry.ticket.caller);
    if (caller != callers.end())
        caller->second.finishTag -= chargeOf(entry);
    return entry;
}

const Queue::WaitingTicket* Queue::firstToExpire() const
{
    return expiries_.empty() ? nullptr : &entries_.at(expiries_.begin()->second).entry;
}

// A caller whose share is not used up gets its turn after one entry of each other caller, however many these have waiting.
double Queue::workAhead(const Ticket& ticket, Lane which, double cost) const
{
    const auto& lane = lanes_[index(which)];
    auto own = rankOf(ticket);
    double ahead = 0;
    double same = 0;
    for (const auto& [rank, work] : lane.workOfRank) {
        if (own < rank)
            break;
        (rank == own ? same : ahead) += work;
    }
    auto caller = lane.callers.find(ticket.caller);
    double ownWork = caller == lane.callers.end() ? 0 : caller->second.waitingWork;
    std::size_t others = lane.waitingCallers - (ownWork > 0 ? 1 : 0);
    return ahead + std::min(same, ownWork + (ownWork + cost) * static_cast<double>(others));
}

void Queue::dropIdleCallers(LaneQueue& lane)
{
    std::erase_if(lane.callers, [&](const auto& entry) { return entry.second.waiting == 0 && entry.second.finishTag <= lane.virtualTime; });
    // With more callers than can be remembered, those without a waiting call are forgiven what they used.
    if (lane.callers.size() > lane.waitingCallers + maximumIdleCallers / 2)
        std::erase_if(lane.callers, [](const auto& entry) { return entry.second.waiting == 0; });
}

} // namespace balsamreel::Admission
