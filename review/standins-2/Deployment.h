// A small deployment on loopback addresses: nodes as processes, with stand-ins for the platform's store and for backends.
#pragma once

#include "Http.h"

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace balsamreel::Review {

/// Exit statuses of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int cannotRun = 2;

/// Writes what was sent, answered and run, with the time since the start. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
    {
    }

    void line(const std::string& text);
    double seconds() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_ = Clock::now();
};

/// Whether the case runs with its disruption: not if the variable TROUBLE is 0.
bool hasTrouble();

/// The platform's store: objects by kind and name, with listings and watches.
class PlatformStore {
public:
    explicit PlatformStore(const std::string& ip);

    Address address() const { return listener_.address(); }

    /// Writes an object as the operator does.
    void put(const std::string& kind, const std::string& name, const std::string& spec);

private:
    struct Object {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text; ///< the event as JSON
    };

    void serve(Connection);
    std::string respond(const Message&);
    std::string write(const Message&, const std::string& kind);
    std::string watch(std::unique_lock<std::mutex>&, const std::string& kind, const std::string& query);
    std::string list(const std::string& kind);
    const Object& change(const std::string& kind, const std::string& name, const std::string& spec);
    static std::string objectText(const std::string& name, const Object&);

    Listener listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Change> changes_;
    std::uint64_t revision_ = 1;
};

/// How a backend behaves.
struct BackendOptions {
    unsigned slots = 9;
    bool tellsLoad = true; ///< if not, its health path waits for a slot like any request
};

/// A sound backend with slots. A request for a target that contains "work-N" runs for N milliseconds, until its deadline at most,
/// and also if its connection closes; one that contains "bytes-N" gets a body of N bytes.
class Backend {
public:
    Backend(const std::string& ip, std::string service, std::string instance, BackendOptions, Record&);

    Address address() const { return listener_.address(); }
    const std::string& service() const { return service_; }

    /// Sends check-ins to the node beside it until it leaves.
    void announceTo(const Address& control);

    /// Leaves without reporting "draining": ends its check-ins, deregisters, and goes on serving. Returns whether the node has
    /// acknowledged it.
    bool leave();

    /// Delivers a check-in that the backend made before it left.
    bool deliverLateCheckIn();

    /// Ends as a process does that exits: all connections end, and nothing listens any more.
    void end();

    unsigned runCount(const std::string& id);

    /// How many requests with this id have reached the backend, whether or not they have run.
    unsigned arrivalCount(const std::string& id);

private:
    void serve(Connection);
    std::string respond(const Message&);
    std::string run(const Message&, const std::string& id);
    void takeSlot();
    void releaseSlot();
    std::string statements();
    void announce();
    std::string nextCheckIn();
    bool tell(const std::string& call, const std::string& body) const;

    Listener listener_;
    std::string service_;
    std::string instance_;
    BackendOptions options_;
    Record& record_;
    Address control_;
    std::int64_t bornMillis_ = 0;
    std::mutex mutex_;
    std::condition_variable slotFree_;
    unsigned running_ = 0;
    unsigned sequence_ = 0; ///< of the last check-in
    bool isLeaving_ = false;
    std::string lateCheckIn_; ///< made before the backend left, and not delivered yet
    bool hasEnded_ = false;
    std::set<int> open_; ///< descriptors of the connections
    std::map<std::string, unsigned> arrivals_; ///< by id
    std::map<std::string, unsigned> runs_; ///< by id
};

/// A relay in front of one address. It can silence its open connections: they stay open, and nothing passes any more.
class Relay {
public:
    Relay(const std::string& ip, Address target);

    Address address() const { return listener_.address(); }

    /// Silences all open connections. Returns their number.
    std::size_t silenceOpen();

private:
    struct Link {
        Connection near;
        Connection far;
        std::atomic<bool> isSilent{false};
    };

    static void pump(const std::shared_ptr<Link>&, bool fromNear);

    Listener listener_;
    Address target_;
    std::mutex mutex_;
    std::vector<std::weak_ptr<Link>> links_;
};

/// How a machine is set up.
struct MachineOptions {
    std::string service;
    std::string zone = "z1";
    std::optional<Address> store; ///< where its node reaches the store, if not directly
    bool hasPeerRelay = false; ///< other nodes reach its node through a relay
    BackendOptions backend;
};

/// A machine: a backend, and the node beside it as a process of its own.
class Machine {
public:
    Machine(unsigned number, const MachineOptions&, const Address& store, const std::string& folder, Record&);
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;

    const std::string& name() const { return name_; }
    const Address& outbound() const { return outbound_; }
    Backend& backend() { return *backend_; }
    Relay& peerRelay() { return *peerRelay_; }

    /// Starts the node's process. It ends with the thread that starts it at the latest.
    void startNode();
    void signalNode(int number) const;

    /// Kills the node and waits until its process has ended.
    void killNode();

    /// Whether the node's process still runs. Collects it if it has ended.
    bool isNodeRunning();

    /// Most memory that the node's process has held so far, in bytes; 0 if it does not run.
    std::uint64_t peakMemory() const;

    bool isReady() const;

private:
    void writeSettings(const Address& store) const;

    std::string name_;
    std::string zone_;
    std::string ip_;
    std::string settingsPath_;
    std::string logPath_;
    Address outbound_;
    Address readiness_;
    Address control_;
    std::uint16_t firstPort_ = 0; ///< of the ports for communication between nodes
    std::optional<Address> peerBind_; ///< where the node listens for others behind its relay
    std::unique_ptr<Relay> peerRelay_;
    std::unique_ptr<Backend> backend_;
    pid_t pid_ = -1;
};

/// What a case runs with. Stand-ins serve until the process ends, so it is never destroyed.
struct Deployment {
    explicit Deployment(const std::string& recordPath);

    /// Adds a machine, and starts its node.
    Machine& addMachine(const MachineOptions&);

    /// Ends all processes and removes the temporary files.
    void end();

    Record record;
    std::string folder;
    PlatformStore store;
    std::vector<std::unique_ptr<Machine>> machines;
};

/// Runs a case with the path of its record as the first argument of the program, and ends the process with the case's status.
[[noreturn]] void runAndExit(int argumentCount, char** arguments, const std::function<int(Deployment&)>& runCase);

/// Loopback addresses of this run: one for each machine, none shared with another run at the same time.
std::string machineIp(unsigned number);

/// A route of the configuration.
struct RouteRule {
    std::string name;
    std::string kind;
    std::string prefix;
    std::string service;
    std::string timeout;
};

std::string configText(unsigned version, const std::vector<RouteRule>&);

std::string requestText(const std::string& method, const std::string& target, const std::string& id, unsigned timeoutMillis, const std::string& body = {});

/// Sends a request on a connection and waits for the answer; records both.
std::optional<Message> exchange(Record&, Connection&, const std::string& who, const std::string& id, const std::string& text, Millis patience);

/// Whether all machines are ready and serve the target within the time.
bool waitUntilServed(Deployment&, const std::string& target, Millis time);

} // namespace balsamreel::Review
