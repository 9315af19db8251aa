// fake-server: a fake of a users' server.
#include "balsamreel/Standins/FakeServer.h"
#include "balsamreel/Support/Log.h"
#include "balsamreel/Support/Settings.h"
#include "balsamreel/Support/Signals.h"

#include <Poco/Exception.h>

using namespace balsamreel;
using Support::SettingKind;

int main(int argumentCount, char** arguments)
{
    Support::blockTerminationSignals();
    std::vector<Support::SettingSpec> specs{
        {.flag = "listen", .environment = "FAKE_SERVER_LISTEN", .kind = SettingKind::Endpoint, .help = "address to listen on", .isRequired = true},
        {.flag = "announce", .environment = "FAKE_SERVER_ANNOUNCE", .kind = SettingKind::Endpoint, .help = "address to announce if a relay is in front of the server"},
        {.flag = "node", .environment = "FAKE_SERVER_NODE", .kind = SettingKind::Endpoint, .help = "admin address of the node to announce to", .isRequired = true},
        {.flag = "service", .environment = "FAKE_SERVER_SERVICE", .help = "service it belongs to", .isRequired = true},
        {.flag = "slots", .environment = "FAKE_SERVER_SLOTS", .kind = SettingKind::Integer, .fallback = "9", .minimum = 1, .maximum = 1000, .help = "number of calls processed at once"},
        {.flag = "work-us", .environment = "FAKE_SERVER_WORK_US", .kind = SettingKind::Integer, .fallback = "4000", .minimum = 0, .maximum = 1e9, .unit = "microseconds", .help = "mean work time of a call that specifies none"},
        {.flag = "cold-ms", .environment = "FAKE_SERVER_COLD_MS", .kind = SettingKind::Integer, .fallback = "0", .minimum = 0, .maximum = 1e6, .unit = "milliseconds", .help = "time after the start during which calls take longer"},
        {.flag = "noise", .environment = "FAKE_SERVER_NOISE", .kind = SettingKind::Real, .fallback = "0", .minimum = 0, .maximum = 1, .help = "share of time in which noisy neighbours slow the server down"},
        {.flag = "noise-factor", .environment = "FAKE_SERVER_NOISE_FACTOR", .kind = SettingKind::Real, .fallback = "4", .minimum = 1, .maximum = 100, .help = "how much longer calls take during that time"},
        {.flag = "entry", .environment = "FAKE_SERVER_ENTRY", .kind = SettingKind::Endpoint, .help = "entry for the server's own calls"},
        {.flag = "execution-log", .environment = "FAKE_SERVER_EXECUTION_LOG", .help = "file that preserves the executed ids if the process is killed"},
        {.flag = "seed", .environment = "FAKE_SERVER_SEED", .kind = SettingKind::Integer, .fallback = "1", .minimum = 0, .maximum = 1e9, .help = "seed of work times and noise"},
    };
    auto settings = Support::readSettings({"fake-server", "A fake server that announces itself to its node.", ""}, specs, argumentCount, const_cast<const char**>(arguments));
    Support::setLogSource("fake-server/" + settings.endpoint("listen").text());
    Standins::FakeServerOptions options;
    options.listen = settings.endpoint("listen");
    options.executionLog = settings.text("execution-log");
    options.announcedAddress = settings.optionalEndpoint("announce");
    options.nodeAdmin = settings.endpoint("node");
    options.service = settings.text("service");
    options.slots = static_cast<unsigned>(settings.integer("slots"));
    options.workTime = Support::Duration(settings.integer("work-us"));
    options.coldTime = std::chrono::milliseconds(settings.integer("cold-ms"));
    options.noiseShare = settings.real("noise");
    options.noiseFactor = settings.real("noise-factor");
    options.entry = settings.optionalEndpoint("entry");
    options.seed = static_cast<std::uint64_t>(settings.integer("seed"));
    try {
        Standins::FakeServer server(options);
        server.start();
        Support::waitForTerminationSignal();
        server.drain();
    } catch (const Poco::Exception& error) {
        Support::log(Support::LogLevel::Error, "failed", "error=\"{}\"", error.displayText());
        return 1;
    }
    return 0;
}
