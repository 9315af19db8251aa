#include "balsamreel/Load/Runner.h"

#include "balsamreel/Load/Goodput.h"
#include "balsamreel/Support/Random.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <istream>
#include <memory>
#include <ostream>
#include <sstream>
#include <thread>

namespace balsamreel::Load {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Support::Duration;
using Support::Endpoint;
using Support::Instant;
using Support::monotonicNow;

namespace {

constexpr double microsPerSecond = 1e6;
constexpr int firstServerError = 500;
constexpr const char* idHeader = "X-Test-Id";
constexpr const char* outcomeHeader = "X-Balsam-Outcome";

// Draws all arrivals before the start, so that a slow system cannot reduce the load that it gets.
std::vector<CallRecord> generateArrivals(const RunOptions& options)
{
    Support::Random random(options.seed);
    double totalShare = 0;
    for (const auto& kind : options.profile.kinds)
        totalShare += kind.share;
    std::vector<CallRecord> calls;
    double phaseStart = 0;
    for (std::uint32_t phase = 0; phase < options.phases.size(); ++phase) {
        const auto& [rate, seconds] = options.phases[phase];
        double at = rate > 0 ? random.exponential(1 / rate) : seconds;
        while (at < seconds) {
            double draw = random.fraction() * totalShare;
            std::uint32_t kind = 0;
            while (kind + 1 < options.profile.kinds.size() && draw >= options.profile.kinds[kind].share)
                draw -= options.profile.kinds[kind++].share;
            calls.push_back({calls.size(), kind, phase, CallResult::Good, Duration(static_cast<Duration::rep>((phaseStart + at) * microsPerSecond)), {}});
            at += random.exponential(1 / rate);
        }
        phaseStart += seconds;
    }
    return calls;
}

bool bodyMatches(std::istream& stream, const std::string& id, std::uint64_t expectedBytes, bool& isComplete)
{
    auto pattern = id + "\n";
    std::array<char, 16 * 1024> buffer;
    std::uint64_t position = 0;
    bool matches = true;
    while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0) {
        for (std::streamsize index = 0; index < stream.gcount(); ++index, ++position)
            matches = matches && buffer[static_cast<std::size_t>(index)] == pattern[position % pattern.size()];
    }
    isComplete = position == expectedBytes;
    return matches;
}

/// Makes the calls of one thread over its own connections, one for each entry.
class Worker {
public:
    Worker(const RunOptions& options, std::string runName, std::uint64_t seed)
        : options_(options)
        , runName_(std::move(runName))
        , random_(seed)
        , pinnedEntry_(seed % options.entries.size())
        , sessions_(options.entries.size())
    {
    }

    void call(CallRecord& record)
    {
        constexpr Duration retryDelay = std::chrono::milliseconds(100);
        record.entry = static_cast<std::uint32_t>(options_.isPinned ? pinnedEntry_ : random_.below(options_.entries.size()));
        record.result = callOnce(record);
        auto end = monotonicNow() + 2 * options_.deadline;
        while (options_.profile.kinds[record.kind].isKeyed && shouldRetry(record.result) && monotonicNow() < end) {
            std::this_thread::sleep_for(retryDelay);
            ++record.retries;
            record.entry = static_cast<std::uint32_t>((record.entry + 1) % options_.entries.size());
            record.result = callOnce(record);
        }
    }

private:
    static bool shouldRetry(CallResult result)
    {
        constexpr std::array retriedResults{CallResult::NotRun, CallResult::InProgress, CallResult::Unreachable, CallResult::ConnectionLost, CallResult::TimedOut, CallResult::Truncated};
        return std::ranges::find(retriedResults, result) != retriedResults.end();
    }

