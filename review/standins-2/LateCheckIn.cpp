// A backend deregisters. Then the node beside it is killed and started again, and a check-in that the backend had made before
// arrives late at the new process.
#include "Deployment.h"

#include <csignal>

using namespace balsamreel::Review;
using namespace std::chrono_literals;

namespace {

constexpr auto contact = 3000ms;
constexpr auto drain = 2000ms;
constexpr auto margin = 200ms;
constexpr auto restartDelay = 300ms;
constexpr unsigned jobMillis = 9000; // the job that keeps the backend's only slot
constexpr unsigned timeoutMillis = 10000; // of the clients and of the routes

int runCase(Deployment& deployment)
{
    auto& record = deployment.record;
    auto timeout = std::to_string(timeoutMillis) + "ms";
    deployment.store.put("config", "main", configText(1, {{"r-book", "non_idempotent", "/book/", "plots", timeout}, {"r-view", "idempotent", "/view/", "plots", timeout}}));
    auto& leaving = deployment.addMachine({.service = "plots", .backend = {.slots = 1, .tellsLoad = false}});
    auto& entry = deployment.addMachine({.service = "rules"});
    if (!waitUntilServed(deployment, "/view/warm", 15s))
        return cannotRun;
    std::this_thread::sleep_for(contact + margin);

    std::thread job([&] {
        auto connection = Connection::connectTo(entry.outbound());
        exchange(record, connection, "client at " + entry.name(), "job", requestText("POST", "/book/work-" + std::to_string(jobMillis), "job", timeoutMillis), Millis(timeoutMillis));
    });
    std::this_thread::sleep_for(500ms);
    if (!leaving.backend().leave()) {
        job.join();
        return cannotRun;
    }
    auto leftAt = Clock::now();
    if (hasTrouble()) {
        std::this_thread::sleep_for(100ms);
        leaving.killNode();
        record.line("the node of " + leaving.name() + " is killed");
        std::this_thread::sleep_for(restartDelay);
        leaving.startNode();
        record.line("the node of " + leaving.name() + " is started again");
        std::this_thread::sleep_for(contact + margin);
        leaving.backend().deliverLateCheckIn();
    } else
        std::this_thread::sleep_for(contact + 2 * margin + restartDelay);
    std::this_thread::sleep_for(margin);

    auto elapsed = std::chrono::duration_cast<Millis>(Clock::now() - leftAt);
    auto connection = Connection::connectTo(entry.outbound());
    exchange(record, connection, "client at " + entry.name(), "late", requestText("GET", "/view/work-5", "late", timeoutMillis), Millis(timeoutMillis));
    job.join();
    bool hasReached = leaving.backend().arrivalCount("late") > 0;
    record.line("a request sent " + std::to_string(elapsed.count()) + " ms after the acknowledgement has " + (hasReached ? "reached" : "not reached") + " the backend that left; drain is " + std::to_string(drain.count()) + " ms");
    return hasReached && elapsed > drain ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    runAndExit(argumentCount, arguments, runCase);
}
