#include "balsamreel/Load/Series.h"

#include "balsamreel/Load/Goodput.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace balsamreel::Load {

namespace {

constexpr double stepsPerSecond = 10;
constexpr double plottedQuantiles[] = {0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999};

struct Step {
    std::vector<CallRecord> calls;
    std::uint64_t good = 0;
    std::uint64_t notRun = 0;
};

Step& stepAt(std::vector<Step>& steps, Support::Duration time)
{
    auto index = static_cast<std::size_t>(time / seriesStep);
    if (index >= steps.size())
        steps.resize(index + 1);
    return steps[index];
}

// Counts a call as good at the time it ends and only if it ends in time, because late responses are not goodput at peak load.
std::vector<Step> groupBySteps(const RunOptions& options, const RunResult& result)
{
    std::vector<Step> steps;
    for (const auto& call : result.calls) {
        stepAt(steps, call.dueAt).calls.push_back(call);
        stepAt(steps, call.dueAt).notRun += call.result == CallResult::NotRun ? 1 : 0;
        if (isGoodInTime(options, call))
            ++stepAt(steps, call.dueAt + call.latency).good;
    }
    return steps;
}

} // namespace

std::string seriesTable(const RunOptions& options, const RunResult& result)
{
    constexpr double tailQuantile = 0.99;
    std::string text = "seconds\toffered_per_s\tgood_per_s\tnot_run_per_s\tshort_p50_ms\tshort_p99_ms\n";
    auto steps = groupBySteps(options, result);
    const auto& kinds = options.profile.kinds;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const auto& step = steps[index];
        fmt::format_to(std::back_inserter(text), "{}\t{}\t{}\t{}\t{}\t{}\n", static_cast<double>(index) / stepsPerSecond,
            static_cast<double>(step.calls.size()) * stepsPerSecond, static_cast<double>(step.good) * stepsPerSecond,
            static_cast<double>(step.notRun) * stepsPerSecond, latencyQuantile(step.calls, 0.5, kinds, false), latencyQuantile(step.calls, tailQuantile, kinds, false));
    }
    return text;
}

std::string quantileTable(const RunOptions& options, const RunResult& result)
{
    std::string text = "quantile\tshort_ms\tlong_ms\n";
    const auto& kinds = options.profile.kinds;
    for (double quantile : plottedQuantiles)
        fmt::format_to(std::back_inserter(text), "{}\t{}\t{}\n", quantile, latencyQuantile(result.calls, quantile, kinds, false), latencyQuantile(result.calls, quantile, kinds, true));
    return text;
}

bool writeTables(const std::string& folder, const RunOptions& options, const RunResult& result)
{
    std::ofstream series(folder + "/series.tsv");
    series << seriesTable(options, result);
    std::ofstream quantiles(folder + "/quantiles.tsv");
    quantiles << quantileTable(options, result);
    return series.good() && quantiles.good();
}

} // namespace balsamreel::Load
