// Limits on the memory that callers and other nodes can make a node hold.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace balsamreel::Relay {

/// Limits the memory that many holders take together, in bytes. When it runs out, holders that have stalled are dropped, the
/// one that has stalled longest first. A reserve is kept for small requests for memory.
class MemoryBudget {
public:
    /// A part of the memory whose release depends on another process. It can be dropped once that process has stalled.
    class Holder {
    public:
        Holder() = default;
        ~Holder();
        Holder(const Holder&) = delete;
        Holder& operator=(const Holder&) = delete;

        /// Starts to take part; does nothing without a budget. The callback has to release the memory.
        void attach(std::shared_ptr<MemoryBudget>, Support::Instant now, std::function<void()> onDropped);
        void detach();
        bool isAttached() const { return budget_ != nullptr; }

        /// Records how many bytes have been transferred since attach().
        void recordProgress(std::size_t transferredBytes, Support::Instant now);

        /// A small holder is dropped only in favour of other small ones.
        void setSmall(bool isSmall) { isSmall_ = isSmall; }

    private:
        friend class MemoryBudget;

        std::shared_ptr<MemoryBudget> budget_;
        std::function<void()> onDropped_;
        bool isSmall_ = false;
        Support::Instant progressAt_; ///< when the last step's worth of bytes was complete
        std::size_t progressBytes_ = 0; ///< transferred by then
        std::list<Holder*>::iterator position_; ///< in the budget
    };

    explicit MemoryBudget(std::size_t limit);

    std::size_t limit() const { return limit_; }
    std::size_t heldBytes() const { return heldBytes_; }

    /// Number of holders that were dropped, or got no memory.
    std::uint64_t refusedCount() const { return refusedCount_; }

    /// Takes memory, if necessary after dropping holders that have stalled, but never the requester itself. Returns false if
    /// there is no room. Small requests may use the reserve.
    bool tryTake(std::size_t bytes, bool isSmall, Support::Instant now, const Holder* requester = nullptr);

    /// Takes memory for bytes that the node can't do without, even above the limit.
    void take(std::size_t bytes) { heldBytes_ += bytes; }
    void giveBack(std::size_t bytes) { heldBytes_ -= bytes; }

private:
    Holder* findStalled(const Holder* requester, bool includesSmall, Support::Instant now) const;
    void drop(Holder&, Support::Instant now);

    std::size_t limit_;
    std::size_t reserve_; ///< for small requests
    std::size_t heldBytes_ = 0;
    std::uint64_t refusedCount_ = 0;
    std::list<Holder*> holders_; ///< the one that has stalled longest first
};

/// A number of bytes taken from a budget, which gets them back when the reservation is destroyed.
class MemoryReservation {
public:
    /// Without a budget, nothing is limited.
    explicit MemoryReservation(std::shared_ptr<MemoryBudget> budget)
        : budget_(std::move(budget))
    {
    }
    ~MemoryReservation() { resize(0); }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;

    std::size_t bytes() const { return bytes_; }

    /// Returns false, and changes nothing, if the budget has no room for the increase.
    bool tryResize(std::size_t bytes, Support::Instant now);

    /// Takes the increase even above the limit.
    void resize(std::size_t bytes);

private:
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace balsamreel::Relay
