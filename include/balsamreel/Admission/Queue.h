// The calls that wait at a gate, in the order in which they run. Pure decisions.
#pragma once

#include "balsamreel/Admission/Ticket.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamreel::Admission {

/// Deeper calls first, then the more urgent priority, then fair shares between callers. Every
/// operation takes logarithmic time in the tickets that wait. Not thread-safe.
class Queue {
public:
    struct WaitingTicket {
        Ticket ticket;
        Lane lane = Lane::Short;
        Support::Instant since;
        Support::Instant expiry; ///< dropped at this time if it still waits
        double cost = 0; ///< expected service time in microseconds
    };

    void push(WaitingTicket);

    /// The entry that runs next in the lane; null if none waits.
    const WaitingTicket* first(Lane) const;

    /// The entry that is given up first when the lane's queue is too long; null if none waits.
    const WaitingTicket* last(Lane) const;

    /// The lane whose first entry comes before the other lane's.
    std::optional<Lane> firstLane() const;

    /// Takes an entry out to run it; its caller is charged.
    WaitingTicket popFirst(Lane);

    /// Takes an entry out that will not run; nothing if it does not wait.
    std::optional<WaitingTicket> remove(std::uint64_t ticket);

    /// The entry that expires first; null if none waits.
    const WaitingTicket* firstToExpire() const;

    /// Expected service time, in microseconds, of all that waits in the lane, and of the part that would run before a new entry.
    double work(Lane lane) const { return lanes_[index(lane)].work; }
    double workAhead(const Ticket&, Lane, double cost) const;

    std::size_t size() const { return tickets_.size(); }
    std::size_t size(Lane lane) const { return lanes_[index(lane)].order.size(); }
    bool isEmpty() const { return tickets_.empty(); }

private:
    struct Rank {
        unsigned inverseDepth = 0; ///< falls with the depth
        unsigned priority = 0;
        auto operator<=>(const Rank&) const = default;
    };
    struct Key {
        Rank rank;
        double tag = 0; ///< start tag of start-time fair queueing
        std::uint64_t ticket = 0;
        auto operator<=>(const Key&) const = default;
    };
    struct CallerShare {
        double finishTag = 0;
        double waitingWork = 0;
        std::size_t waiting = 0;
    };
    struct LaneQueue {
        std::set<Key> order;
        std::map<Rank, double> workOfRank;
        std::unordered_map<std::string, CallerShare> callers;
        std::size_t waitingCallers = 0;
        double virtualTime = 0;
        double work = 0;
    };
    struct IndexedTicket {
        WaitingTicket waitingTicket;
        Key key;
        std::uint64_t sequence = 0;
    };

    static std::size_t index(Lane lane) { return static_cast<std::size_t>(lane); }
    static Rank rankOf(const Ticket&);
    const IndexedTicket* firstIndexed(Lane) const;
    WaitingTicket extract(std::uint64_t ticket);
    static void dropIdleCallers(LaneQueue&);

    std::array<LaneQueue, 2> lanes_;
    std::unordered_map<std::uint64_t, IndexedTicket> tickets_;
    std::set<std::pair<Support::Instant, std::uint64_t>> expiries_;
    std::uint64_t nextSequence_ = 0;
};

} // namespace balsamreel::Admission
