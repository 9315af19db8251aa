// Trace events of a single call, recorded only at the caller's request.
#pragma once

#include "balsamreel/Support/Timeline.h"

#include <Poco/Net/HTTPRequest.h>
#include <fmt/format.h>

#include <string>

namespace balsamreel::Node {

/// Traces one call through this node. A call is traced if its request has an X-Balsam-Trace header, which is passed to
/// the next hop.
class CallTrace {
public:
    CallTrace() = default;
    CallTrace(Support::Timeline& timeline, const Poco::Net::HTTPRequest& request, std::string callId);

    bool isOn() const { return timeline_ != nullptr; }

    /// Sets the trace header on the request to the next hop.
    void propagate(Poco::Net::HTTPRequest&) const;

    /// Records a step of the call with additional key=value fields.
    template <typename... Arguments>
    void step(std::string_view name, fmt::format_string<Arguments...> fields, Arguments&&... arguments) const
    {
        if (isOn())
            record(name, fmt::format(fields, std::forward<Arguments>(arguments)...));
    }

private:
    void record(std::string_view name, const std::string& fields) const;

    Support::Timeline* timeline_ = nullptr;
    std::string callId_;
};

} // namespace balsamreel::Node
