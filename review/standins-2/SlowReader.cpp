// A machine is stopped as planned while one of its clients still reads a large answer.
#include "Deployment.h"

#include <csignal>

using namespace balsamreel::Review;
using namespace std::chrono_literals;

namespace {

constexpr auto grace = 6000ms;
constexpr auto contact = 3000ms;
constexpr unsigned timeoutMillis = 2500; // of the client and of the route
constexpr auto requestDelay = 1400ms; // from SIGTERM; the platform takes the machine out after two misses
constexpr unsigned answerBytes = 14'000'000;
constexpr double readRate = 6'600'000; // bytes a second, so that the answer takes 2.1 s
constexpr int windowBytes = 64 * 1024;
constexpr std::size_t readBytes = 64 * 1024;

/// Reads an answer at a steady pace. Returns whether it was complete.
bool readSlowly(Record& record, Connection& connection)
{
    auto start = Clock::now();
    auto end = start + 15s;
    std::size_t bodyBegin = std::string::npos;
    auto isComplete = [&] { return bodyBegin != std::string::npos && connection.buffer().size() >= bodyBegin + answerBytes; };
    while (!isComplete() && connection.receive(end, readBytes)) {
        auto headEnd = connection.buffer().find("\r\n\r\n");
        if (headEnd != std::string::npos)
            bodyBegin = headEnd + 4;
        std::this_thread::sleep_until(start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(static_cast<double>(connection.buffer().size()) / readRate)));
    }
    record.line("client has " + std::to_string(connection.buffer().size()) + " bytes of the answer, " + (isComplete() ? "all" : "not all") + (connection.hasEnded() ? "; the connection was closed" : ""));
    return isComplete();
}

int runCase(Deployment& deployment)
{
    auto& record = deployment.record;
    deployment.store.put("config", "main", configText(1, {{"r-view", "idempotent", "/view/", "plots", std::to_string(timeoutMillis) + "ms"}}));
    auto& machine = deployment.addMachine({.service = "plots"});
    deployment.addMachine({.service = "plots"});
    if (!waitUntilServed(deployment, "/view/warm", 15s))
        return cannotRun;
    auto connection = Connection::connectTo(machine.outbound(), windowBytes);
    exchange(record, connection, "client", "first-1", requestText("GET", "/view/first", "first-1", timeoutMillis), 3s);
    std::this_thread::sleep_for(contact + 200ms);
    auto stoppedAt = Clock::now();
    if (hasTrouble()) {
        machine.signalNode(SIGTERM);
        record.line("platform sends SIGTERM to the node of " + machine.name());
    }
    std::this_thread::sleep_for(requestDelay);
    auto sentAt = Clock::now();
    connection.send(requestText("GET", "/view/bytes-" + std::to_string(answerBytes), "read-1", timeoutMillis));
    record.line("client sends read-1 on its kept connection");
    std::thread watcher([&] {
        while (hasTrouble() && machine.isNodeRunning() && Clock::now() < stoppedAt + grace)
            std::this_thread::sleep_for(10ms);
        auto elapsed = std::chrono::duration<double>(Clock::now() - stoppedAt).count();
        if (hasTrouble())
            record.line("the node's process has ended " + std::to_string(elapsed) + " s after SIGTERM");
    });
    bool isComplete = readSlowly(record, connection);
    auto took = std::chrono::duration<double>(Clock::now() - sentAt).count();
    record.line("the connection of read-1 ended or was complete after " + std::to_string(took) + " s; the client's deadline and the route's timeout are " + std::to_string(timeoutMillis) + " ms");
    watcher.join();
    return isComplete ? ruleHeld : ruleBroken;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    runAndExit(argumentCount, arguments, runCase);
}
