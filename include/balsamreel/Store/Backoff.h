// Growing, jittered delays between tries.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/Random.h"

namespace balsamreel::Store {

struct BackoffOptions {
    Support::Duration initialDelay = std::chrono::milliseconds(100);
    Support::Duration maximumDelay = std::chrono::seconds(2);
};

/// Delays double up to the longest; each is drawn from the upper half, so that nodes do not stay in step.
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
