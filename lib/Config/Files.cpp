#include "balsamreel/Config/Files.h"

#include "Schema.h"
#include "TextCheck.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <sstream>

namespace balsamreel::Config {

namespace {

constexpr const char* serviceTable = "service";
constexpr const char* routeTable = "route";

Diagnostic diagnosticAt(const std::string& file, const toml::source_region& source, std::string key, std::string message)
{
    return {file, source.begin.line, source.begin.column, std::move(key), std::move(message)};
}

// Merges tables recursively, so that a later file can override a single key of a service or route.
void mergeTable(toml::table& target, const toml::table& source)
{
    for (const auto& [key, node] : source) {
        auto* existing = target.get(key.str());
        if (existing && existing->is_table() && node.is_table())
            mergeTable(*existing->as_table(), *node.as_table());
        else
            target.insert_or_assign(key.str(), node);
    }
}

template <typename Entity>
std::vector<std::string> namesOf(std::span<const KeySchema<Entity>> schema)
{
    std::vector<std::string> names;
    for (const auto& key : schema)
        names.emplace_back(key.name);
    return names;
}

std::string unknownKeyMessage(std::string_view key, const std::vector<std::string>& names)
{
    auto nearest = nearestName(key, names);
    return nearest.empty() ? std::string("unknown key") : fmt::format("unknown key; did you mean \"{}\"?", nearest);
}

/// Checks the tables of one file and stores their values in the configuration.
class Checker {
public:
    Checker(std::string file, MergeResult& result)
        : file_(std::move(file))
        , result_(result)
    {
    }

    void checkRoot(const toml::table& root)
    {
        for (const auto& [key, node] : root) {
            if (key.str() == serviceTable)
                checkEntities<Service>(serviceTable, node, serviceKeys(), result_.configuration.services);
            else if (key.str() == routeTable)
                checkEntities<Route>(routeTable, node, routeKeys(), result_.configuration.routes);
            else
                report(node, std::string(key.str()), unknownKeyMessage(key.str(), {serviceTable, routeTable}));
        }
    }

private:
    void report(const toml::node& node, std::string key, std::string message)
    {
        result_.diagnostics.push_back(diagnosticAt(file_, node.source(), std::move(key), std::move(message)));
    }

    template <typename Entity>
    void checkEntities(const char* tableName, const toml::node& node, std::span<const KeySchema<Entity>> schema, std::map<std::string, Entity>& entities)
    {
        if (!node.is_table())
            return report(node, tableName, "must be a table");
        for (const auto& [name, entityNode] : *node.as_table()) {
            auto key = fmt::format("{}.{}", tableName, name.str());
            if (!entityNode.is_table()) {
                report(entityNode, key, "must be a table");
                continue;
            }
            auto& entity = entities[std::string(name.str())];
            entity.name = name.str();
            checkKeys(key, *entityNode.as_table(), schema, entity);
        }
    }

    template <typename Entity>
    void checkKeys(const std::string& prefix, const toml::table& table, std::span<const KeySchema<Entity>> schema, Entity& entity)
    {
        for (const auto& [key, node] : table) {
            auto fullKey = fmt::format("{}.{}", prefix, key.str());
            auto found = std::ranges::find(schema, key.str(), &KeySchema<Entity>::name);
            if (found == schema.end()) {
                report(node, fullKey, unknownKeyMessage(key.str(), namesOf(schema)));
                continue;
            }
            if (auto error = found->read(node, entity); !error.empty())
                report(node, fullKey, error);
        }
    }

