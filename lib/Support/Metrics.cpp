#include "balsamreel/Support/Metrics.h"

#include <array>
#include <sstream>

#if defined(__GNUC__) && !defined(__clang__)
// GCC mistakes the accumulators' delayed initialization for a missing one.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

// The quantile header uses std::ostringstream without including <sstream>, hence the order.
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace balsamreel::Support {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> reportedQuantiles{0.5, 0.9, 0.99};
// Upper bounds (seconds). Unlike quantiles, buckets of many nodes can be added up.
constexpr std::array<double, 10> bucketBounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

// Adds a label to a name: name{a="b"} becomes name{a="b",extra}.
std::string withLabel(const std::string& name, const std::string& label)
{
    auto brace = name.find('{');
    if (brace == std::string::npos)
        return name + "{" + label + "}";
    return name.substr(0, name.size() - 1) + "," + label + "}";
}

std::string withSuffix(const std::string& name, const std::string& suffix)
{
    auto brace = name.find('{');
    if (brace == std::string::npos)
        return name + suffix;
    return name.substr(0, brace) + suffix + name.substr(brace);
}

} // namespace

struct Metrics::Summary {
    using Set = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::extended_p_square_quantile, accumulators::tag::count, accumulators::tag::sum>>;
    Set set{accumulators::extended_p_square_probabilities = reportedQuantiles};
    std::array<std::uint64_t, bucketBounds.size()> buckets{}; ///< samples up to each bound

    void add(double sample)
    {
        set(sample);
        for (std::size_t index = 0; index < bucketBounds.size(); ++index)
            buckets[index] += sample <= bucketBounds[index] ? 1 : 0;
    }
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::add(const std::string& name, std::int64_t amount)
{
    std::lock_guard lock(mutex_);
    counters_[name] += amount;
}

void Metrics::set(const std::string& name, double value)
{
    std::lock_guard lock(mutex_);
    gauges_[name] = value;
}

void Metrics::observe(const std::string& name, double sample)
{
    std::lock_guard lock(mutex_);
    auto& summary = summaries_[name];
    if (!summary)
        summary = std::make_unique<Summary>();
    summary->add(sample);
}

std::int64_t Metrics::counter(const std::string& name) const
{
    std::lock_guard lock(mutex_);
    auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

std::string Metrics::text() const
{
    std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [name, value] : counters_)
        text += fmt::format("{} {}\n", name, value);
    for (const auto& [name, value] : gauges_)
        text += fmt::format("{} {}\n", name, value);
    for (const auto& [name, summary] : summaries_) {
        for (double quantile : reportedQuantiles) {
            double value = accumulators::quantile(summary->set, accumulators::quantile_probability = quantile);
            text += fmt::format("{} {}\n", withLabel(name, fmt::format("quantile=\"{}\"", quantile)), value);
        }
        auto bucketName = withSuffix(name, "_bucket");
        for (std::size_t index = 0; index < bucketBounds.size(); ++index)
            text += fmt::format("{} {}\n", withLabel(bucketName, fmt::format("le=\"{}\"", bucketBounds[index])), summary->buckets[index]);
        text += fmt::format("{} {}\n", withLabel(bucketName, "le=\"+Inf\""), accumulators::count(summary->set));
        text += fmt::format("{} {}\n", withSuffix(name, "_sum"), accumulators::sum(summary->set));
        text += fmt::format("{} {}\n", withSuffix(name, "_count"), accumulators::count(summary->set));
    }
    return text;
}

} // namespace balsamreel::Support
