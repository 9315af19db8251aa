// fake-link: a TCP relay that silences open connections on demand.
#include "balsamreel/Standins/FakeLink.h"
#include "balsamreel/Support/Http.h"
#include "balsamreel/Support/Log.h"
#include "balsamreel/Support/Settings.h"
#include "balsamreel/Support/Signals.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <cstdlib>

using namespace balsamreel;
using Support::SettingKind;

int main(int argumentCount, char** arguments)
{
    Support::blockTerminationSignals();
    std::vector<Support::SettingSpec> specs{
        {.flag = "control", .environment = "FAKE_LINK_CONTROL", .kind = SettingKind::Endpoint, .help = "address that takes POST /silence?share=S&route=INDEX", .isRequired = true},
        {.flag = "seed", .environment = "FAKE_LINK_SEED", .kind = SettingKind::Integer, .fallback = "1", .minimum = 0, .maximum = 1e9, .help = "seed of the selection of connections"},
    };
    auto settings = Support::readSettings({"fake-link", "Relays TCP connections and silences open ones on demand.", "LISTEN=TARGET ..."}, specs, argumentCount, const_cast<const char**>(arguments));
    std::vector<Standins::LinkRoute> routes;
    for (const auto& argument : settings.arguments()) {
        auto route = Standins::parseLinkRoute(argument);
        if (!route) {
            fmt::print(stderr, "fake-link: {}: must be IP:PORT=IP:PORT\n", argument);
            return Support::usageErrorStatus;
        }
        routes.push_back(*route);
    }
    try {
        Standins::FakeLink link(routes, static_cast<std::uint64_t>(settings.integer("seed")));
        Support::HttpService control(settings.endpoint("control"), [&](auto& request, auto& response) {
            auto share = std::strtod(Support::queryValue(request.getURI(), "share", "1").c_str(), nullptr);
            auto index = Support::queryValue(request.getURI(), "route");
            auto route = index.empty() ? std::nullopt : std::optional<std::size_t>(std::strtoul(index.c_str(), nullptr, 10));
            Support::sendText(response, Poco::Net::HTTPResponse::HTTP_OK, "text/plain", fmt::format("{}\n", link.silence(share, route)));
        });
        link.start();
        control.start();
        Support::waitForTerminationSignal();
    } catch (const Poco::Exception& error) {
        Support::log(Support::LogLevel::Error, "failed", "error=\"{}\"", error.displayText());
        return 1;
    }
    return 0;
}
