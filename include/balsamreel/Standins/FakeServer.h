// Fake of a users' server: slots, stale load reports, noisy neighbours, faults, and a log of the calls it ran.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/Http.h"
#include "balsamreel/Support/Random.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace balsamreel::Standins {

struct FakeServerOptions {
    Support::Endpoint listen;
    std::optional<Support::Endpoint> announcedAddress; ///< announced instead of the listening address if a relay is in front of the server
    Support::Endpoint nodeAdmin; ///< admin address of the node that the server announces itself to
    std::string service;
    unsigned slots = 8;
    Support::Duration workTime = std::chrono::milliseconds(4); ///< mean, for calls that specify none
    Support::Duration coldTime = std::chrono::milliseconds(0); ///< time after the start during which calls take three times as long
    double noiseShare = 0; ///< share of time in which noisy neighbours slow the server down
    double noiseFactor = 4; ///< how much longer calls take during that time
    Support::Duration loadSampleInterval = std::chrono::seconds(1); ///< maximum age of the load that the load endpoint reports
    std::uint64_t seed = 1;
    std::string executionLog; ///< file that preserves the executed ids if the process is killed; empty: memory only
    std::optional<Support::Endpoint> entry; ///< for the server's own calls
};

/// Faults, set by POST /control?slow=FACTOR&fail_fast=1&silent=1
struct ServerFaults {
    double slowFactor = 1;
    bool failsFast = false;
    bool neverResponds = false; ///< accepts calls, but never responds
};

/// Calls carry an id in X-Test-Id, which the response repeats. GET /executions lists how often each id ran.
/// X-Test-Work-Us sets the mean work time in microseconds, X-Test-Bytes the size of the response body.
class FakeServer {
public:
    FakeServer(FakeServerOptions);
    ~FakeServer();
    FakeServer(const FakeServer&) = delete;
    FakeServer& operator=(const FakeServer&) = delete;

    void start();

    /// Announces that the server is draining, waits for the calls in flight, and announces that it is gone.
    void drain();

private:
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleWork(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleControl(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleExecutions(Poco::Net::HTTPServerResponse&);
    void handleLoad(Poco::Net::HTTPServerResponse&);
    Support::Duration workTimeOf(const Poco::Net::HTTPServerRequest&);
    bool simulateWork(Support::Duration, const std::function<bool()>& isCancelled);
    void announceLoop();
    /// Returns the number of calls in flight that the node reports; nullopt if the node did not respond with it.
    std::optional<unsigned> announce(const std::string& state);
    void noiseLoop();
    void readExecutionLog();

    FakeServerOptions options_;
    Support::Instant startedAt_;
    std::mutex mutex_;
    std::condition_variable slotFree_;
    unsigned busy_ = 0;
    unsigned waiting_ = 0;
    unsigned sampledLoad_ = 0;
    Support::Instant loadSampledAt_;
    ServerFaults faults_;
    std::map<std::string, unsigned> executions_;
    std::ofstream executionLog_;
    std::uint64_t cancelled_ = 0;
    Support::Random random_;
    std::atomic<bool> isNoisy_{false};
    std::atomic<bool> isEnding_{false};
    std::atomic<bool> isDraining_{false};
    std::atomic<unsigned> callsInProgress_{0}; ///< calls being read, executed or responded to
    std::thread announcer_;
    std::thread noise_;
    Support::HttpService http_;
};

} // namespace balsamreel::Standins
