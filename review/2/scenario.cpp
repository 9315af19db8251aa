// One of two servers rejects some requests as not run and sends some of its answers again, late. Requests that may not be repeated
// may run once at most, and none of those that have run may be answered as not run.
#include "../standins/Standins.h"

#include <thread>

using namespace balsamreel::Review;
using namespace std::chrono_literals;

namespace {

constexpr unsigned faultPeriods = 15;
constexpr auto faultPeriod = 5s;
constexpr auto faultPause = 1s;
constexpr auto requestTimeout = 1500ms;
constexpr unsigned callerCount = 25;
constexpr auto callInterval = 100ms;
constexpr auto work = 40ms;
const Server::Faults faults{.shedShare = 0.3, .lateCopyShare = 0.03};
const Server::Noise noise{.share = 0.35, .factor = 5};
const std::string config = R"({"version":"0000000c","limits":{"max_header_bytes":8192,"max_body_bytes":100000,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"a.example","rules":[{"name":"r-fee-pay","kind":"non_idempotent","target_latency":"50ms","priority":1,"match":{"path_prefix":"/once/"},"action":{"service":"entries","timeout":"1500ms","attempts":2}}]}],"clusters":[{"name":"entries","health_path":"/health","max_conns":260},{"name":"rulebook","health_path":"/health","max_conns":260}]})";

} // namespace

int main(int argumentCount, char** arguments)
{
    Deployment deployment(readArguments(argumentCount, arguments), config, {{"rulebook", "digha"}, {"entries", "digha"}, {"entries", "digha"}}, 18, false);
    for (std::size_t index : {1, 2})
        deployment.server(index).startNoise(noise);
    deployment.waitUntilReady();
    Callers callers(deployment);
    auto end = std::chrono::steady_clock::now() + faultPeriods * (faultPeriod + faultPause);
    std::vector<std::thread> threads;
    for (unsigned caller = 1; caller <= callerCount; ++caller) {
        threads.emplace_back([&, caller] {
            auto next = std::chrono::steady_clock::now() + callInterval * caller / callerCount;
            for (unsigned number = 1; next < end; ++number) {
                std::this_thread::sleep_until(next);
                next += callInterval;
                callers.send(deployment.node(0), "fee-" + std::to_string(caller) + "-" + std::to_string(number), work, requestTimeout);
            }
        });
    }
    for (unsigned period = 0; period < faultPeriods; ++period) {
        if (hasTrouble())
            deployment.server(1).setFaults(faults);
        std::this_thread::sleep_for(faultPeriod);
        deployment.server(1).setFaults({});
        std::this_thread::sleep_for(faultPause);
    }
    for (auto& thread : threads)
        thread.join();
    std::this_thread::sleep_for(1s);
    finish(callers.check());
}
