#include "balsamreel/Relay/LocalServer.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace balsamreel::Relay {

LocalServer::LocalServer(std::string service, Support::Endpoint address)
    : service_(std::move(service))
    , address_(std::move(address))
{
}

bool LocalServer::handleAnnouncement(const Announcement& announcement)
{
    // Only the configured server on this VM can be reached from here.
    if (announcement.service != service_ || announcement.address != address_)
        return false;
    hasReported_ = true;
    auto departed = departedStartMillis_.find(announcement.instance);
    if (departed != departedStartMillis_.end() && announcement.processStartMillis <= departed->second)
        return false;
    if (current_) {
        bool isSameProcess = current_->instance == announcement.instance && current_->processStartMillis == announcement.processStartMillis;
        if (isSameProcess && announcement.sequence <= current_->sequence)
            return false;
        // A process that started before the known one has ended; its announcement was delayed.
        if (!isSameProcess && announcement.processStartMillis < current_->processStartMillis)
            return false;
        // A process never becomes ready again after it began to drain.
        if (isSameProcess && current_->state == ServerState::Draining && announcement.state == ServerState::Ready)
            return true;
    }
    current_ = announcement;
    return true;
}

void LocalServer::discover(const std::string& instance, std::uint32_t slots)
{
    assert(!hasReported_ && "an announcement or a leave takes precedence over discovery");
    Announcement discovered;
    discovered.instance = instance;
    discovered.address = address_;
    discovered.service = service_;
    discovered.slots = slots;
    current_ = discovered;
}

void LocalServer::handleLeave(const std::string& instance, std::optional<std::int64_t> processStartMillis)
{
    hasReported_ = true;
    bool isCurrent = current_ && current_->instance == instance;
    std::int64_t startMillis = std::numeric_limits<std::int64_t>::min();
    if (processStartMillis)
        startMillis = *processStartMillis;
    else if (isCurrent)
        startMillis = current_->processStartMillis;
    auto& newestStartMillis = departedStartMillis_.try_emplace(instance, startMillis).first->second;
    newestStartMillis = std::max(newestStartMillis, startMillis);
    if (isCurrent && current_->processStartMillis <= startMillis)
        current_.reset();
}

const Announcement* LocalServer::ready() const
{
    if (!current_ || current_->state != ServerState::Ready)
        return nullptr;
    return &*current_;
}

} // namespace balsamreel::Relay
