#include "balsamreel/Node/SlowdownTable.h"

#include <utility>

namespace balsamreel::Node {

using Support::Endpoint;
using Support::Instant;
using Support::monotonicNow;

SlowdownTable::Measurement::Measurement(SlowdownTable& table, const Endpoint& server, const std::string& route)
    : table_(table)
    , server_(server)
    , route_(route)
    , startedAt_(monotonicNow())
{
    std::lock_guard lock(table_.mutex_);
    table_.slowdowns_[server_].started(startedAt_, route_);
}

SlowdownTable::Measurement::~Measurement()
{
    finish(Balance::AttemptResult::Broken);
}

void SlowdownTable::Measurement::finish(Balance::AttemptResult result)
{
    if (!std::exchange(isOpen_, false))
        return;
    std::lock_guard lock(table_.mutex_);
    table_.slowdowns_[server_].finished(monotonicNow(), startedAt_, route_, result);
}

bool SlowdownTable::isDiverting(Instant now, const Endpoint& server) const
{
    std::lock_guard lock(mutex_);
    auto found = slowdowns_.find(server);
    return found != slowdowns_.end() && found->second.isDiverting(now);
}

std::optional<double> SlowdownTable::slowdown(Instant now, const Endpoint& server) const
{
    std::lock_guard lock(mutex_);
    auto found = slowdowns_.find(server);
    return found == slowdowns_.end() ? std::nullopt : found->second.slowdown(now);
}

} // namespace balsamreel::Node
