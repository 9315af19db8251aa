// Sends open-loop load and checks every answer. Latency counts from the time a call was due.
#pragma once

#include "balsamreel/Load/Profile.h"
#include "balsamreel/Support/Endpoint.h"
#include "balsamreel/Support/NameTable.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamreel::Load {

/// How a call ended, as its caller saw it.
enum class CallResult : std::uint8_t { Good, ///< the whole answer to this very call
    NotRun,
    Unknown,
    ServerError,
    WrongResponse, ///< another call's answer, or a body that differs
    Truncated, ///< the connection ended before the answer did
    Unreachable,
    ConnectionLost, ///< the connection closed without any answer
    TimedOut, ///< no answer came within twice the deadline
    InProgress, ///< an earlier call with the same key was said to run still, to the end of the repeats
    ResponseNotRetained ///< it ran, as a repeat has learned, but its answer was not kept
};

constexpr Support::NameTable<CallResult, 11> callResultNames{{{CallResult::Good, "good"}, {CallResult::NotRun, "not_run"}, {CallResult::Unknown, "unknown"}, {CallResult::ServerError, "server_error"}, {CallResult::WrongResponse, "wrong_answer"}, {CallResult::Truncated, "cut"}, {CallResult::Unreachable, "unreachable"}, {CallResult::ConnectionLost, "lost"}, {CallResult::TimedOut, "silent"}, {CallResult::InProgress, "in_progress"}, {CallResult::ResponseNotRetained, "answer_gone"}}};

struct RunOptions {
    std::vector<Support::Endpoint> entries;
    std::vector<Support::Endpoint> servers; ///< stand-ins whose execution logs are read at the end
    Profile profile;
    std::vector<Phase> phases;
    unsigned workers = 256; ///< most calls in flight at once
    bool isPinned = false; ///< each worker calls one entry only, so that there are no more connections than workers
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
    std::uint32_t entry = 0; ///< the last one that the call went through
    std::uint32_t retries = 0; ///< of a keyed call
};

struct RunResult {
    std::vector<CallRecord> calls;
    std::uint64_t executions = 0; ///< of at-most-once calls
    std::uint64_t ranTwice = 0; ///< at-most-once calls that ran more than once
    std::uint64_t falseNotRun = 0; ///< calls said not to have run that did
};

RunResult runLoad(const RunOptions&);

/// Quantile of the good calls' latencies, in milliseconds; 0 if there are none.
double latencyQuantile(const std::vector<CallRecord>&, double quantile, const std::vector<CallKind>&, bool longKinds);

/// One JSON object on one line.
std::string jsonSummary(const RunOptions&, const RunResult&);

/// Rows for people.
std::string textSummary(const RunOptions&, const RunResult&);

} // namespace balsamreel::Load
