#include "balsamreel/Once/AttemptTable.h"

namespace balsamreel::Once {

using Support::Instant;
using Wire::AttemptId;

bool AttemptTable::offer(Instant, const AttemptId& id, Instant deadline)
{
    return attempts_.try_emplace(id, Attempt{AttemptState::Offered, deadline, nullptr}).second;
}

bool AttemptTable::dispatch(Instant now, const AttemptId& id)
{
    auto found = attempts_.find(id);
    if (found == attempts_.end() || found->second.state != AttemptState::Offered)
        return false;
    // A process that was paused wakes here with a deadline that has passed.
    if (found->second.deadline <= now) {
        found->second.state = AttemptState::Refused;
        return false;
    }
    found->second.state = AttemptState::Dispatched;
    return true;
}

void AttemptTable::refuse(const AttemptId& id)
{
    auto found = attempts_.find(id);
    if (found != attempts_.end() && found->second.state == AttemptState::Offered)
        found->second.state = AttemptState::Refused;
}

void AttemptTable::withdraw(const AttemptId& id)
{
    auto found = attempts_.find(id);
    if (found != attempts_.end() && found->second.state == AttemptState::Dispatched)
        found->second.state = AttemptState::Refused;
}

void AttemptTable::finish(const AttemptId& id, RetainedAnswer answer)
{
    auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    found->second.state = AttemptState::Done;
    auto size = answer.body.size();
    if (size > options_.maximumAnswerBytes || retainedBytes_ + size > options_.maximumRetainedBytes)
        return;
    retainedBytes_ += size;
    found->second.answer = std::make_shared<const RetainedAnswer>(std::move(answer));
}

void AttemptTable::lose(const AttemptId& id)
{
    auto found = attempts_.find(id);
    if (found != attempts_.end() && found->second.state == AttemptState::Dispatched)
        found->second.state = AttemptState::Lost;
}

AttemptState AttemptTable::revoke(Instant, const AttemptId& id, Instant deadline)
{
    // An unseen attempt is entered as revoked, so that a copy still on its way is refused.
    auto& attempt = attempts_.try_emplace(id, Attempt{AttemptState::Revoked, deadline, nullptr}).first->second;
    if (attempt.state == AttemptState::Offered)
        attempt.state = AttemptState::Revoked;
    return attempt.state;
}

AttemptState AttemptTable::state(const AttemptId& id) const
{
    auto found = attempts_.find(id);
    return found == attempts_.end() ? AttemptState::Unseen : found->second.state;
}

std::shared_ptr<const RetainedAnswer> AttemptTable::answer(const AttemptId& id) const
{
    auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : found->second.answer;
}

// Each tick looks at a few attempts only: a look at all of them under the guard's lock delays calls.
void AttemptTable::tick(Instant now)
{
    auto current = attempts_.lower_bound(nextChecked_);
    for (std::size_t count = 0; count < maximumChecksPerTick && current != attempts_.end(); ++count) {
        const auto& attempt = current->second;
        bool isOpen = attempt.state == AttemptState::Offered || attempt.state == AttemptState::Dispatched;
        if (isOpen || now < attempt.deadline + options_.retention) {
            ++current;
            continue;
        }
        if (attempt.answer)
            retainedBytes_ -= attempt.answer->body.size();
        current = attempts_.erase(current);
    }
    nextChecked_ = current == attempts_.end() ? AttemptId() : current->first;
}

} // namespace balsamreel::Once
