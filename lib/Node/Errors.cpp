#include "balsamreel/Node/Errors.h"

namespace balsamreel::Node {

namespace {

class ExchangeCategory : public std::error_category {
public:
    const char* name() const noexcept override { return "exchange"; }
    std::string message(int value) const override
    {
        switch (static_cast<ExchangeError>(value)) {
        case ExchangeError::Unreachable:
            return "no connection could be opened";
        case ExchangeError::NoResponse:
            return "the connection closed without an answer";
        case ExchangeError::TimedOut:
            return "the deadline passed without an answer";
        case ExchangeError::CallerLeft:
            return "the caller left";
        case ExchangeError::ResponseTruncated:
            return "the answer was cut";
        case ExchangeError::RequestTruncated:
            return "the request was cut";
        case ExchangeError::StoppedByCheck:
            return "the outcome was learned over another connection";
        }
        return "unknown exchange error";
    }
};

} // namespace

std::error_code make_error_code(ExchangeError error)
{
    static const ExchangeCategory category;
    return {static_cast<int>(error), category};
}

} // namespace balsamreel::Node
