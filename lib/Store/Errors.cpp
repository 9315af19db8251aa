#include "balsamreel/Store/Errors.h"

namespace balsamreel::Store {

namespace {

class StoreCategory : public std::error_category {
public:
    const char* name() const noexcept override { return "store"; }
    std::string message(int value) const override
    {
        switch (static_cast<StoreError>(value)) {
        case StoreError::NotFound:
            return "no such object";
        case StoreError::VersionConflict:
            return "the object has changed since it was read";
        case StoreError::Unavailable:
            return "the object store did not process the call";
        case StoreError::OutcomeUnknown:
            return "the response was lost; the update may have taken effect";
        case StoreError::TooLarge:
            return "the value exceeds the size limit of the object store";
        case StoreError::BudgetSpent:
            return "the budget of store calls is exhausted";
        case StoreError::Malformed:
            return "the response of the object store is malformed";
        }
        return "unknown store error";
    }
};

} // namespace

std::error_code make_error_code(StoreError error)
{
    static const StoreCategory category;
    return {static_cast<int>(error), category};
}

} // namespace balsamreel::Store
