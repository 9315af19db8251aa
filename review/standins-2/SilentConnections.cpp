// The open connections to the platform's store, or those between the machines, go silent, while new ones work. Later the
// operator writes a configuration, which has to be in force on all machines in touch within the bound.
// Arguments: the path of the record, and "store" or "peers".
#include "Deployment.h"

#include <string_view>

using namespace balsamreel::Review;
using namespace std::chrono_literals;

namespace {

constexpr auto contact = 3000ms;
constexpr auto converge = 2000ms;
constexpr auto margin = 200ms; // on both bounds
constexpr auto observation = 12s; // after the check, for the record only
constexpr unsigned fewMachines = 4;
// In one zone, 12 nodes watch the store, and the others learn of changes from these.
constexpr unsigned manyMachines = 14;

/// Versions 1 and 2 send /book/ to "plots". Version 3 sends it to "rules" and adds /new/.
void configure(Deployment& deployment, unsigned version)
{
    bool isThird = version == 3;
    std::vector<RouteRule> rules{{"r-book", "non_idempotent", "/book/", isThird ? "rules" : "plots", version == 1 ? "1000ms" : "900ms"}, {"r-draw", "idempotent", "/draw/", "rules", "1000ms"}};
    if (isThird)
        rules.push_back({"r-new", "idempotent", "/new/", "rules", "1000ms"});
    deployment.store.put("config", "main", configText(version, rules));
    deployment.record.line("operator: version " + std::to_string(version) + " acknowledged, /book/ goes to " + rules.front().service + (isThird ? ", /new/ to rules" : ", there is no /new/"));
}

bool wasRunBy(Deployment& deployment, const std::string& service, const std::string& id)
{
    for (const auto& machine : deployment.machines) {
        if (machine->backend().service() == service && machine->backend().runCount(id) > 0)
            return true;
    }
    return false;
}

/// Sends a request on each of both routes through each machine. Returns how many were handled as only version 2 allows.
unsigned countStale(Deployment& deployment, const std::string& label)
{
    unsigned stale = 0;
    for (const auto& machine : deployment.machines) {
        auto send = [&](const std::string& method, const std::string& path) {
            auto id = label + path + machine->name();
            auto connection = Connection::connectTo(machine->outbound());
            auto answer = exchange(deployment.record, connection, "client at " + machine->name(), id, requestText(method, path + "work-5", id, 1000), 1500ms);
            return (answer && answer->status() == 404) || wasRunBy(deployment, "plots", id);
        };
        stale += send("GET", "/new/") ? 1 : 0;
        stale += send("POST", "/book/") ? 1 : 0;
    }
    return stale;
}

bool waitUntilNoneStale(Deployment& deployment)
{
    auto end = Clock::now() + observation;
    for (unsigned round = 1; Clock::now() < end; ++round) {
        if (countStale(deployment, "later" + std::to_string(round)) == 0)
            return true;
        std::this_thread::sleep_for(1s);
    }
    return false;
}

int checkVersion(Deployment& deployment)
{
    configure(deployment, 3);
    std::this_thread::sleep_for(converge + margin);
    auto stale = countStale(deployment, "check");
    auto& record = deployment.record;
    record.line(std::to_string(stale) + " of " + std::to_string(2 * deployment.machines.size()) + " requests, sent later than converge after the acknowledgement of version 3, were handled as only version 2 allows");
    if (stale == 0)
        return ruleHeld;
    record.line(waitUntilNoneStale(deployment) ? "version 3 is in force on all machines now" : "version 3 is still not in force on all machines");
    return ruleBroken;
}

void silence(Deployment& deployment, const std::string& where, const std::vector<Relay*>& relays)
{
    if (!hasTrouble())
        return;
    std::size_t count = 0;
    for (auto* relay : relays)
        count += relay->silenceOpen();
    deployment.record.line("silent from now on: " + std::to_string(count) + " open connections " + where + "; new ones work");
}

// The second version makes all watches start at the same time.
int checkWithSilentStore(Deployment& deployment)
{
    static Relay relay(machineIp(101), deployment.store.address());
    configure(deployment, 1);
    for (unsigned number = 1; number <= fewMachines; ++number)
        deployment.addMachine({.service = number % 2 == 1 ? "plots" : "rules", .zone = "z" + std::to_string(number), .store = relay.address()});
    if (!waitUntilServed(deployment, "/book/warm", 15s) || !waitUntilServed(deployment, "/draw/warm", 5s))
        return cannotRun;
    std::this_thread::sleep_for(contact + margin);
    configure(deployment, 2);
    std::this_thread::sleep_for(300ms);
    silence(deployment, "to the store", {&relay});
    std::this_thread::sleep_for(contact + margin);
    return checkVersion(deployment);
}

int checkWithSilentPeers(Deployment& deployment)
{
    configure(deployment, 1);
    std::vector<Relay*> relays;
    for (unsigned number = 1; number <= manyMachines; ++number)
        relays.push_back(&deployment.addMachine({.service = number % 2 == 1 ? "plots" : "rules", .hasPeerRelay = true}).peerRelay());
    if (!waitUntilServed(deployment, "/book/warm", 15s) || !waitUntilServed(deployment, "/draw/warm", 5s))
        return cannotRun;
    configure(deployment, 2);
    std::this_thread::sleep_for(contact + margin);
    silence(deployment, "between the machines", relays);
    std::this_thread::sleep_for(contact + margin);
    return checkVersion(deployment);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    bool isBetweenMachines = argumentCount > 2 && std::string_view(arguments[2]) == "peers";
    runAndExit(argumentCount, arguments, isBetweenMachines ? checkWithSilentPeers : checkWithSilentStore);
}
