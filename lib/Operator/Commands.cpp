#include "balsamreel/Operator/Commands.h"

#include "balsamreel/Config/Acceptor.h"
#include "balsamreel/Store/Client.h"
#include "balsamreel/Support/Http.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <tuple>

namespace balsamreel::Operator {

using Store::StoreError;

namespace {

constexpr std::size_t maximumNodeAnswerBytes = 16 * 1024 * 1024;

ExitStatus fail(const std::string& message, ExitStatus status = ExitStatus::Failed)
{
    fmt::print(stderr, "balsamctl: {}\n", message);
    return status;
}

std::optional<std::string> readLocalFile(const std::filesystem::path& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return std::nullopt;
    std::ostringstream text;
    text << stream.rdbuf();
    return std::move(text).str();
}

ExitStatus withStore(const CommandContext& context, ExitStatus (*action)(const CommandContext&, Store::Client&))
{
    if (!context.store)
        return fail("--store (or BALSAMCTL_STORE) must be set", ExitStatus::Usage);
    Store::Client store(*context.store);
    return action(context, store);
}

ExitStatus storeFailure(std::error_code error, const std::string& name)
{
    if (error == StoreError::VersionConflict)
        return fail(fmt::format("{}: someone else changed it first; get it again and repeat the edit", name), ExitStatus::Conflict);
    return fail(fmt::format("{}: {}", name, error.message()));
}

ExitStatus report(const std::vector<Config::Diagnostic>& diagnostics)
{
    for (const auto& diagnostic : diagnostics)
        fmt::print(stderr, "{}\n", diagnostic.text());
    return diagnostics.empty() ? ExitStatus::Done : ExitStatus::Invalid;
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
    return error ? std::nullopt : std::optional(files);
}

ExitStatus runList(const CommandContext& context)
{
    return withStore(context, [](const CommandContext& context, Store::Client& store) {
        auto prefix = Config::filesPrefix(context.deployment);
        Store::Listing listing;
        if (auto error = store.list(prefix, listing))
            return storeFailure(error, "ls");
        for (const auto& entry : listing.entries)
            fmt::print("{:>8} {}\n", entry.version, entry.key.substr(prefix.size()));
        return ExitStatus::Done;
    });
}

ExitStatus runGet(const CommandContext& context)
{
    if (context.arguments.size() != 1)
        return fail("usage: balsamctl get NAME", ExitStatus::Usage);
    return withStore(context, [](const CommandContext& context, Store::Client& store) {
        const auto& name = context.arguments[0];
        Store::Object object;
        if (auto error = store.get(Config::filesPrefix(context.deployment) + name, object))
            return storeFailure(error, name);
        fmt::print("{}", object.value);
        return ExitStatus::Done;
    });
}

ExitStatus putFile(const CommandContext& context, Store::Client& store)
{
    std::filesystem::path path(context.arguments[0]);
    auto name = context.arguments.size() > 1 ? context.arguments[1] : path.filename().string();
    auto text = readLocalFile(path);
    if (!text)
        return fail(fmt::format("{}: cannot be read", path.string()));
    // The whole folder is checked as it would become, so that a bad file never gets in.
    std::vector<Config::File> files;
    if (auto error = Config::readFolder(store, context.deployment, files))
        return storeFailure(error, name);
    auto existing = std::ranges::find(files, name, &Config::File::name);
    Store::Precondition precondition = Store::IfAbsent();
    if (existing != files.end()) {
        precondition = Store::IfVersion{existing->version};
        existing->text = *text;
    } else {
        files.push_back({name, *text, 0});
    }
    if (auto status = report(Config::mergeFiles(files).diagnostics); status != ExitStatus::Done)
        return status;
    std::uint64_t version = 0;
    if (auto error = store.put(Config::filesPrefix(context.deployment) + name, *text, precondition, version))
        return storeFailure(error, name);
    fmt::print("{} version {}\n", name, version);
    return ExitStatus::Done;
}

ExitStatus runPut(const CommandContext& context)
{
    if (context.arguments.empty() || context.arguments.size() > 2)
        return fail("usage: balsamctl put FILE [NAME]", ExitStatus::Usage);
    return withStore(context, putFile);
}

ExitStatus runRemove(const CommandContext& context)
{
    if (context.arguments.size() != 1)
        return fail("usage: balsamctl rm NAME", ExitStatus::Usage);
    return withStore(context, [](const CommandContext& context, Store::Client& store) {
        const auto& name = context.arguments[0];
        if (auto error = store.remove(Config::filesPrefix(context.deployment) + name, Store::Always()))
            return storeFailure(error, name);
        return ExitStatus::Done;
    });
}

ExitStatus runCheck(const CommandContext& context)
{
    if (context.arguments.size() != 1)
        return fail("usage: balsamctl check FOLDER", ExitStatus::Usage);
    auto files = readLocalFolder(context.arguments[0]);
    if (!files)
        return fail(fmt::format("{}: cannot be read", context.arguments[0]));
    auto result = Config::mergeFiles(*files);
    if (result.diagnostics.empty())
        fmt::print("{} files, {} services, {} routes: good\n", files->size(), result.configuration.services.size(), result.configuration.routes.size());
    return report(result.diagnostics);
}

std::optional<std::string> askNode(const Support::Endpoint& node, const std::string& uri)
{
    try {
        Poco::Net::HTTPClientSession session(node.host, node.port);
        session.setTimeout(Poco::Timespan(2, 0));
        Poco::Net::HTTPRequest request("GET", uri, "HTTP/1.1");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        auto& stream = session.receiveResponse(response);
        std::string text;
        if (!Support::readBody(stream, maximumNodeAnswerBytes, text))
            return std::nullopt;
        return text;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

ExitStatus askAll(const CommandContext& context, const std::string& uri)
{
    if (context.nodes.empty())
        return fail("--nodes (or BALSAMCTL_NODES) must be set", ExitStatus::Usage);
    std::size_t answers = 0;
    for (const auto& node : context.nodes) {
        auto text = askNode(node, uri);
        if (!text) {
            fail(fmt::format("{}: no answer", node.text()));
            continue;
        }
        ++answers;
        fmt::print("{}", *text);
    }
    return answers > 0 ? ExitStatus::Done : ExitStatus::Failed;
}

ExitStatus runStatus(const CommandContext& context)
{
    return askAll(context, "/v1/status");
}

ExitStatus runMetrics(const CommandContext& context)
{
    return askAll(context, "/v1/metrics");
}

ExitStatus runExplain(const CommandContext& context)
{
    if (context.arguments.size() != 2)
        return fail("usage: balsamctl explain METHOD PATH", ExitStatus::Usage);
    std::string path;
    Poco::URI::encode(context.arguments[1], "?#&=+%", path);
    return askAll(context, fmt::format("/v1/explain?method={}&path={}", context.arguments[0], path));
}

struct Event {
    std::int64_t micros = 0;
    std::uint32_t counter = 0;
    std::string node;
    std::string text;
};

void addEvents(const std::string& answer, std::vector<Event>& events)
{
    auto root = Poco::JSON::Parser().parse(answer).extract<Poco::JSON::Object::Ptr>();
    auto list = root->getArray("events");
    for (unsigned index = 0; index < list->size(); ++index) {
        auto entry = list->getObject(index);
        events.push_back({entry->getValue<Poco::Int64>("micros"), entry->getValue<unsigned>("counter"), entry->getValue<std::string>("node"), entry->getValue<std::string>("kind") + " " + entry->getValue<std::string>("detail")});
    }
}

ExitStatus runTimeline(const CommandContext& context)
{
    std::vector<Event> events;
    for (const auto& node : context.nodes) {
        auto answer = askNode(node, "/v1/timeline");
        if (!answer) {
            fail(fmt::format("{}: no answer; its events are missing", node.text()));
            continue;
        }
        try {
            addEvents(*answer, events);
        } catch (const Poco::Exception& error) {
            fail(fmt::format("{}: {}", node.text(), error.displayText()));
        }
    }
    std::ranges::sort(events, {}, [](const Event& event) { return std::tuple(event.micros, event.counter, event.node); });
    for (const auto& event : events)
        fmt::print("{}.{} {} {}\n", event.micros, event.counter, event.node, event.text);
    return events.empty() ? ExitStatus::Failed : ExitStatus::Done;
}

} // namespace

const std::vector<Command>& commands()
{
    static const std::vector<Command> table{
        {"ls", "", "lists the files of the folder with their versions", runList},
        {"get", "NAME", "prints a file", runGet},
        {"put", "FILE [NAME]", "adds or replaces a file, after a check of the whole folder", runPut},
        {"rm", "NAME", "removes a file", runRemove},
        {"check", "FOLDER", "checks a local folder; needs no node", runCheck},
        {"status", "", "shows what the nodes know", runStatus},
        {"explain", "METHOD PATH", "shows where a request would go and why", runExplain},
        {"timeline", "", "shows the events of all nodes in causal order", runTimeline},
        {"metrics", "", "prints the nodes' metrics", runMetrics},
    };
    return table;
}

ExitStatus runCommand(const std::string& name, const CommandContext& context)
{
    auto command = std::ranges::find(commands(), name, &Command::name);
    if (command == commands().end())
        return fail(fmt::format("no such command: '{}'; see balsamctl --help", name), ExitStatus::Usage);
    return command->run(context);
}

} // namespace balsamreel::Operator
