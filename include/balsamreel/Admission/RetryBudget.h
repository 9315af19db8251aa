// How many further attempts an entry may make, per call and per service. Pure decisions.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace balsamreel::Admission {

/// Further attempts that one call may cause, in this entry and in all entries below it.
class CallRetries {
public:
    /// Retries of a call at this depth; inherited is what the entry above passed on, if it did.
    CallRetries(std::uint64_t depth, std::optional<std::uint64_t> inherited);

    unsigned left() const { return left_; }

    /// What the next attempt passes on to the calls below it: half, so that all layers together
    /// make a number of attempts that does not grow with the number of layers.
    unsigned passedOn() const { return left_ / 2; }

    /// Takes one; false if there is none.
    bool take();

    static constexpr unsigned maximum = 3;

private:
    unsigned left_;
};

/// Token buckets per service: first attempts earn parts of a retry, retries spend them. Not thread-safe.
class RetryBudget {
public:
    /// A first attempt is made; the ratio is retries per first attempt.
    void earn(Support::Instant now, const std::string& service, double ratio);

    /// A retry wants to be made; false if the service's budget is spent.
    bool spend(Support::Instant now, const std::string& service);

    static constexpr double burst = 10; ///< retries that a quiet service has saved up, at most
    static constexpr double perSecond = 1; ///< earned without any calls, so that rare calls are retried too

private:
    struct Bucket {
        double tokens = burst;
        Support::Instant filledAt;
    };

    Bucket& fill(Support::Instant now, const std::string& service);

    std::unordered_map<std::string, Bucket> buckets_;
};

} // namespace balsamreel::Admission
