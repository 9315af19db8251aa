#include "balsamreel/Relay/CompletedAttempts.h"

#include <algorithm>

namespace balsamreel::Relay {

namespace {

constexpr std::size_t maximumBytes = 4U * 1024 * 1024;
// Nodes of the map and of both sets, rounded up.
constexpr std::size_t recordOverheadBytes = 400;
// Once a sender has no attempt left that could be open, a watermark only rejects copies that are still in transit.
constexpr Duration watermarkLifetime = std::chrono::hours(1);
constexpr Duration sweepInterval = std::chrono::minutes(1);
const Outcome droppedOutcome = Unknown{Reason::OutcomeDropped};

std::size_t sizeOf(const Outcome& outcome)
{
    const auto* response = std::get_if<ServerResponse>(&outcome);
    if (!response)
        return recordOverheadBytes;
    auto bytes = recordOverheadBytes + response->body.size();
    for (const auto& header : response->headers)
        bytes += sizeof(Header) + header.name.size() + header.value.size();
    return bytes;
}

} // namespace

void CompletedAttempts::add(Instant now, const AttemptKey& key, Instant deadline, Outcome outcome)
{
    auto bytes = sizeOf(outcome);
    bool isResponse = std::holds_alternative<ServerResponse>(outcome);
    if (!records_.try_emplace(key, Record{std::move(outcome), deadline, bytes}).second)
        return;
    deadlines_.emplace(deadline, key);
    if (isResponse)
        responseDeadlines_.emplace(deadline, key);
    bytes_ += bytes;
    limitBytes(now);
}

const Outcome* CompletedAttempts::find(const AttemptKey& key) const
{
    auto found = records_.find(key);
    if (found != records_.end())
        return &found->second.outcome;
    auto watermark = watermarks_.find(key.senderIncarnation);
    bool mayBeDropped = watermark != watermarks_.end() && key.serial <= watermark->second.serial;
    return mayBeDropped ? &droppedOutcome : nullptr;
}

// After its deadline no sender queries an attempt any more.
void CompletedAttempts::evict(Instant now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
        dropFirst(now);
    sweepWatermarks(now);
}

// Drops the responses first: without its response, an attempt is still known to have run.
void CompletedAttempts::limitBytes(Instant now)
{
    while (bytes_ > maximumBytes && !responseDeadlines_.empty())
        dropResponse(responseDeadlines_.begin()->second);
    while (bytes_ > maximumBytes)
        dropFirst(now);
}

void CompletedAttempts::dropResponse(const AttemptKey& key)
{
    auto& record = records_.at(key);
    responseDeadlines_.erase({record.deadline, key});
    record.outcome = droppedOutcome;
    bytes_ -= record.bytes - recordOverheadBytes;
    record.bytes = recordOverheadBytes;
}

void CompletedAttempts::dropFirst(Instant now)
{
    auto [deadline, key] = *deadlines_.begin();
    deadlines_.erase(deadlines_.begin());
    responseDeadlines_.erase({deadline, key});
    auto record = records_.find(key);
    bytes_ -= record->second.bytes;
    records_.erase(record);
    auto& watermark = watermarks_[key.senderIncarnation];
    watermark.serial = std::max(watermark.serial, key.serial);
    watermark.end = std::max(watermark.end, std::max(now, deadline) + watermarkLifetime);
}

void CompletedAttempts::sweepWatermarks(Instant now)
{
    if (now < nextSweep_)
        return;
    nextSweep_ = now + sweepInterval;
    std::erase_if(watermarks_, [now](const auto& watermark) { return watermark.second.end <= now; });
}

} // namespace balsamreel::Relay
