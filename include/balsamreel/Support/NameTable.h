#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace balsamreel::Support {

template <typename Enum>
struct NameRow {
    Enum value;
    std::string_view name;
};

/// Maps the values of an enum class to names and back.
template <typename Enum, std::size_t Size>
using NameTable = std::array<NameRow<Enum>, Size>;

/// The name of a value; "unknown" if the table does not contain it.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const NameTable<Enum, Size>& table, Enum value)
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// The value of a name, if the table contains it.
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
