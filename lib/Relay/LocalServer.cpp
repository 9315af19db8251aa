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

bool LocalServer::announce(const Announcement& announcement)
{
    // Only the one server on this VM can be reached from here.
    if (announcement.service != service_ || announcement.address != address_)
        return false;
    hasHeard_ = true;
    auto left = leftBorn_.find(announcement.instance);
    if (left != leftBorn_.end() && announcement.processStartMillis <= left->second)
        return false;
    if (current_) {
        bool isSameProcess = current_->instance == announcement.instance && current_->processStartMillis == announcement.processStartMillis;
        if (isSameProcess && announcement.sequence <= current_->sequence)
            return false;
        // A process that was started earlier than the known one has ended; its announcement was delayed.
        if (!isSameProcess && announcement.processStartMillis < current_->processStartMillis)
            return false;
        // Draining is final for one process.
        if (isSameProcess && current_->state == ServerState::Draining && announcement.state == ServerState::Ready)
            return true;
    }
    current_ = announcement;
    return true;
}

void LocalServer::adopt(const std::string& instance, std::uint32_t slots)
{
    assert(!hasHeard_ && "what a server says of itself goes before what it was found to be");
    Announcement found;
    found.instance = instance;
    found.address = address_;
    found.service = service_;
    found.slots = slots;
    current_ = found;
}

void LocalServer::leave(const std::string& instance, std::optional<std::int64_t> processStartMillis)
{
    hasHeard_ = true;
    bool isCurrent = current_ && current_->instance == instance;
    std::int64_t born = std::numeric_limits<std::int64_t>::min();
    if (processStartMillis)
        born = *processStartMillis;
    else if (isCurrent)
        born = current_->processStartMillis;
    auto& newest = leftBorn_.try_emplace(instance, born).first->second;
    newest = std::max(newest, born);
    if (isCurrent && current_->processStartMillis <= born)
        current_.reset();
}

const Announcement* LocalServer::ready() const
{
    if (!current_ || current_->state != ServerState::Ready)
        return nullptr;
    return &*current_;
}

} // namespace balsamreel::Relay
