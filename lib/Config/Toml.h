// Includes toml++ with its internal assertions disabled.
#pragma once

// In toml++ 3.3.0 a table header that starts with a character that is invalid in a key, such as "[%", violates an
// assertion of the library before the branch that reports the error. In builds without assertions the library passes the
// same condition to the optimizer as an assumption, which makes the violation undefined behaviour. A typing error of an
// operator must cause neither.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(condition) static_cast<void>(0)
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")
