#pragma once

#include <cereal/cereal.hpp>

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace balsamreel::Wire {

/// Thrown within this layer when a size exceeds its limit; decode() converts it to a WireError.
class SizeLimitExceeded : public std::runtime_error {
public:
    SizeLimitExceeded()
        : std::runtime_error("size limit exceeded")
    {
    }
};

/// Reads or writes a size as two bytes; the limit must be at most 65,535. Checks the size, so that callers allocate
/// memory only within the limit.
template <typename Archive>
std::size_t serializeSize(Archive& archive, std::size_t size, std::size_t limit)
{
    auto count = static_cast<std::uint16_t>(size);
    archive(count);
    if (count > limit)
        throw SizeLimitExceeded();
    return static_cast<std::size_t>(count);
}

/// Reads or writes a text of at most limit bytes.
template <typename Archive>
void serializeText(Archive& archive, std::string& text, std::size_t limit)
{
    text.resize(serializeSize(archive, text.size(), limit));
    archive(cereal::binary_data(text.data(), text.size()));
}

/// Reads or writes a list of at most limit elements.
template <typename Archive, typename Element>
void serializeList(Archive& archive, std::vector<Element>& list, std::size_t limit)
{
    std::size_t count = serializeSize(archive, list.size(), limit);
    if constexpr (Archive::is_loading::value)
        list.clear();
    for (std::size_t index = 0; index < count; ++index) {
        if constexpr (Archive::is_loading::value)
            list.emplace_back();
        archive(list[index]);
    }
}

} // namespace balsamreel::Wire
