// Tables that give the names of an enum class, for text in both directions.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace balsamreel::Support {

/// One row: a value and its name.
template <typename Enum>
struct NameRow {
    Enum value;
    std::string_view name;
};

template <typename Enum, std::size_t Size>
using NameTable = std::array<NameRow<Enum>, Size>;

/// The name of a value; "unknown" where the table has none.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const NameTable<Enum, Size>& table, Enum value)
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// The value of a name, if the table has it.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(const NameTable<Enum, Size>& table, std::string_view name)
{
    for (const auto& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace balsamreel::Support
