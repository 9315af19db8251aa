// A backend deregisters. Then the node beside it is killed and started again, and a check-in that the backend had made before
// arrives late at the new process. Requests that must not be repeated are sent more than `drain` after the acknowledgement.
#include "Deployment.h"

using namespace balsamreel::Review;
using namespace std::chrono_literals;

namespace {

constexpr auto contact = 3000ms;
constexpr auto drain = 2000ms;
constexpr auto margin = 200ms;
constexpr auto restartDelay = 300ms;
constexpr auto servingTime = 6500ms; // of the backend, from the acknowledgement to its end
constexpr unsigned jobMillis = 12000; // the job that keeps the only slot of the leaving backend
constexpr unsigned timeoutMillis = 15000; // of the clients and of the routes
constexpr unsigned requestCount = 60; // more at once than the other backend has room for
constexpr auto requestInterval = 5ms;

std::string idOf(unsigned number)
{
    return "book-" + std::to_string(number);
}

/// Sends requests, each on a connection of its own. Returns how many got neither success nor "not run".
unsigned book(Record& record, const Address& entry)
{
    std::atomic<unsigned> lost{0};
    std::vector<std::thread> clients;
    for (unsigned number = 1; number <= requestCount; ++number) {
        clients.emplace_back([&, number] {
            auto id = idOf(number);
            auto connection = Connection::connectTo(entry);
            auto answer = exchange(record, connection, "client", id, requestText("POST", "/book/work-200", id, timeoutMillis), Millis(timeoutMillis));
            lost += answer && (answer->status() == 200 || answer->status() == 503) ? 0 : 1;
        });
        std::this_thread::sleep_for(requestInterval);
    }
    for (auto& client : clients)
        client.join();
    return lost;
}

/// Waits until a request that is sent at the entry is run by the backend.
bool waitUntilUsed(Record& record, const Address& entry, Backend& backend)
{
    for (unsigned number = 1; number <= 100; ++number) {
        auto id = "seek-" + std::to_string(number);
        auto connection = Connection::connectTo(entry);
        exchange(record, connection, "client", id, requestText("GET", "/view/work-5", id, 1000), 1500ms);
        if (backend.runCount(id) > 0)
            return true;
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

void restartNode(Record& record, Machine& machine)
{
    machine.killNode();
    record.line("the node of " + machine.name() + " is killed");
    std::this_thread::sleep_for(restartDelay);
    machine.startNode();
    record.line("the node of " + machine.name() + " is started again");
}

int runCase(Deployment& deployment)
{
    auto& record = deployment.record;
    auto timeout = std::to_string(timeoutMillis) + "ms";
    deployment.store.put("config", "main", configText(1, {{"r-book", "non_idempotent", "/book/", "plots", timeout}, {"r-view", "idempotent", "/view/", "plots", timeout}}));
    auto& leaving = deployment.addMachine({.service = "plots", .backend = {.slots = 1, .tellsLoad = false}});
    auto& entry = deployment.addMachine({.service = "rules"});
    if (!waitUntilServed(deployment, "/view/warm", 15s))
        return cannotRun;
    std::thread job([&] {
        auto connection = Connection::connectTo(entry.outbound());
        exchange(record, connection, "client", "job", requestText("POST", "/book/work-" + std::to_string(jobMillis), "job", timeoutMillis), Millis(timeoutMillis));
    });
    job.detach(); // it ends with the process at the latest
    std::this_thread::sleep_for(margin);
    auto& other = deployment.addMachine({.service = "plots"});
    if (!waitUntilUsed(record, entry.outbound(), other.backend()))
        return cannotRun;
    std::this_thread::sleep_for(contact + margin);

    if (!leaving.backend().leave())
        return cannotRun;
    auto leftAt = Clock::now();
    std::thread end([&] {
        std::this_thread::sleep_until(leftAt + servingTime);
        leaving.backend().end();
    });
    std::this_thread::sleep_for(100ms);
    if (hasTrouble())
        restartNode(record, leaving);
    else
        std::this_thread::sleep_for(restartDelay);
    std::this_thread::sleep_for(contact + margin);
    if (hasTrouble())
        leaving.backend().deliverLateCheckIn();
    std::this_thread::sleep_for(margin);

    auto elapsed = std::chrono::duration_cast<Millis>(Clock::now() - leftAt);
    auto lost = book(record, entry.outbound());
    end.join();
    unsigned reached = 0;
    for (unsigned number = 1; number <= requestCount; ++number)
        reached += leaving.backend().arrivalCount(idOf(number)) > 0 ? 1 : 0;
    record.line(std::to_string(reached) + " requests, sent " + std::to_string(elapsed.count()) + " ms and more after the acknowledgement, have reached the backend that left; drain is " + std::to_string(drain.count()) + " ms; " + std::to_string(lost) + " of " + std::to_string(requestCount) + " got neither success nor \"not run\"");
    return reached > 0 && elapsed > drain ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    runAndExit(argumentCount, arguments, runCase);
}
