// A stand-in for a users' server: slots, stale load reports, noisy neighbours, faults, and a log of what it ran.
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
    std::optional<Support::Endpoint> announcedAddress; ///< if a relay stands in front of it
    Support::Endpoint nodeAdmin; ///< where it announces itself
    std::string service;
    unsigned slots = 8;
    Support::Duration workTime = std::chrono::milliseconds(4); ///< mean, if the call names none
    Support::Duration coldTime = std::chrono::milliseconds(0); ///< works three times slower for so long
    double noiseShare = 0; ///< share of time in which a neighbour slows it down
    double noiseFactor = 4;
    Support::Duration loadSampleInterval = std::chrono::seconds(1); ///< age of what its load endpoint says
    std::uint64_t seed = 1;
    std::string executionLog; ///< file that keeps what it ran over a kill; empty: memory only
    std::optional<Support::Endpoint> entry; ///< for the calls it makes itself
};

/// Faults, set by POST /control?...
struct ServerFaults {
    double slowFactor = 1;
    bool failsFast = false;
    bool neverResponds = false; ///< takes calls and never answers
};

/// Calls carry X-Test-Id; the answer repeats it. GET /executions tells how often each id ran.
/// X-Test-Work-Us sets the work time, X-Test-Bytes the size of the answer.
class FakeServer {
public:
    FakeServer(FakeServerOptions);
    ~FakeServer();
    FakeServer(const FakeServer&) = delete;
    FakeServer& operator=(const FakeServer&) = delete;

    void start();

    /// Announces that it drains, waits for work in flight, and withdraws.
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
    /// Gives the calls in flight that the node knows of; nothing if it did not answer.
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
    std::atomic<unsigned> callsInProgress_{0}; ///< calls that are read, worked on or answered
    std::thread announcer_;
    std::thread noise_;
    Support::HttpService http_;
};

} // namespace balsamreel::Standins
