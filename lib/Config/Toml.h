// Includes toml++ with its internal assumptions switched off.
#pragma once

// In toml++ 3.3.0 a table header that starts with a character no key may start with, such as "[%", breaks an
// assertion of the library before it reaches the branch that reports the error. In builds without assertions
// the same condition is handed to the optimizer as a promise. Neither may happen on an operator's typing error.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(condition) static_cast<void>(0)
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")
