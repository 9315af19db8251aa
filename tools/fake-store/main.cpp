// fake-store: a fake of the platform's object store.
#include "balsamreel/Standins/FakeStore.h"
#include "balsamreel/Support/Http.h"
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
        {.flag = "listen", .environment = "FAKE_STORE_LISTEN", .kind = SettingKind::Endpoint, .fallback = "127.0.0.1:7400", .help = "address to listen on"},
        {.flag = "seed", .environment = "FAKE_STORE_SEED", .kind = SettingKind::Integer, .fallback = "1", .minimum = 0, .maximum = 1e9, .help = "seed of the faults"},
    };
    auto settings = Support::readSettings({"fake-store", "A fake of the platform's object store that keeps its objects in memory.", ""}, specs, argumentCount, const_cast<const char**>(arguments));
    Support::setLogSource("fake-store");
    try {
        Standins::FakeStore store(static_cast<std::uint64_t>(settings.integer("seed")));
        Support::HttpService http(settings.endpoint("listen"), [&](auto& request, auto& response) { store.handle(request, response); });
        http.start();
        Support::log(Support::LogLevel::Info, "started", "listen={}", settings.endpoint("listen").text());
        Support::waitForTerminationSignal();
        http.stopAccepting();
    } catch (const Poco::Exception& error) {
        Support::log(Support::LogLevel::Error, "failed", "error=\"{}\"", error.displayText());
        return 1;
    }
    return 0;
}
