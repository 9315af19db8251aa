// balsamctl: the operators' client.
#include "balsamreel/Operator/Commands.h"
#include "balsamreel/Support/Settings.h"

#include <fmt/format.h>

using namespace balsamreel;
using Support::SettingKind;

int main(int argumentCount, char** arguments)
{
    std::vector<Support::SettingSpec> specs{
        {.flag = "store", .environment = "BALSAMCTL_STORE", .kind = SettingKind::Endpoint, .help = "address of the object store"},
        {.flag = "nodes", .environment = "BALSAMCTL_NODES", .kind = SettingKind::EndpointList, .help = "admin addresses of nodes"},
        {.flag = "deployment", .environment = "BALSAMCTL_DEPLOYMENT", .fallback = "balsam", .help = "prefix of the deployment's objects in the store"},
        {.flag = "json", .environment = "BALSAMCTL_JSON", .kind = SettingKind::Switch, .help = "print JSON"},
    };
    std::string summary = "The operators' client. Commands:\n";
    for (const auto& command : Operator::commands())
        summary += fmt::format("  {:<9} {:<13} {}\n", command.name, command.arguments, command.help);
    auto settings = Support::readSettings({"balsamctl", summary, "COMMAND [arguments]"}, specs, argumentCount, const_cast<const char**>(arguments));
    if (settings.arguments().empty()) {
        fmt::print(stderr, "balsamctl: a command must be given; see balsamctl --help\n");
        return Support::usageErrorStatus;
    }
    Operator::CommandContext context{settings.optionalEndpoint("store"), settings.endpoints("nodes"), settings.text("deployment"), settings.isOn("json"), {}};
    context.arguments.assign(settings.arguments().begin() + 1, settings.arguments().end());
    return static_cast<int>(Operator::runCommand(settings.arguments().front(), context));
}