    CallResult callOnce(const CallRecord& record)
    {
        auto& session = sessions_[record.entry];
        if (!session) {
            const auto& entry = options_.entries[record.entry];
            session = std::make_unique<HTTPClientSession>(entry.host, entry.port);
            session->setKeepAlive(true);
            session->setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(2 * options_.deadline.count())));
        }
        bool isConnected = false;
        try {
            return exchange(*session, record, isConnected);
        } catch (const Poco::TimeoutException&) {
            session.reset();
            return isConnected ? CallResult::TimedOut : CallResult::Unreachable;
        } catch (const Poco::Exception&) {
            session.reset();
            return isConnected ? CallResult::ConnectionLost : CallResult::Unreachable;
        }
    }

    CallResult exchange(HTTPClientSession& session, const CallRecord& record, bool& isConnected)
    {
        const auto& kind = options_.profile.kinds[record.kind];
        auto id = fmt::format("{}-{}", runName_, record.id);
        HTTPRequest request(kind.method, kind.path, HTTPRequest::HTTP_1_1);
        request.set(idHeader, id);
        request.set("X-Test-Work-Us", std::to_string(kind.work.count()));
        request.set("X-Test-Bytes", std::to_string(kind.responseBytes));
        request.set("X-Balsam-Remaining-Us", std::to_string(options_.deadline.count()));
        if (!kind.chain.empty())
            request.set("X-Test-Chain", kind.chain);
        if (kind.isKeyed)
            request.set("Idempotency-Key", id);
        if (kind.method != HTTPRequest::HTTP_GET)
            request.setContentLength64(static_cast<Poco::Int64>(kind.requestBytes));
        // Reconnects if the peer has closed the idle connection in the meantime, which is not a failure of the call.
        if (session.connected() && session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            session.reset();
        auto& out = session.sendRequest(request);
        isConnected = true;
        out << std::string(kind.requestBytes, 'r');
        HTTPResponse response;
        auto& in = session.receiveResponse(response);
        bool isComplete = false;
        bool matches = bodyMatches(in, id, kind.responseBytes, isComplete);
        auto outcome = response.get(outcomeHeader, "");
        if (!response.getKeepAlive())
            session.reset();
        if (outcome == "not-run")
            return CallResult::NotRun;
        if (outcome == "unknown")
            return CallResult::Unknown;
        if (outcome == "in-progress")
            return CallResult::InProgress;
        if (response.get("X-Balsam-Reason", "") == "answer-not-kept")
            return CallResult::ResponseNotRetained;
        if (response.getStatus() >= firstServerError)
            return CallResult::ServerError;
        if (!isComplete)
            return CallResult::Truncated;
        return matches && response.get(idHeader, "") == id ? CallResult::Good : CallResult::WrongResponse;
    }

    const RunOptions& options_;
    std::string runName_;
    Support::Random random_;
    std::size_t pinnedEntry_;
    std::vector<std::unique_ptr<HTTPClientSession>> sessions_;
};

std::map<std::string, std::uint64_t> readExecutions(const std::vector<Endpoint>& servers)
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto& server : servers) {
        try {
            HTTPClientSession session(server.host, server.port);
            HTTPRequest request("GET", "/executions", HTTPRequest::HTTP_1_1);
            session.sendRequest(request);
            HTTPResponse response;
            auto& stream = session.receiveResponse(response);
            std::string id;
            std::uint64_t count = 0;
            while (stream >> id >> count)
                counts[id] += count;
        } catch (const Poco::Exception&) {
            // A killed server has lost the execution log that it kept in memory.
            continue;
        }
    }
    return counts;
}

void checkExecutions(const RunOptions& options, const std::string& runName, RunResult& result)
{
    auto counts = readExecutions(options.servers);
    for (const auto& call : result.calls) {
        auto found = counts.find(fmt::format("{}-{}", runName, call.id));
        auto count = found == counts.end() ? 0 : found->second;
        bool isAtMostOnce = options.profile.kinds[call.kind].isAtMostOnce;
        result.executions += isAtMostOnce ? count : 0;
        result.ranTwice += isAtMostOnce && count > 1 ? 1 : 0;
        result.falseNotRun += call.result == CallResult::NotRun && count > 0 ? 1 : 0;
    }
}

std::map<CallResult, std::uint64_t> countResults(const std::vector<CallRecord>& calls)
{
    std::map<CallResult, std::uint64_t> counts;
    for (const auto& row : callResultNames)
        counts[row.value] = 0;
    for (const auto& call : calls)
        ++counts[call.result];
    return counts;
}

