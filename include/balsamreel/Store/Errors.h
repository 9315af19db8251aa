// Errors of the store layer.
#pragma once

#include <system_error>

namespace balsamreel::Store {

enum class StoreError { NotFound = 1,
    VersionConflict, ///< the precondition of an update did not hold; nothing was written
    Unavailable, ///< the call was not carried out
    OutcomeUnknown, ///< an update may or may not have taken effect; read back to learn which
    TooLarge, ///< a value above the store's limit
    BudgetSpent, ///< the node's own budget of calls is used up
    Malformed ///< the answer could not be understood
};

std::error_code make_error_code(StoreError);

} // namespace balsamreel::Store

template <>
struct std::is_error_code_enum<balsamreel::Store::StoreError> : std::true_type {
};
