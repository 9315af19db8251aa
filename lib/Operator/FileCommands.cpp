#include "Common.h"
#include "balsamreel/Config/Acceptor.h"
#include "balsamreel/Operator/Diff.h"
#include "balsamreel/Store/ResolvedUpdate.h"
#include "balsamreel/Support/Random.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

namespace balsamreel::Operator {

using Store::StoreError;

namespace {

std::optional<std::string> readLocalFile(const std::filesystem::path& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return std::nullopt;
    std::ostringstream text;
    text << stream.rdbuf();
    return std::move(text).str();
}

std::optional<std::vector<Config::File>> readLocalFolder(const std::string& folder)
{
    std::vector<Config::File> files;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
        if (!entry.is_regular_file())
            continue;
        auto text = readLocalFile(entry.path());
        if (!text)
            return std::nullopt;
        files.push_back({entry.path().filename().string(), std::move(*text), 0});
    }
    std::ranges::sort(files, {}, &Config::File::name);
    return error ? std::nullopt : std::optional(files);
}

Store::ResolveOptions resolveOptions()
{
    return {.seed = Support::randomSeed(), .sleep = [](Support::Duration duration) { std::this_thread::sleep_for(duration); }};
}

ExitStatus reportStoreError(std::error_code error, const std::string& name)
{
    if (error == StoreError::OutcomeUnknown)
        return printError(fmt::format("{}: outcome unknown: the object store's response was lost and the file could not be read back; check it with 'balsamctl get {}'", name, name), ExitStatus::Unknown);
    return printError(fmt::format("{}: {}", name, error.message()));
}

ExitStatus reportDiagnostics(const std::vector<Config::Diagnostic>& diagnostics)
{
    for (const auto& diagnostic : diagnostics)
        fmt::print(stderr, "{}\n", diagnostic.text());
    return diagnostics.empty() ? ExitStatus::Done : ExitStatus::Invalid;
}

// Reports what is stored instead of the rejected change. `text` is the content to be stored, null for a removal.
ExitStatus reportConflict(const CommandContext& context, Store::Client& store, const std::string& name, const std::string* text)
{
    Store::Object currentObject;
    auto error = store.get(Config::filesPrefix(context.deployment) + name, currentObject);
    if (error == StoreError::NotFound)
        return printError(fmt::format("{}: another client removed the file first; your change was not applied", name), ExitStatus::Conflict);
    if (error)
        return printError(fmt::format("{}: another client changed the file first; its current content cannot be read: {}", name, error.message()), ExitStatus::Conflict);
    printError(fmt::format("{}: another client changed the file first; version {} is in the folder, your change was not applied", name, currentObject.version));
    if (text) {
        fmt::print(stderr, "stored file (-) compared with yours (+):\n");
        for (const auto& line : lineDiff(currentObject.value, *text))
            fmt::print(stderr, "{}\n", line);
    }
    return ExitStatus::Conflict;
}

Store::Precondition preconditionOf(std::uint64_t version)
{
    return version > 0 ? Store::Precondition(Store::IfVersion{version}) : Store::Precondition(Store::IfAbsent());
}

ExitStatus list(const CommandContext& context, Store::Client& store)
{
    auto prefix = Config::filesPrefix(context.deployment);
    Store::Listing listing;
    if (auto error = store.list(prefix, listing))
        return reportStoreError(error, "ls");
    for (const auto& entry : listing.entries)
        fmt::print("{:>8} {}\n", entry.version, entry.key.substr(prefix.size()));
    return ExitStatus::Done;
}

ExitStatus get(const CommandContext& context, Store::Client& store)
{
    const auto& name = context.arguments[0];
    Store::Object object;
    if (auto error = store.get(Config::filesPrefix(context.deployment) + name, object))
        return reportStoreError(error, name);
    fmt::print("{}", object.value);
    fmt::print(stderr, "{} version {}\n", name, object.version);
    return ExitStatus::Done;
}

ExitStatus put(const CommandContext& context, Store::Client& store)
{
    std::filesystem::path path(context.arguments[0]);
    auto name = context.arguments.size() > 1 ? context.arguments[1] : path.filename().string();
    auto text = readLocalFile(path);
    if (!text)
        return printError(fmt::format("{}: cannot be read", path.string()));
    // Checks the whole folder as it would be after the change, so that an invalid file is never stored.
    std::vector<Config::File> files;
    if (auto error = Config::readFolder(store, context.deployment, files))
        return reportStoreError(error, name);
    auto existing = std::ranges::find(files, name, &Config::File::name);
    auto current = existing != files.end() ? existing->version : 0;
    if (context.expectedVersion && *context.expectedVersion != current)
        return reportConflict(context, store, name, &*text);
    if (existing != files.end())
        existing->text = *text;
    else
        files.push_back({name, *text, 0});
    if (auto status = reportDiagnostics(Config::checkFolder(files).diagnostics); status != ExitStatus::Done)
        return status;
    std::uint64_t version = 0;
    auto error = Store::putAndResolve(store, Config::filesPrefix(context.deployment) + name, *text, preconditionOf(current), version, resolveOptions());
    if (error == StoreError::VersionConflict)
        return reportConflict(context, store, name, &*text);
    if (error)
        return reportStoreError(error, name);
    fmt::print("{} version {}\n", name, version);
    return ExitStatus::Done;
}

ExitStatus remove(const CommandContext& context, Store::Client& store)
{
    const auto& name = context.arguments[0];
    std::vector<Config::File> files;
    if (auto error = Config::readFolder(store, context.deployment, files))
        return reportStoreError(error, name);
    auto existing = std::ranges::find(files, name, &Config::File::name);
    if (existing == files.end())
        return context.expectedVersion ? reportConflict(context, store, name, nullptr) : reportStoreError(StoreError::NotFound, name);
    auto current = existing->version;
    if (context.expectedVersion && *context.expectedVersion != current)
        return reportConflict(context, store, name, nullptr);
    files.erase(existing);
    if (files.empty())
        return printError(fmt::format("{}: cannot remove the last file, because an empty folder is not accepted; to serve nothing, put a file that contains only a comment", name), ExitStatus::Invalid);
    if (auto status = reportDiagnostics(Config::checkFolder(files).diagnostics); status != ExitStatus::Done)
        return status;
    auto error = Store::removeAndResolve(store, Config::filesPrefix(context.deployment) + name, Store::IfVersion{current}, resolveOptions());
    if (error == StoreError::VersionConflict || error == StoreError::NotFound)
        return reportConflict(context, store, name, nullptr);
    if (error)
        return reportStoreError(error, name);
    fmt::print("{} removed\n", name);
    return ExitStatus::Done;
}

const Config::File* findFile(const std::vector<Config::File>& files, const std::string& name)
{
    auto found = std::ranges::find(files, name, &Config::File::name);
    return found == files.end() ? nullptr : &*found;
}

// Prints what would change in the store if the local file replaced the stored one. Returns whether they differ.
bool printDifference(const std::string& name, const Config::File* stored, const Config::File* local)
{
    if (stored && local && stored->text == local->text)
        return false;
    if (!stored)
        fmt::print("{}: only here\n", name);
    else if (!local)
        fmt::print("{}: only in the store, version {}\n", name, stored->version);
    else
        fmt::print("{}: differs from version {}\n", name, stored->version);
    for (const auto& line : lineDiff(stored ? stored->text : "", local ? local->text : ""))
        fmt::print("{}\n", line);
    return true;
}

ExitStatus diff(const CommandContext& context, Store::Client& store)
{
    std::filesystem::path path(context.arguments[0]);
    std::optional<std::vector<Config::File>> local;
    bool isFolder = std::filesystem::is_directory(path);
    if (isFolder)
        local = readLocalFolder(path.string());
    else if (auto text = readLocalFile(path))
        local = {{path.filename().string(), std::move(*text), 0}};
    if (!local)
        return printError(fmt::format("{}: cannot be read", path.string()));
    std::vector<Config::File> stored;
    if (auto error = Config::readFolder(store, context.deployment, stored))
        return reportStoreError(error, "diff");
    std::set<std::string> names;
    for (const auto& file : *local)
        names.insert(file.name);
    for (const auto& file : stored) {
        if (isFolder)
            names.insert(file.name);
    }
    bool isDifferent = false;
    for (const auto& name : names)
        isDifferent = printDifference(name, findFile(stored, name), findFile(*local, name)) || isDifferent;
    return isDifferent ? ExitStatus::Different : ExitStatus::Done;
}

} // namespace

ExitStatus runList(const CommandContext& context)
{
    return withStore(context, list);
}

ExitStatus runGet(const CommandContext& context)
{
    return withStore(context, get);
}

ExitStatus runPut(const CommandContext& context)
{
    return withStore(context, put);
}

ExitStatus runRemove(const CommandContext& context)
{
    return withStore(context, remove);
}

ExitStatus runDiff(const CommandContext& context)
{
    return withStore(context, diff);
}

ExitStatus runCheck(const CommandContext& context)
{
    auto files = readLocalFolder(context.arguments[0]);
    if (!files)
        return printError(fmt::format("{}: cannot be read", context.arguments[0]));
    auto result = Config::checkFolder(*files);
    if (result.diagnostics.empty())
        fmt::print("{} files, {} services, {} routes: good\n", files->size(), result.configuration.services.size(), result.configuration.routes.size());
    return reportDiagnostics(result.diagnostics);
}

} // namespace balsamreel::Operator
