#include "balsamreel/Load/Goodput.h"

#include "balsamreel/Load/Series.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Load {

namespace {

constexpr double normalGoodShare = 0.99;
constexpr double normalMedianFactor = 2;
constexpr double microsPerSecond = 1e6;

double secondsOf(Support::Duration duration)
{
    return static_cast<double>(duration.count()) / microsPerSecond;
}

double medianOf(const RunOptions& options, const std::vector<CallRecord>& calls)
{
    return latencyQuantile(calls, 0.5, options.profile.kinds, false);
}

bool isNormal(const RunOptions& options, const std::vector<CallRecord>& calls, double normalMedian)
{
    std::size_t good = 0;
    for (const auto& call : calls)
        good += isGoodInTime(options, call) ? 1 : 0;
    return static_cast<double>(good) >= normalGoodShare * static_cast<double>(calls.size()) && medianOf(options, calls) <= normalMedianFactor * normalMedian;
}

} // namespace

bool isGoodInTime(const RunOptions& options, const CallRecord& call)
{
    return call.result == CallResult::Good && call.latency <= options.deadline;
}

std::vector<double> goodputOfPhases(const RunOptions& options, const RunResult& result)
{
    std::vector<double> ends;
    double end = 0;
    for (const auto& phase : options.phases)
        ends.push_back(end += phase.seconds);
    std::vector<double> goodput(options.phases.size(), 0);
    for (const auto& call : result.calls) {
        if (!isGoodInTime(options, call))
            continue;
        double endedAt = secondsOf(call.dueAt + call.latency);
        std::size_t phase = call.phase;
        while (phase < ends.size() && endedAt >= ends[phase])
            ++phase;
        if (phase < ends.size())
            goodput[phase] += 1 / options.phases[phase].seconds;
    }
    return goodput;
}

double recoverySeconds(const RunOptions& options, const RunResult& result)
{
    auto last = static_cast<std::uint32_t>(options.phases.size() - 1);
    Support::Duration start{};
    for (std::uint32_t phase = 0; phase < last; ++phase)
        start += Support::Duration(std::llround(options.phases[phase].seconds * microsPerSecond));
    std::vector<CallRecord> normal;
    std::vector<std::vector<CallRecord>> steps;
    for (const auto& call : result.calls) {
        if (call.phase == 0)
            normal.push_back(call);
        if (call.phase != last)
            continue;
        auto step = static_cast<std::size_t>(std::max(Support::Duration::zero(), call.dueAt - start) / seriesStep);
        steps.resize(std::max(steps.size(), step + 1));
        steps[step].push_back(call);
    }
    double median = medianOf(options, normal);
    std::size_t recovered = 0;
    for (std::size_t step = 0; step < steps.size(); ++step) {
        if (!steps[step].empty() && !isNormal(options, steps[step], median))
            recovered = step + 1;
    }
    return static_cast<double>(recovered) * secondsOf(seriesStep);
}

} // namespace balsamreel::Load