    std::string file_;
    MergeResult& result_;
};

// Position of a route's last definition, for errors that only the merged configuration shows.
struct Origin {
    std::string file;
    toml::source_region source;
};
using Origins = std::map<std::string, Origin>;

void recordOrigins(const std::string& file, const toml::table& root, Origins& origins)
{
    const auto* routes = root[routeTable].as_table();
    if (!routes)
        return;
    for (const auto& [name, node] : *routes)
        origins[std::string(name.str())] = {file, node.source()};
}

void checkRoute(const Route& route, const Origin& origin, MergeResult& result)
{
    auto report = [&](const char* key, std::string message) {
        result.diagnostics.push_back(diagnosticAt(origin.file, origin.source, fmt::format("route.{}.{}", route.name, key), std::move(message)));
    };
    if (route.service.empty())
        report("service", "must be set");
    else if (!result.configuration.services.contains(route.service))
        report("service", fmt::format("no service is called \"{}\"", route.service));
    if (route.path.empty())
        report("path", "must be set");
}

bool routesOverlap(const Route& first, const Route& second)
{
    if (first.path != second.path)
        return false;
    if (first.methods.empty() || second.methods.empty())
        return first.methods.empty() == second.methods.empty();
    return std::ranges::any_of(first.methods, [&](const auto& method) { return std::ranges::find(second.methods, method) != second.methods.end(); });
}

void checkOverlaps(const Origins& origins, MergeResult& result)
{
    // Only routes with the same path can overlap. Grouping by path keeps the check fast for thousands of routes.
    std::map<std::string_view, std::vector<const Route*>> routesByPath;
    for (const auto& [name, route] : result.configuration.routes) {
        if (route.path.empty())
            continue;
        auto& others = routesByPath[route.path];
        for (const auto* other : others) {
            if (!routesOverlap(*other, route))
                continue;
            const auto& origin = origins.at(name);
            result.diagnostics.push_back(diagnosticAt(origin.file, origin.source, fmt::format("route.{}.path", name), fmt::format("route \"{}\" already matches this path and method", other->name)));
        }
        others.push_back(&route);
    }
}

std::string formatTable(const toml::table& table)
{
    std::ostringstream stream;
    stream << table << '\n';
    return std::move(stream).str();
}

} // namespace

std::string Diagnostic::text() const
{
    return fmt::format("{}:{}:{}: {}{}{}", file, line, column, key, key.empty() ? "" : ": ", message);
}

MergeResult mergeFiles(std::vector<File> files)
{
    std::ranges::sort(files, {}, &File::name);
    MergeResult result;
    toml::table merged;
    Origins origins;
    for (const auto& file : files) {
        if (auto unsupported = findUnsupportedCharacter(file)) {
            result.diagnostics.push_back(std::move(*unsupported));
            continue;
        }
        try {
            auto table = toml::parse(file.text);
            // Applies each file, in the order of names, to the entities of the files before it. Thus errors are found
            // while the positions in the file are known, and the last value of each key remains.
            Checker(file.name, result).checkRoot(table);
            recordOrigins(file.name, table, origins);
            mergeTable(merged, table);
        } catch (const toml::parse_error& error) {
            result.diagnostics.push_back(diagnosticAt(file.name, error.source(), {}, std::string(error.description())));
        }
    }
    for (const auto& [name, route] : result.configuration.routes)
        checkRoute(route, origins.at(name), result);
    checkOverlaps(origins, result);
    result.mergedText = formatTable(merged);
    return result;
}

std::string encodeHead(const Head& head)
{
    toml::table versions;
    for (const auto& [name, version] : head.fileVersions)
        versions.insert(name, static_cast<std::int64_t>(version));
    toml::table root;
    root.insert("generation", static_cast<std::int64_t>(head.generation));
    root.insert("files", std::move(versions));
    root.insert("merged", head.mergedText);
    return formatTable(root);
}

std::optional<Head> decodeHead(const std::string& text)
{
    if (findUnsupportedCharacter({"head", text, 0}))
        return std::nullopt;
    try {
        auto root = toml::parse(text);
        auto generation = root["generation"].value_exact<std::int64_t>();
        auto merged = root["merged"].value_exact<std::string>();
        const auto* versions = root["files"].as_table();
        if (!generation || *generation <= 0 || !merged || !versions)
            return std::nullopt;
        Head head;
        head.generation = static_cast<std::uint64_t>(*generation);
        head.mergedText = *merged;
        for (const auto& [name, version] : *versions)
            head.fileVersions[std::string(name.str())] = static_cast<std::uint64_t>(version.value_or<std::int64_t>(0));
        return head;
    } catch (const toml::parse_error&) {
        return std::nullopt;
    }
}

bool isFileName(const std::string& name)
{
    auto isAllowed = [](unsigned char letter) { return std::isalnum(letter) || letter == '.' || letter == '_' || letter == '-'; };
    return !name.empty() && name.size() <= maximumFileNameBytes && name.front() != '.' && std::ranges::all_of(name, isAllowed);
}

std::string configPrefix(const std::string& deployment)
{
    return deployment + "/config/";
}

std::string filesPrefix(const std::string& deployment)
{
    return configPrefix(deployment) + "files/";
}

std::string headKey(const std::string& deployment)
{
    return configPrefix(deployment) + "head";
}

} // namespace balsamreel::Config
