// Errors of the store layer.
#pragma once

#include <system_error>

namespace balsamreel::Store {

enum class StoreError { NotFound = 1,
    VersionConflict, ///< the precondition of an update did not hold; nothing was changed
    Unavailable, ///< the store did not process the call or, for a read, its response was lost
    OutcomeUnknown, ///< an update may or may not have taken effect; the caller must read back
    TooLarge, ///< the value exceeds the store's size limit
    BudgetSpent, ///< the node's own call budget is exhausted
    Malformed ///< the response could not be parsed or is too large
};

std::error_code make_error_code(StoreError);

} // namespace balsamreel::Store

template <>
struct std::is_error_code_enum<balsamreel::Store::StoreError> : std::true_type {
};
