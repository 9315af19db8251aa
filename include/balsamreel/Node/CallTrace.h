// Events of a single call, recorded only if its caller asked for them.
#pragma once

#include "balsamreel/Support/Timeline.h"

#include <Poco/Net/HTTPRequest.h>
#include <fmt/format.h>

#include <string>

namespace balsamreel::Node {

/// Follows one call through this node. A call is traced if it carries X-Balsam-Trace; the header is passed on.
class CallTrace {
public:
    CallTrace() = default;
    CallTrace(Support::Timeline& timeline, const Poco::Net::HTTPRequest& request, std::string callId);

    bool isOn() const { return timeline_ != nullptr; }

    /// Marks the next hop's request as traced.
    void propagate(Poco::Net::HTTPRequest&) const;

    /// Records a step with more key=value pairs.
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
