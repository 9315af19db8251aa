#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace balsamreel::Support {

/// Counters, gauges, quantiles and histograms of a process by name. A name may have labels in braces. Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void add(const std::string& name, std::int64_t amount = 1);
    void set(const std::string& name, double value);

    /// Adds a sample in seconds to the quantiles (0.5, 0.9, 0.99) and the histogram kept under the name.
    void observe(const std::string& name, double sample);

    std::int64_t counter(const std::string& name) const;
    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct Summary;
    mutable std::mutex mutex_;
    std::map<std::string, std::int64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, std::unique_ptr<Summary>> summaries_;
};

} // namespace balsamreel::Support
