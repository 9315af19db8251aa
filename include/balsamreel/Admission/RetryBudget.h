// Limits the retries of an entry, per call and per service. Performs no I/O; callers pass in the time.
#pragma once

#include "balsamreel/Support/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace balsamreel::Admission {

/// Number of retries that one call may still cause, at this entry and at all entries below it in the call tree.
class CallRetries {
public:
    /// Sets the budget of a call at this depth; inherited is the budget from the entry above, if it sent one.
    CallRetries(std::uint64_t depth, std::optional<std::uint64_t> inherited);

    unsigned left() const { return left_; }

    /// Budget that the next attempt passes on to the calls below it: half, so that the total number of
    /// attempts does not grow with the number of layers.
    unsigned passedOn() const { return left_ / 2; }

    /// Consumes one retry; false if none is left.
    bool take();

    static constexpr unsigned maximum = 3;

private:
    unsigned left_;
};

/// Token bucket per service: each first attempt adds a fraction of a token, each retry consumes one. Not thread-safe.
class RetryBudget {
public:
    /// Adds the tokens of a first attempt; ratio is the number of retries allowed per first attempt.
    void earn(Support::Instant now, const std::string& service, double ratio);

    /// Consumes a token for a retry; false if the budget of the service is exhausted.
    bool spend(Support::Instant now, const std::string& service);

    static constexpr double burst = 10; ///< bucket size: maximum number of retries that a service without traffic accumulates
    static constexpr double perSecond = 1; ///< tokens added regardless of traffic, so that infrequent calls can be retried

private:
    struct Bucket {
        double tokens = burst;
        Support::Instant filledAt;
    };

    Bucket& fill(Support::Instant now, const std::string& service);

    std::unordered_map<std::string, Bucket> buckets_;
};

} // namespace balsamreel::Admission
