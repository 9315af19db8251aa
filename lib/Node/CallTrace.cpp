#include "balsamreel/Node/CallTrace.h"

#include "balsamreel/Wire/Headers.h"

namespace balsamreel::Node {

CallTrace::CallTrace(Support::Timeline& timeline, const Poco::Net::HTTPRequest& request, std::string callId)
    : timeline_(request.has(Wire::traceHeader) ? &timeline : nullptr)
    , callId_(std::move(callId))
{
}

void CallTrace::propagate(Poco::Net::HTTPRequest& request) const
{
    if (isOn())
        request.set(Wire::traceHeader, "1");
}

void CallTrace::record(std::string_view name, const std::string& fields) const
{
    timeline_->record("call", fmt::format("call={} step={} {}", callId_, name, fields));
}

} // namespace balsamreel::Node
