#include "balsamreel/AtMostOnce/AttemptTable.h"

#include <algorithm>

namespace balsamreel::AtMostOnce {

using Support::Instant;
using Wire::AttemptId;

namespace {

constexpr Support::Duration sweepInterval = std::chrono::minutes(1);

std::size_t bytesOf(const RetainedResponse& response)
{
    auto bytes = response.body.size();
    for (const auto& [name, value] : response.headers)
        bytes += name.size() + value.size();
    return bytes;
}

} // namespace

AttemptTable::Attempt* AttemptTable::find(const AttemptId& id, AttemptState state)
{
    auto found = attempts_.find(id);
    return found != attempts_.end() && found->second.state == state ? &found->second : nullptr;
}

std::pair<AttemptTable::Attempt*, bool> AttemptTable::insert(const AttemptId& id, AttemptState state, Instant deadline)
{
    auto [entry, isNew] = attempts_.try_emplace(id, Attempt{state, deadline, nullptr});
    if (isNew)
        expiries_.emplace(deadline + options_.retention, id);
    return {&entry->second, isNew};
}

bool AttemptTable::isForgotten(const AttemptId& id) const
{
    auto watermark = watermarks_.find(id.incarnation);
    return watermark != watermarks_.end() && id.counter <= watermark->second.counter;
}

bool AttemptTable::admit(Instant, const AttemptId& id, Instant deadline)
{
    if (isForgotten(id))
        return false;
    return insert(id, AttemptState::Offered, deadline).second;
}

bool AttemptTable::dispatch(Instant now, const AttemptId& id)
{
    auto* attempt = find(id, AttemptState::Offered);
    if (!attempt)
        return false;
    // The deadline may have passed here while the process was paused.
    bool isInTime = now < attempt->deadline;
    attempt->state = isInTime ? AttemptState::Dispatched : AttemptState::Refused;
    return isInTime;
}

void AttemptTable::refuse(const AttemptId& id)
{
    if (auto* attempt = find(id, AttemptState::Offered))
        attempt->state = AttemptState::Refused;
}

void AttemptTable::withdraw(const AttemptId& id)
{
    if (auto* attempt = find(id, AttemptState::Dispatched))
        attempt->state = AttemptState::Refused;
}

void AttemptTable::finish(const AttemptId& id)
{
    if (auto* attempt = find(id, AttemptState::Dispatched))
        attempt->state = AttemptState::Done;
}

void AttemptTable::finish(const AttemptId& id, RetainedResponse response)
{
    auto* attempt = find(id, AttemptState::Dispatched);
    if (!attempt)
        return;
    attempt->state = AttemptState::Done;
    auto size = bytesOf(response);
    if (size > options_.maximumResponseBytes || retainedBytes_ + size > options_.maximumRetainedBytes)
        return;
    retainedBytes_ += size;
    attempt->response = std::make_shared<const RetainedResponse>(std::move(response));
}

void AttemptTable::markLost(const AttemptId& id)
{
    if (auto* attempt = find(id, AttemptState::Dispatched))
        attempt->state = AttemptState::Lost;
}

void AttemptTable::complete(const AttemptId& id)
{
    refuse(id);
    markLost(id);
}

AttemptState AttemptTable::revoke(Instant, const AttemptId& id, Instant deadline)
{
    if (!attempts_.contains(id) && isForgotten(id))
        return AttemptState::Forgotten;
    // Record an unseen attempt as revoked, so that a copy that arrives later is refused.
    auto* attempt = insert(id, AttemptState::Revoked, deadline).first;
    if (attempt->state == AttemptState::Offered)
        attempt->state = AttemptState::Revoked;
    return attempt->state;
}

AttemptState AttemptTable::state(const AttemptId& id) const
{
    auto found = attempts_.find(id);
    if (found != attempts_.end())
        return found->second.state;
    return isForgotten(id) ? AttemptState::Forgotten : AttemptState::Unseen;
}

std::shared_ptr<const RetainedResponse> AttemptTable::answer(const AttemptId& id) const
{
    auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : found->second.response;
}

void AttemptTable::evict(Instant now, const AttemptId& id)
{
    auto found = attempts_.find(id);
    if (found->second.response)
        retainedBytes_ -= bytesOf(*found->second.response);
    attempts_.erase(found);
    auto& watermark = watermarks_[id.incarnation];
    watermark.counter = std::max(watermark.counter, id.counter);
    watermark.end = now + options_.watermarkLifetime;
}

void AttemptTable::sweepWatermarks(Instant now)
{
    if (now < nextSweep_)
        return;
    nextSweep_ = now + sweepInterval;
    std::erase_if(watermarks_, [&](const auto& entry) { return entry.second.end <= now; });
}

void AttemptTable::tick(Instant now)
{
    // Open attempts are evicted too: past their deadline and retention, their handlers can no longer affect the outcome.
    // Each tick evicts a limited number, because calls wait for the lock of the guard meanwhile.
    for (std::size_t count = 0; count < maximumEvictedPerTick && !expiries_.empty() && expiries_.begin()->first <= now; ++count) {
        evict(now, expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
    }
    sweepWatermarks(now);
}

} // namespace balsamreel::AtMostOnce
