#include "balsamreel/Support/Metrics.h"

#include <gtest/gtest.h>

namespace balsamreel::Support {

TEST(Metrics, HistogramsCountSamplesUpToEachBound)
{
    Metrics metrics;
    for (double seconds : {0.004, 0.02, 0.3, 60.0})
        metrics.observe("call_seconds{route=\"a\"}", seconds);
    auto text = metrics.text();
    for (const auto* line : {"call_seconds_bucket{route=\"a\",le=\"0.005\"} 1\n", "call_seconds_bucket{route=\"a\",le=\"0.25\"} 2\n", "call_seconds_bucket{route=\"a\",le=\"5\"} 3\n", "call_seconds_bucket{route=\"a\",le=\"+Inf\"} 4\n", "call_seconds_count{route=\"a\"} 4\n"})
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
}

} // namespace balsamreel::Support
