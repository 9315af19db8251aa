#include "balsamreel/Node/Paces.h"

#include <utility>

namespace balsamreel::Node {

using Support::Endpoint;
using Support::Instant;
using Support::monotonicNow;

Paces::Run::Run(Paces& paces, const Endpoint& server, const std::string& route)
    : paces_(paces)
    , server_(server)
    , route_(route)
    , startedAt_(monotonicNow())
{
    std::lock_guard lock(paces_.mutex_);
    paces_.paces_[server_].started(startedAt_, route_);
}

Paces::Run::~Run()
{
    finish(Balance::AttemptResult::Broken);
}

void Paces::Run::finish(Balance::AttemptResult result)
{
    if (!std::exchange(isOpen_, false))
        return;
    std::lock_guard lock(paces_.mutex_);
    paces_.paces_[server_].finished(monotonicNow(), startedAt_, route_, result);
}

bool Paces::isDiverting(Instant now, const Endpoint& server) const
{
    std::lock_guard lock(mutex_);
    auto found = paces_.find(server);
    return found != paces_.end() && found->second.isDiverting(now);
}

std::optional<double> Paces::slowdown(Instant now, const Endpoint& server) const
{
    std::lock_guard lock(mutex_);
    auto found = paces_.find(server);
    return found == paces_.end() ? std::nullopt : found->second.slowdown(now);
}

} // namespace balsamreel::Node
