// Open-loop load generator that checks every response. Latency is measured from the time a call was due.
#pragma once

#include "balsamreel/Load/Profile.h"
#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/NameTable.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamreel::Load {

/// Outcome of a call as its caller saw it.
enum class CallResult : std::uint8_t { Good, ///< the complete response to this call
    NotRun,
    Unknown,
    ServerError,
    WrongResponse, ///< the response to another call, or a body that differs
    Truncated, ///< the connection ended before the end of the response
    Unreachable,
    ConnectionLost, ///< the connection closed without a response
    TimedOut, ///< no response within twice the deadline
    InProgress, ///< up to the last retry, an earlier call with the same key was reported to be still running
    ResponseNotRetained ///< a retry reported that the call ran, but that its response was not retained
};

constexpr Support::NameTable<CallResult, 11> callResultNames{{{CallResult::Good, "good"}, {CallResult::NotRun, "not_run"}, {CallResult::Unknown, "unknown"}, {CallResult::ServerError, "server_error"}, {CallResult::WrongResponse, "wrong_answer"}, {CallResult::Truncated, "cut"}, {CallResult::Unreachable, "unreachable"}, {CallResult::ConnectionLost, "lost"}, {CallResult::TimedOut, "silent"}, {CallResult::InProgress, "in_progress"}, {CallResult::ResponseNotRetained, "answer_gone"}}};

struct RunOptions {
    std::vector<Support::Endpoint> entries;
    std::vector<Support::Endpoint> servers; ///< fake servers whose execution logs are read at the end
    Profile profile;
    std::vector<Phase> phases;
    unsigned workers = 256; ///< maximum number of calls in flight
    bool isPinned = false; ///< each worker calls one entry only, so that there are at most as many connections as workers
    std::uint64_t seed = 1;
    Support::Duration deadline = std::chrono::seconds(5);
};

struct CallRecord {
    std::uint64_t id = 0;
    std::uint32_t kind = 0;
    std::uint32_t phase = 0;
    CallResult result = CallResult::Good;
    Support::Duration dueAt{}; ///< since the start of the run
    Support::Duration latency{};
    std::uint32_t entry = 0; ///< index of the last entry that the call went through
    std::uint32_t retries = 0; ///< with the same key; only keyed calls are retried
};

struct RunResult {
    std::vector<CallRecord> calls;
    std::uint64_t executions = 0; ///< of at-most-once calls
    std::uint64_t ranTwice = 0; ///< at-most-once calls that ran more than once
    std::uint64_t falseNotRun = 0; ///< calls that ran although they were reported as not run
};

RunResult runLoad(const RunOptions&);

/// Returns a latency quantile of the good calls of either the long or the short kinds, in milliseconds; 0 if there are none.
double latencyQuantile(const std::vector<CallRecord>&, double quantile, const std::vector<CallKind>&, bool longKinds);

/// Returns a JSON object on one line.
std::string jsonSummary(const RunOptions&, const RunResult&);

/// Returns a human-readable summary.
std::string textSummary(const RunOptions&, const RunResult&);

} // namespace balsamreel::Load
