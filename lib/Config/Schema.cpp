#include "Schema.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace balsamreel::Config {

namespace {

constexpr std::int64_t maximumDeadlineMillis = 3'600'000;
constexpr std::int64_t maximumQueueMillis = 60'000;
constexpr double maximumProbesPerSecond = 1000;
constexpr double maximumLimitFactor = 8;
constexpr std::size_t maximumNameBytes = 64;
constexpr std::size_t maximumPathBytes = 1024;

std::string readMillis(const toml::node& node, std::int64_t minimum, std::int64_t maximum, Support::Duration& target)
{
    auto value = node.value_exact<std::int64_t>();
    if (!value)
        return "must be a whole number of milliseconds";
    if (*value < minimum || *value > maximum)
        return fmt::format("must be between {} and {} milliseconds, not {}", minimum, maximum, *value);
    target = std::chrono::milliseconds(*value);
    return {};
}

std::string readReal(const toml::node& node, double minimum, double maximum, double& target)
{
    auto value = node.value<double>();
    if (!value || node.is_boolean())
        return "must be a number";
    if (!(*value >= minimum && *value <= maximum))
        return fmt::format("must be between {} and {}, not {}", minimum, maximum, *value);
    target = *value;
    return {};
}

std::string readText(const toml::node& node, std::size_t maximum, std::string& target)
{
    auto value = node.value_exact<std::string>();
    if (!value || value->empty() || value->size() > maximum)
        return fmt::format("must be a string of 1 to {} bytes", maximum);
    target = *value;
    return {};
}

template <typename Enum, std::size_t Size>
std::string readEnum(const toml::node& node, const Support::NameTable<Enum, Size>& table, Enum& target)
{
    auto text = node.value_exact<std::string>();
    auto value = text ? Support::valueOf(table, *text) : std::nullopt;
    if (!value) {
        std::vector<std::string> names;
        for (const auto& row : table)
            names.emplace_back(row.name);
        return fmt::format("must be one of \"{}\"", fmt::join(names, "\", \""));
    }
    target = *value;
    return {};
}

std::string readMethods(const toml::node& node, Route& route)
{
    constexpr const char* expected = "must be a list of upper-case HTTP methods, such as [\"GET\", \"POST\"]";
    const auto* list = node.as_array();
    if (!list)
        return expected;
    route.methods.clear();
    for (const auto& element : *list) {
        auto method = element.value_exact<std::string>();
        bool isMethod = method && !method->empty() && std::ranges::all_of(*method, [](char letter) { return letter >= 'A' && letter <= 'Z'; });
        if (!isMethod)
            return expected;
        route.methods.push_back(*method);
    }
    return {};
}

std::string readPath(const toml::node& node, Route& route)
{
    if (auto error = readText(node, maximumPathBytes, route.path); !error.empty())
        return error;
    return route.path.front() == '/' ? std::string() : "must start with '/'";
}

std::string readPriority(const toml::node& node, Route& route)
{
    auto value = node.value_exact<std::int64_t>();
    if (!value || *value < 0 || *value > Route::lowestPriority)
        return fmt::format("must be a whole number from 0 (most urgent) to {}", Route::lowestPriority);
    route.priority = static_cast<unsigned>(*value);
    return {};
}

std::string readAtMostOnce(const toml::node& node, Route& route)
{
    auto value = node.value_exact<bool>();
    if (!value)
        return "must be true or false";
    route.isAtMostOnce = *value;
    return {};
}

constexpr KeySchema<Service> serviceKeyTable[] = {
    {"policy", [](const toml::node& node, Service& service) { return readEnum(node, policyNames, service.policy); }},
    {"deadline_ms", [](const toml::node& node, Service& service) { return readMillis(node, 1, maximumDeadlineMillis, service.deadline); }},
    {"retry_ratio", [](const toml::node& node, Service& service) { return readReal(node, 0, 1, service.retryRatio); }},
    {"long_share", [](const toml::node& node, Service& service) { return readReal(node, 0, 1, service.longShare); }},
    {"probes_per_s", [](const toml::node& node, Service& service) { return readReal(node, 0, maximumProbesPerSecond, service.probesPerSecond); }},
    {"limit_factor", [](const toml::node& node, Service& service) { return readReal(node, 1, maximumLimitFactor, service.limitFactor); }},
    {"queue_ms", [](const toml::node& node, Service& service) { return readMillis(node, 0, maximumQueueMillis, service.maximumQueueWait); }},
};

constexpr KeySchema<Route> routeKeyTable[] = {
    {"service", [](const toml::node& node, Route& route) { return readText(node, maximumNameBytes, route.service); }},
    {"path", readPath},
    {"methods", readMethods},
    {"at_most_once", readAtMostOnce},
    {"class", [](const toml::node& node, Route& route) { return readEnum(node, workClassNames, route.workClass); }},
    {"priority", readPriority},
    {"deadline_ms", [](const toml::node& node, Route& route) { return readMillis(node, 1, maximumDeadlineMillis, route.deadline); }},
};

// Levenshtein distance.
std::size_t editDistance(std::string_view first, std::string_view second)
{
    std::vector<std::size_t> row(second.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t(0));
    for (std::size_t i = 0; i < first.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < second.size(); ++j) {
            std::size_t substitution = diagonal + (first[i] == second[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substitution, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

} // namespace

std::span<const KeySchema<Service>> serviceKeys()
{
    return serviceKeyTable;
}

std::span<const KeySchema<Route>> routeKeys()
{
    return routeKeyTable;
}

std::string nearestName(std::string_view name, const std::vector<std::string>& names)
{
    std::string best;
    std::size_t bestDistance = std::max<std::size_t>(2, name.size() / 2);
    for (const auto& candidate : names) {
        std::size_t distance = editDistance(name, candidate);
        if (distance > bestDistance || (distance == bestDistance && !best.empty()))
            continue;
        bestDistance = distance;
        best = candidate;
    }
    return best;
}

} // namespace balsamreel::Config
