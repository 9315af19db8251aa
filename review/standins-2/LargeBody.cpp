// A client sends a request body within the limits of the configuration, while other clients wait for their answers on kept
// connections. The platform kills a process that exceeds its memory.
#include "Deployment.h"

#include <algorithm>
#include <csignal>

using namespace balsamreel::Review;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t memoryLimit = 260ULL * 1024 * 1024; // memory_mb of the settings
constexpr std::size_t largestBody = 67108864; // max_body_bytes of the configuration
constexpr unsigned clientCount = 6;
constexpr unsigned toleratedLosses = 3; // LOST: "more than three times"

/// Kills the node as the platform does if it exceeds its memory. Ends with the case.
void enforceMemory(Record& record, Machine& machine, const std::atomic<bool>& hasEnded)
{
    std::uint64_t peak = 0;
    while (!hasEnded && machine.isNodeRunning()) {
        peak = std::max(peak, machine.peakMemory());
        if (peak > memoryLimit) {
            record.line("platform kills the node of " + machine.name() + ": " + std::to_string(peak) + " bytes are more than its limit");
            machine.signalNode(SIGKILL);
            return;
        }
        std::this_thread::sleep_for(2ms);
    }
    record.line("node of " + machine.name() + " has held " + std::to_string(peak) + " bytes at most");
}

/// Returns false if the connection was closed without an answer.
bool callOnKeptConnection(Record& record, const Address& node, unsigned number)
{
    auto who = "client " + std::to_string(number);
    auto connection = Connection::connectTo(node);
    auto first = "first-" + std::to_string(number);
    if (!exchange(record, connection, who, first, requestText("GET", "/view/work-5", first, 4000), 5s))
        return true; // not what this case is about
    std::this_thread::sleep_for(500ms);
    auto second = "kept-" + std::to_string(number);
    return exchange(record, connection, who, second, requestText("GET", "/view/work-1500", second, 4000), 5s).has_value() || !connection.hasEnded();
}

int runCase(Deployment& deployment)
{
    auto& record = deployment.record;
    deployment.store.put("config", "main", configText(1, {{"r-view", "idempotent", "/view/", "plots", "4000ms"}, {"r-book", "non_idempotent", "/book/", "rules", "4000ms"}}));
    auto& machine = deployment.addMachine({.service = "plots"});
    deployment.addMachine({.service = "rules"});
    if (!waitUntilServed(deployment, "/view/warm", 15s) || !waitUntilServed(deployment, "/book/warm", 5s))
        return cannotRun;
    std::atomic<bool> hasEnded{false};
    std::atomic<unsigned> lost{0};
    std::thread platform([&] { enforceMemory(record, machine, hasEnded); });
    std::vector<std::thread> clients;
    for (unsigned number = 1; number <= clientCount; ++number) {
        clients.emplace_back([&, number] {
            if (!callOnKeptConnection(record, machine.outbound(), number))
                ++lost;
        });
    }
    std::this_thread::sleep_for(1s);
    auto connection = Connection::connectTo(machine.outbound());
    exchange(record, connection, "client with a body", "body-1", requestText("POST", "/book/work-5", "body-1", 4000, std::string(hasTrouble() ? largestBody : 1024, 'b')), 5s);
    for (auto& client : clients)
        client.join();
    hasEnded = true;
    platform.join();
    record.line(std::to_string(lost) + " kept connections were closed without an answer; LOST allows " + std::to_string(toleratedLosses));
    return lost > toleratedLosses ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    runAndExit(argumentCount, arguments, runCase);
}
