#include "Common.h"
#include "balsamreel/Support/HttpClient.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <algorithm>

namespace balsamreel::Operator {

namespace {

constexpr std::size_t maximumNodeResponseBytes = 16 * 1024 * 1024;
// A check of the whole folder reads every file while an operator waits, so the budget of store calls is large.
constexpr double operatorCallBurst = 10'000;

} // namespace

ExitStatus printError(const std::string& message, ExitStatus status)
{
    fmt::print(stderr, "balsamctl: {}\n", message);
    return status;
}

ExitStatus withStore(const CommandContext& context, ExitStatus (*action)(const CommandContext&, Store::Client&))
{
    if (!context.store)
        return printError("--store (or BALSAMCTL_STORE) must be set", ExitStatus::Usage);
    Store::Client store(*context.store, Store::ClientOptions{.burst = operatorCallBurst});
    return action(context, store);
}

std::optional<std::string> queryNode(const Support::Endpoint& node, const std::string& uri)
{
    try {
        Support::HttpClientSession session(node.host, node.port);
        session.setTimeout(Poco::Timespan(2, 0));
        Poco::Net::HTTPRequest request("GET", uri, "HTTP/1.1");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        std::string text;
        auto end = session.readBody(response, Support::responseHasBody(request.getMethod(), response.getStatus()), [&](const char* data, std::size_t size) {
            text.append(data, size);
            return text.size() <= maximumNodeResponseBytes;
        });
        return end == Support::BodyEnd::Complete ? std::optional(text) : std::nullopt;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

namespace {

ExitStatus queryAllNodes(const CommandContext& context, const std::string& uri)
{
    if (context.nodes.empty())
        return printError("--nodes (or BALSAMCTL_NODES) must be set", ExitStatus::Usage);
    std::size_t responses = 0;
    for (const auto& node : context.nodes) {
        auto text = queryNode(node, uri);
        if (!text) {
            printError(fmt::format("{}: no response", node.text()));
            continue;
        }
        ++responses;
        fmt::print("{}", *text);
    }
    return responses > 0 ? ExitStatus::Done : ExitStatus::Failed;
}

ExitStatus runMetrics(const CommandContext& context)
{
    return queryAllNodes(context, "/v1/metrics");
}

ExitStatus runExplain(const CommandContext& context)
{
    std::string path;
    Poco::URI::encode(context.arguments[1], "?#&=+%", path);
    return queryAllNodes(context, fmt::format("/v1/explain?method={}&path={}", context.arguments[0], path));
}

} // namespace

const std::vector<Command>& commands()
{
    static const std::vector<Command> table{
        {"ls", "", "lists the files of the folder with their versions", "Needs --store.", 0, 0, runList},
        {"get", "NAME", "prints a file", "Needs --store. The version goes to standard error; give it to put or rm with --expect.", 1, 1, runGet},
        {"put", "FILE [NAME]", "adds or replaces a file, after a check of the whole folder",
            "Needs --store. With --expect VERSION the file is replaced only if it still has that version (0: if there is none);\n"
            "without, only if nobody changes it while the command runs. On a conflict, prints the differences from the stored file.",
            1, 2, runPut},
        {"rm", "NAME", "removes a file, after a check of the rest", "Needs --store. Takes --expect VERSION as put does. The last file can't be removed.", 1, 1, runRemove},
        {"check", "FOLDER", "checks a local folder; needs no node and no store", "Prints one line per error: FILE:LINE:COLUMN: KEY: MESSAGE.", 1, 1, runCheck},
        {"diff", "FOLDER|FILE", "compares a local folder or file with the store's", "Needs --store. Lines only in the store are marked '-', lines only in the local file '+'.", 1, 1, runDiff},
        {"status", "", "shows the configuration in force, lagging nodes, members and draining servers", "Needs --nodes; one live node is enough, since it names the others.\nWithout --nodes, or if none answers, prints the status that each failure domain last wrote to --store.", 0, 0, runStatus},
        {"explain", "METHOD PATH", "shows where a request would go and why", "Needs --nodes.", 2, 2, runExplain},
        {"timeline", "[KEY=VALUE...]", "shows the events of all nodes in causal order",
            "Needs --nodes; one live node is enough, since it names the others. Filters: node=NAME, server=IP:PORT, call=ID,\n"
            "kind=KIND, since=SECONDS before the newest event. A call is recorded if it carries the header X-Balsam-Trace.",
            0, 5, runTimeline},
        {"trace", "ID [LOG...]", "shows the path of a request from the logs of nodes on the platform",
            "Reads the log files, or standard input if none is given; needs no node and no store. Prints the lines in causal order,\n"
            "including those of calls that the server made for the request. Notes name missing lines and clocks that differ.",
            1, 1000, runTrace},
        {"metrics", "", "prints the nodes' metrics", "Needs --nodes.", 0, 0, runMetrics},
    };
    return table;
}

std::string exitStatusText()
{
    return "Exit statuses: 0 done, 1 the store or the nodes could not be reached, 2 wrong usage, 3 the configuration has errors,\n"
           "4 someone else changed the file first, 5 diff found differences, 6 the outcome of an update is unknown.\n";
}

std::string commandHelp(const Command& command)
{
    return fmt::format("Usage: balsamctl [options] {} {}\n{}.\n{}\n\n{}", command.name, command.arguments, command.help, command.details, exitStatusText());
}

const Command* findCommand(const std::string& name)
{
    auto command = std::ranges::find(commands(), name, &Command::name);
    return command == commands().end() ? nullptr : &*command;
}

ExitStatus runCommand(const std::string& name, const CommandContext& context)
{
    const auto* command = findCommand(name);
    if (!command)
        return printError(fmt::format("no such command: '{}'; see balsamctl --help", name), ExitStatus::Usage);
    if (context.arguments.size() < command->minimumArguments || context.arguments.size() > command->maximumArguments)
        return printError(fmt::format("usage: balsamctl {} {}", command->name, command->arguments), ExitStatus::Usage);
    return command->run(context);
}

} // namespace balsamreel::Operator
