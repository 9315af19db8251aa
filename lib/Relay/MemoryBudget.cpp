#include "balsamreel/Relay/MemoryBudget.h"

#include <utility>

namespace balsamreel::Relay {

namespace {

using Support::Duration;
using Support::Instant;

// Share of the budget that is kept for small requests.
constexpr std::size_t reserveDivisor = 16;
// A holder that makes progress without pause is not dropped for another one.
constexpr Duration minimumStall = std::chrono::milliseconds(500);
// Fewer bytes are no progress, so that a peer can't protect its holder by single bytes.
constexpr std::size_t progressStepBytes = 15 * 1024;
// Requests up to this size may use the reserve.
constexpr std::size_t smallReservationBytes = 64 * 1024;

} // namespace

MemoryBudget::Holder::~Holder()
{
    detach();
}

void MemoryBudget::Holder::attach(std::shared_ptr<MemoryBudget> budget, Instant now, std::function<void()> onDropped)
{
    detach();
    if (!budget)
        return;
    budget_ = std::move(budget);
    onDropped_ = std::move(onDropped);
    progressAt_ = now;
    progressBytes_ = 0;
    position_ = budget_->holders_.insert(budget_->holders_.end(), this);
}

void MemoryBudget::Holder::detach()
{
    if (!budget_)
        return;
    budget_->holders_.erase(position_);
    budget_.reset();
}

void MemoryBudget::Holder::recordProgress(std::size_t transferredBytes, Instant now)
{
    if (!budget_ || transferredBytes < progressBytes_ + progressStepBytes)
        return;
    progressBytes_ = transferredBytes;
    progressAt_ = now;
    budget_->holders_.splice(budget_->holders_.end(), budget_->holders_, position_);
}

MemoryBudget::MemoryBudget(std::size_t limit)
    : limit_(limit)
    , reserve_(limit / reserveDivisor)
{
}

bool MemoryBudget::tryTake(std::size_t bytes, bool isSmall, Instant now, const Holder* requester)
{
    auto limit = isSmall ? limit_ : limit_ - reserve_;
    while (heldBytes_ + bytes > limit) {
        auto* stalled = findStalled(requester, isSmall, now);
        if (!stalled) {
            ++refusedCount_;
            return false;
        }
        drop(*stalled, now);
    }
    heldBytes_ += bytes;
    return true;
}

// Small holders are dropped for other small ones only, and after all larger ones.
MemoryBudget::Holder* MemoryBudget::findStalled(const Holder* requester, bool includesSmall, Instant now) const
{
    Holder* small = nullptr;
    for (auto* holder : holders_) {
        if (now - holder->progressAt_ < minimumStall)
            break;
        if (holder == requester)
            continue;
        if (!holder->isSmall_)
            return holder;
        small = small ? small : holder;
    }
    return includesSmall ? small : nullptr;
}

// The callback may destroy the holder, so it is called last, from a copy.
void MemoryBudget::drop(Holder& holder, Instant now)
{
    ++refusedCount_;
    holder.progressAt_ = now;
    holders_.splice(holders_.end(), holders_, holder.position_);
    auto onDropped = holder.onDropped_;
    onDropped();
}

bool MemoryReservation::tryResize(std::size_t bytes, Instant now)
{
    if (bytes <= bytes_ || !budget_) {
        resize(bytes);
        return true;
    }
    auto increase = bytes - bytes_;
    if (!budget_->tryTake(increase, bytes <= smallReservationBytes, now))
        return false;
    bytes_ = bytes;
    return true;
}

void MemoryReservation::resize(std::size_t bytes)
{
    if (!budget_)
        return;
    if (bytes > bytes_)
        budget_->take(bytes - bytes_);
    else
        budget_->giveBack(bytes_ - bytes);
    bytes_ = bytes;
}

} // namespace balsamreel::Relay
