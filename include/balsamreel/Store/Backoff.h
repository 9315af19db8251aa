// Exponential backoff with jitter.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Random.h"

namespace balsamreel::Store {

struct BackoffOptions {
    Support::Duration initialDelay = std::chrono::milliseconds(100);
    Support::Duration maximumDelay = std::chrono::seconds(2);
};

/// The upper bound of the delay doubles up to maximumDelay. Each delay is drawn from the upper half of the range, so that
/// the retries of different nodes do not synchronize.
class Backoff {
public:
    Backoff(BackoffOptions options, std::uint64_t seed)
        : options_(options)
        , ceiling_(options.initialDelay)
        , random_(seed)
    {
    }

    Support::Duration next();
    void reset() { ceiling_ = options_.initialDelay; }

private:
    BackoffOptions options_;
    Support::Duration ceiling_;
    Support::Random random_;
};

} // namespace balsamreel::Store
