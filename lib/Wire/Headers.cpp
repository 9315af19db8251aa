#include "balsamreel/Wire/Headers.h"

#include <array>
#include <charconv>
#include <cstddef>
#include <fmt/format.h>

namespace balsamreel::Wire {

namespace {

constexpr int hexBase = 16;
constexpr int decimalBase = 10;

template <typename Number>
bool readNumber(std::string_view text, Number& number, int base)
{
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return error == std::errc() && end == text.data() + text.size();
}

} // namespace

std::string AttemptId::text() const
{
    return fmt::format("{:x}-{:x}", incarnation, counter);
}

std::optional<AttemptId> parseAttemptId(std::string_view text)
{
    auto dash = text.find('-');
    if (dash == std::string_view::npos)
        return std::nullopt;
    AttemptId id;
    if (!readNumber(text.substr(0, dash), id.incarnation, hexBase) || !readNumber(text.substr(dash + 1), id.counter, hexBase))
        return std::nullopt;
    return id;
}

std::string LoadStamp::text() const
{
    return fmt::format("{}/{}/{}/{}", running, queued, limit, waitMicros);
}

std::optional<LoadStamp> parseLoadStamp(std::string_view text)
{
    LoadStamp stamp;
    std::array<std::uint32_t*, 4> fields{&stamp.running, &stamp.queued, &stamp.limit, &stamp.waitMicros};
    for (std::size_t index = 0; index < fields.size(); ++index) {
        auto slash = text.find('/');
        bool isLast = index + 1 == fields.size();
        if ((slash == std::string_view::npos) != isLast)
            return std::nullopt;
        if (!readNumber(text.substr(0, slash), *fields[index], decimalBase))
            return std::nullopt;
        text = isLast ? std::string_view() : text.substr(slash + 1);
    }
    return stamp;
}

} // namespace balsamreel::Wire
