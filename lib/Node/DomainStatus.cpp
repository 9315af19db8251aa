#include "balsamreel/Node/DomainStatus.h"

namespace balsamreel::Node {

using Store::StoreError;

void DomainStatus::update(Support::Instant now, const std::string& text)
{
    if (text == written_ || (triedAt_ && now - *triedAt_ < shortestInterval))
        return;
    triedAt_ = now;
    std::uint64_t version = 0;
    auto error = store_.put(key_, text, precondition_, version);
    if (!error) {
        precondition_ = Store::IfVersion{version};
        written_ = text;
        return;
    }
    if (error != StoreError::VersionConflict && error != StoreError::OutcomeUnknown)
        return;
    // Another node wrote since, or the own answer was lost. The next update goes on top of what is there, so that
    // a node that was paused for long can't overwrite newer news by an update it had already sent.
    Store::Object object;
    error = store_.get(key_, object);
    if (!error) {
        precondition_ = Store::IfVersion{object.version};
        written_ = object.value;
    } else if (error == StoreError::NotFound) {
        precondition_ = Store::IfAbsent();
    }
}

} // namespace balsamreel::Node