// Whether a lost connection is the balancer's fault depends on who ended the entry's process, so losses are counted by entry.
void addConnectionLosses(const RunOptions& options, const RunResult& result, Poco::JSON::Object& root)
{
    std::vector<std::uint64_t> lost(options.entries.size());
    std::uint64_t retries = 0;
    for (const auto& call : result.calls) {
        lost[call.entry] += call.result == CallResult::ConnectionLost ? 1 : 0;
        retries += call.retries;
    }
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    for (auto count : lost)
        rows->add(count);
    root.set("lost_by_entry", rows);
    root.set("repeats", retries);
}

} // namespace

RunResult runLoad(const RunOptions& options)
{
    RunResult result;
    result.calls = generateArrivals(options);
    auto runName = fmt::format("r{:x}", Support::randomSeed());
    std::atomic<std::size_t> next{0};
    auto start = monotonicNow() + std::chrono::milliseconds(100);
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < options.workers; ++index) {
        threads.emplace_back([&, index] {
            Worker worker(options, runName, options.seed + index + 1);
            while (true) {
                auto position = next++;
                if (position >= result.calls.size())
                    return;
                auto& call = result.calls[position];
                std::this_thread::sleep_until(start + call.dueAt);
                worker.call(call);
                call.latency = monotonicNow() - (start + call.dueAt);
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    checkExecutions(options, runName, result);
    return result;
}

double latencyQuantile(const std::vector<CallRecord>& calls, double quantile, const std::vector<CallKind>& kinds, bool longKinds)
{
    std::vector<Duration> latencies;
    for (const auto& call : calls) {
        if (call.result == CallResult::Good && kinds[call.kind].isLong == longKinds)
            latencies.push_back(call.latency);
    }
    if (latencies.empty())
        return 0;
    auto position = std::min(latencies.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(latencies.size())));
    std::ranges::nth_element(latencies, latencies.begin() + static_cast<std::ptrdiff_t>(position));
    return Support::toMillis(latencies[position]);
}

std::string jsonSummary(const RunOptions& options, const RunResult& result)
{
    Poco::JSON::Object root;
    root.set("profile", options.profile.name);
    root.set("calls", result.calls.size());
    for (const auto& [value, count] : countResults(result.calls))
        root.set(std::string(Support::nameOf(callResultNames, value)), count);
    for (double quantile : {0.5, 0.9, 0.99, 0.999}) {
        root.set(fmt::format("short_p{}_ms", quantile * 100), latencyQuantile(result.calls, quantile, options.profile.kinds, false));
        root.set(fmt::format("long_p{}_ms", quantile * 100), latencyQuantile(result.calls, quantile, options.profile.kinds, true));
    }
    Poco::JSON::Array goodput;
    for (double perSecond : goodputOfPhases(options, result))
        goodput.add(perSecond);
    root.set("goodput_per_s", goodput);
    root.set("recovery_s", recoverySeconds(options, result));
    root.set("at_most_once_executions", result.executions);
    root.set("ran_twice", result.ranTwice);
    root.set("false_not_run", result.falseNotRun);
    addConnectionLosses(options, result, root);
    std::ostringstream stream;
    root.stringify(stream);
    return std::move(stream).str();
}

std::string textSummary(const RunOptions& options, const RunResult& result)
{
    auto text = fmt::format("{:<14} {:>8} calls", options.profile.name, result.calls.size());
    for (const auto& [value, count] : countResults(result.calls))
        text += fmt::format("  {} {}", Support::nameOf(callResultNames, value), count);
    const auto& kinds = options.profile.kinds;
    text += fmt::format("\n  short p50 {:.2f} ms, p99 {:.2f} ms; long p50 {:.2f} ms, p99 {:.2f} ms\n", latencyQuantile(result.calls, 0.5, kinds, false), latencyQuantile(result.calls, 0.99, kinds, false), latencyQuantile(result.calls, 0.5, kinds, true), latencyQuantile(result.calls, 0.99, kinds, true));
    text += fmt::format("  at-most-once: {} executions, {} ran twice, {} falsely reported as not run\n", result.executions, result.ranTwice, result.falseNotRun);
    return text;
}

} // namespace balsamreel::Load
