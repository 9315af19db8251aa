// A machine is stopped as planned while a client waits for the answers to requests that it has sent ahead on one kept
// connection. Their method may be sent ahead, and their route allows no repetition, as for "coating-book" on the users' sheets.
#include "Deployment.h"

#include <csignal>

using namespace balsamreel::Review;
using namespace std::chrono_literals;

namespace {

constexpr auto contact = 3000ms;
constexpr auto lostTime = 200ms; // LOST: from the last byte of a request to the end of its connection
constexpr auto stopDelay = 100ms; // from the requests to SIGTERM
constexpr unsigned timeoutMillis = 2500; // of the client and of the routes
constexpr unsigned requestCount = 4;
constexpr unsigned machineCount = 2;

int runCase(Deployment& deployment)
{
    auto& record = deployment.record;
    deployment.store.put("config", "main", configText(1, {{"r-view", "idempotent", "/view/", "plots", "1000ms"}, {"r-book", "non_idempotent", "/book/", "plots", std::to_string(timeoutMillis) + "ms"}}));
    for (unsigned number = 1; number <= machineCount; ++number)
        deployment.addMachine({.service = "plots"});
    auto& machine = *deployment.machines.front();
    if (!waitUntilServed(deployment, "/view/warm", 15s))
        return cannotRun;
    auto connection = Connection::connectTo(machine.outbound());
    exchange(record, connection, "client", "first", requestText("GET", "/view/first", "first", timeoutMillis), 3s);
    std::this_thread::sleep_for(contact + 200ms);
    std::string requests;
    for (unsigned number = 1; number <= requestCount; ++number)
        requests += requestText("DELETE", "/book/work-300", "ahead-" + std::to_string(number), timeoutMillis);
    auto sentAt = Clock::now();
    connection.send(requests);
    record.line("client sends ahead-1 to ahead-" + std::to_string(requestCount) + " on its kept connection, " + std::to_string(requests.size()) + " bytes");
    std::this_thread::sleep_for(stopDelay);
    if (hasTrouble()) {
        machine.signalNode(SIGTERM);
        record.line("platform sends SIGTERM to the node of " + machine.name());
    }
    unsigned answered = 0;
    while (answered < requestCount) {
        auto answer = connection.readMessage(sentAt + Millis(timeoutMillis));
        if (!answer)
            break;
        ++answered;
        record.line("client gets " + std::to_string(answer->status()) + " for " + answer->header("balsamreel-attempt-id") + ", connection: " + answer->header("connection"));
    }
    auto elapsed = std::chrono::duration_cast<Millis>(Clock::now() - sentAt);
    record.line(std::to_string(requestCount - answered) + " requests have no answer; " + (connection.hasEnded() ? "the connection was closed " : "it is ") + std::to_string(elapsed.count()) + " ms after their last byte was sent");
    bool isLost = answered < requestCount && connection.hasEnded() && elapsed > lostTime && elapsed < Millis(timeoutMillis);
    return isLost ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    runAndExit(argumentCount, arguments, runCase);
}
