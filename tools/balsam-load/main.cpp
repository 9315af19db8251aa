// balsam-load: an open-loop load generator that checks every response.
#include "balsamreel/Load/Runner.h"
#include "balsamreel/Load/Series.h"
#include "balsamreel/Support/Settings.h"
#include "balsamreel/Support/Signals.h"

#include <algorithm>
#include <fmt/format.h>

using namespace balsamreel;
using Support::SettingKind;

int main(int argumentCount, char** arguments)
{
    std::vector<Support::SettingSpec> specs{
        {.flag = "entries", .environment = "BALSAM_LOAD_ENTRIES", .kind = SettingKind::EndpointList, .help = "addresses to call", .isRequired = true},
        {.flag = "servers", .environment = "BALSAM_LOAD_SERVERS", .kind = SettingKind::EndpointList, .help = "fake servers whose execution logs are checked at the end"},
        {.flag = "profile", .environment = "BALSAM_LOAD_PROFILE", .fallback = "steady", .help = "kinds of calls", .choices = {"idle", "steady", "chain", "orders", "tengri", "hol", "crest", "association"}},
        {.flag = "phases", .environment = "BALSAM_LOAD_PHASES", .fallback = "200:5", .help = "arrival rates: CALLS_PER_S:SECONDS,..."},
        {.flag = "workers", .environment = "BALSAM_LOAD_WORKERS", .kind = SettingKind::Integer, .fallback = "256", .minimum = 1, .maximum = 2000, .help = "maximum number of calls in flight"},
        {.flag = "pinned", .environment = "BALSAM_LOAD_PINNED", .kind = SettingKind::Switch, .help = "each worker calls one entry only, which bounds the connections to an entry"},
        {.flag = "deadline-ms", .environment = "BALSAM_LOAD_DEADLINE_MS", .kind = SettingKind::Integer, .fallback = "5000", .minimum = 1, .maximum = 600'000, .unit = "milliseconds", .help = "deadline sent with each call"},
        {.flag = "seed", .environment = "BALSAM_LOAD_SEED", .kind = SettingKind::Integer, .fallback = "1", .minimum = 0, .maximum = 1e9, .help = "seed of the arrivals"},
        {.flag = "tables", .environment = "BALSAM_LOAD_TABLES", .help = "existing folder for series.tsv and quantiles.tsv, see utils/plot"},
        {.flag = "json", .environment = "BALSAM_LOAD_JSON", .kind = SettingKind::Switch, .help = "print one JSON line only"},
    };
    Support::blockTerminationSignals();
    auto settings = Support::readSettings({"balsam-load", "Sends open-loop load and checks every response; exits with 1 if a response was wrong, truncated or missing, a call ran twice, or one reported as not run did run.", ""}, specs, argumentCount, const_cast<const char**>(arguments));
    auto phases = Load::parsePhases(settings.text("phases"));
    auto entries = settings.endpoints("entries");
    if (!phases || entries.empty()) {
        fmt::print(stderr, "balsam-load: {}\n", phases ? "--entries must name at least one address" : "--phases must be CALLS_PER_S:SECONDS,...");
        return Support::usageErrorStatus;
    }
    Load::RunOptions options{entries, settings.endpoints("servers"), *Load::findProfile(settings.text("profile")), *phases};
    options.workers = static_cast<unsigned>(settings.integer("workers"));
    options.deadline = std::chrono::milliseconds(settings.integer("deadline-ms"));
    options.isPinned = settings.isOn("pinned");
    options.seed = static_cast<std::uint64_t>(settings.integer("seed"));
    auto result = Load::runLoad(options);
    if (!settings.isOn("json"))
        fmt::print("{}", Load::textSummary(options, result));
    fmt::print("{}\n", Load::jsonSummary(options, result));
    auto folder = settings.text("tables");
    if (!folder.empty() && !Load::writeTables(folder, options, result)) {
        fmt::print(stderr, "balsam-load: {}: tables could not be written\n", folder);
        return 1;
    }
    bool hasWrong = std::ranges::any_of(result.calls, [](const auto& call) { return call.result == Load::CallResult::WrongResponse || call.result == Load::CallResult::Truncated || call.result == Load::CallResult::ConnectionLost || call.result == Load::CallResult::TimedOut; });
    return hasWrong || result.ranTwice > 0 || result.falseNotRun > 0 ? 1 : 0;
}
