// balsamctl: the command-line client for operators.
#include "balsamreel/Operator/Commands.h"
#include "balsamreel/Support/Settings.h"

#include <fmt/format.h>

using namespace balsamreel;
using Support::SettingKind;

namespace {

// "COMMAND --help" prints the help of the command, "--help" alone that of the program.
bool printsCommandHelp(int argumentCount, char** arguments)
{
    const Operator::Command* command = nullptr;
    bool wantsHelp = false;
    for (int index = 1; index < argumentCount; ++index) {
        std::string argument = arguments[index];
        if (!command)
            command = Operator::findCommand(argument);
        wantsHelp = wantsHelp || argument == "--help" || argument == "-h";
    }
    if (!command || !wantsHelp)
        return false;
    fmt::print("{}", Operator::commandHelp(*command));
    return true;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    std::vector<Support::SettingSpec> specs{
        {.flag = "store", .environment = "BALSAMCTL_STORE", .kind = SettingKind::Endpoint, .help = "address of the object store"},
        {.flag = "nodes", .environment = "BALSAMCTL_NODES", .kind = SettingKind::EndpointList, .help = "admin addresses of nodes"},
        {.flag = "deployment", .environment = "BALSAMCTL_DEPLOYMENT", .fallback = "balsam", .help = "prefix of the deployment's objects in the store"},
        {.flag = "expect", .environment = "BALSAMCTL_EXPECT", .kind = SettingKind::Integer, .minimum = 0, .maximum = 9e15, .help = "version that the file to change must have; 0: it must not exist"},
        {.flag = "json", .environment = "BALSAMCTL_JSON", .kind = SettingKind::Switch, .help = "print JSON"},
    };
    std::string summary = "The operators' client. Commands:\n";
    for (const auto& command : Operator::commands())
        summary += fmt::format("  {:<9} {:<13} {}\n", command.name, command.arguments, command.help);
    summary += "For help on a command: balsamctl COMMAND --help. " + Operator::exitStatusText();
    if (printsCommandHelp(argumentCount, arguments))
        return 0;
    auto settings = Support::readSettings({"balsamctl", summary, "COMMAND [arguments]"}, specs, argumentCount, const_cast<const char**>(arguments));
    if (settings.arguments().empty()) {
        fmt::print(stderr, "balsamctl: a command must be given; see balsamctl --help\n");
        return Support::usageErrorStatus;
    }
    Operator::CommandContext context{settings.optionalEndpoint("store"), settings.endpoints("nodes"), settings.text("deployment"), settings.isOn("json"), {}, {}};
    if (!settings.text("expect").empty())
        context.expectedVersion = static_cast<std::uint64_t>(settings.integer("expect"));
    context.arguments.assign(settings.arguments().begin() + 1, settings.arguments().end());
    return static_cast<int>(Operator::runCommand(settings.arguments().front(), context));
}
