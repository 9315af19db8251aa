#include "balsamreel/Admission/Queue.h"

#include <algorithm>

namespace balsamreel::Admission {

namespace {

constexpr unsigned maximumDepth = 64;
constexpr std::size_t maximumIdleCallers = 1024;
// Minimum charge for a call, so that callers share fairly even before service times are known.
constexpr double minimumChargeMicros = 1000;

double chargeOf(const Queue::WaitingTicket& waitingTicket)
{
    return std::max(minimumChargeMicros, waitingTicket.cost);
}

} // namespace

// Deeper calls go first, because the calls above them hold slots while they wait for them.
Queue::Rank Queue::rankOf(const Ticket& ticket)
{
    return {maximumDepth - std::min(maximumDepth, ticket.depth), ticket.priority};
}

void Queue::push(WaitingTicket waitingTicket)
{
    auto id = waitingTicket.ticket.id;
    auto& lane = lanes_[index(waitingTicket.lane)];
    if (lane.callers.size() > maximumIdleCallers + lane.waitingCallers)
        dropIdleCallers(lane);
    auto& caller = lane.callers[waitingTicket.ticket.caller];
    auto rank = rankOf(waitingTicket.ticket);
    Key key{rank, std::max(lane.virtualTime, caller.finishTag), id};
    caller.finishTag = key.tag + chargeOf(waitingTicket);
    caller.waitingWork += waitingTicket.cost;
    lane.waitingCallers += caller.waiting++ == 0 ? 1 : 0;
    lane.work += waitingTicket.cost;
    lane.workOfRank[rank] += waitingTicket.cost;
    lane.order.insert(key);
    expiries_.emplace(waitingTicket.expiry, id);
    tickets_.emplace(id, IndexedTicket{std::move(waitingTicket), key, nextSequence_++});
}

const Queue::IndexedTicket* Queue::firstIndexed(Lane lane) const
{
    const auto& order = lanes_[index(lane)].order;
    return order.empty() ? nullptr : &tickets_.at(order.begin()->ticket);
}

const Queue::WaitingTicket* Queue::first(Lane lane) const
{
    const auto* indexed = firstIndexed(lane);
    return indexed ? &indexed->waitingTicket : nullptr;
}

const Queue::WaitingTicket* Queue::last(Lane lane) const
{
    const auto& order = lanes_[index(lane)].order;
    return order.empty() ? nullptr : &tickets_.at(order.rbegin()->ticket).waitingTicket;
}

// Fair-queueing tags of different lanes can't be compared, so tickets of equal rank go in order of arrival.
std::optional<Lane> Queue::firstLane() const
{
    const auto* firstShort = firstIndexed(Lane::Short);
    const auto* firstLong = firstIndexed(Lane::Long);
    if (!firstShort || !firstLong)
        return firstShort ? std::optional(Lane::Short) : firstLong ? std::optional(Lane::Long)
                                                                   : std::nullopt;
    if (firstShort->key.rank != firstLong->key.rank)
        return firstShort->key.rank < firstLong->key.rank ? Lane::Short : Lane::Long;
    return firstShort->sequence < firstLong->sequence ? Lane::Short : Lane::Long;
}

Queue::WaitingTicket Queue::extract(std::uint64_t ticket)
{
    auto handle = tickets_.extract(ticket);
    auto& indexed = handle.mapped();
    auto& waitingTicket = indexed.waitingTicket;
    auto& lane = lanes_[index(waitingTicket.lane)];
    lane.order.erase(indexed.key);
    expiries_.erase({waitingTicket.expiry, ticket});
    auto& caller = lane.callers[waitingTicket.ticket.caller];
    caller.waitingWork = std::max(0.0, caller.waitingWork - waitingTicket.cost);
    lane.waitingCallers -= --caller.waiting == 0 ? 1 : 0;
    auto rank = lane.workOfRank.find(indexed.key.rank);
    rank->second -= waitingTicket.cost;
    lane.work -= waitingTicket.cost;
    // Floating-point sums drift; an empty lane resets them to exactly zero.
    if (lane.order.empty()) {
        lane.work = 0;
        lane.workOfRank.clear();
        // The busy period is over; all callers start the next one with equal shares.
        lane.callers.clear();
    } else if (rank->second <= 0)
        lane.workOfRank.erase(rank);
    return std::move(waitingTicket);
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
    auto found = tickets_.find(ticket);
    if (found == tickets_.end())
        return std::nullopt;
    auto waitingTicket = extract(ticket);
    // Refund the charge, because the call does not run.
    auto& callers = lanes_[index(waitingTicket.lane)].callers;
    auto caller = callers.find(waitingTicket.ticket.caller);
    if (caller != callers.end())
        caller->second.finishTag -= chargeOf(waitingTicket);
    return waitingTicket;
}

const Queue::WaitingTicket* Queue::firstToExpire() const
{
    return expiries_.empty() ? nullptr : &tickets_.at(expiries_.begin()->second).waitingTicket;
}

// A caller that has not used up its share runs after one ticket of each other caller, however many tickets those have
// queued.
double Queue::workAhead(const Ticket& ticket, Lane which, double cost) const
{
    const auto& lane = lanes_[index(which)];
    auto own = rankOf(ticket);
    double ahead = 0;
    double sameRank = 0;
    for (const auto& [rank, work] : lane.workOfRank) {
        if (own < rank)
            break;
        (rank == own ? sameRank : ahead) += work;
    }
    auto caller = lane.callers.find(ticket.caller);
    double ownWork = caller == lane.callers.end() ? 0 : caller->second.waitingWork;
    std::size_t others = lane.waitingCallers - (ownWork > 0 ? 1 : 0);
    return ahead + std::min(sameRank, ownWork + (ownWork + cost) * static_cast<double>(others));
}

void Queue::dropIdleCallers(LaneQueue& lane)
{
    std::erase_if(lane.callers, [&](const auto& caller) { return caller.second.waiting == 0 && caller.second.finishTag <= lane.virtualTime; });
    // If there are still too many callers, those without a queued call lose their record, and with it their past charges.
    if (lane.callers.size() > lane.waitingCallers + maximumIdleCallers / 2)
        std::erase_if(lane.callers, [](const auto& caller) { return caller.second.waiting == 0; });
}

} // namespace balsamreel::Admission
