#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace balsamreel::Support {

/// Random number generator. Decision layers own and seed theirs, so that every decision can be replayed.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// Uniform in [0, bound); bound must be positive.
    std::size_t below(std::size_t bound) { return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine_); }

    /// Uniform in [0, 1).
    double fraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

    /// Exponentially distributed with the given mean.
    double exponential(double mean) { return std::exponential_distribution<double>(1.0 / mean)(engine_); }

    std::mt19937_64& engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

/// A seed from the operating system.
std::uint64_t randomSeed();

} // namespace balsamreel::Support
