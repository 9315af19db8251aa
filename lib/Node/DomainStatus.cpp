#include "balsamreel/Node/DomainStatus.h"

namespace balsamreel::Node {

using Store::StoreError;

void DomainStatus::update(Support::Instant now, const std::string& text)
{
    if (text == storedText_ || (lastAttemptAt_ && now - *lastAttemptAt_ < shortestInterval))
        return;
    lastAttemptAt_ = now;
    std::uint64_t version = 0;
    auto error = store_.put(key_, text, precondition_, version);
    if (!error) {
        precondition_ = Store::IfVersion{version};
        storedText_ = text;
        return;
    }
    if (error != StoreError::VersionConflict && error != StoreError::OutcomeUnknown)
        return;
    // Another node has written since, or the response to this node's write was lost. The next update is based on the
    // stored version, so that a node that was paused for long can't overwrite a newer status with an update that it had
    // already sent.
    Store::Object object;
    error = store_.get(key_, object);
    if (!error) {
        precondition_ = Store::IfVersion{object.version};
        storedText_ = object.value;
    } else if (error == StoreError::NotFound) {
        precondition_ = Store::IfAbsent();
    }
}

} // namespace balsamreel::Node
