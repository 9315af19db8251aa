#include "balsamreel/Admission/RetryBudget.h"

#include <algorithm>

namespace balsamreel::Admission {

using Support::Instant;

namespace {

constexpr double microsPerSecond = 1e6;
constexpr std::uint64_t depthWithoutRetries = 32;

} // namespace

// A server may forward the depth but not the remaining retries. Each level of depth halves the budget as well, so that
// this does not enlarge it.
CallRetries::CallRetries(std::uint64_t depth, std::optional<std::uint64_t> inherited)
    : left_(maximum >> std::min(depth, depthWithoutRetries - 1))
{
    if (inherited)
        left_ = static_cast<unsigned>(std::min<std::uint64_t>(depth == 0 ? left_ : maximum, *inherited));
}

bool CallRetries::take()
{
    if (left_ == 0)
        return false;
    --left_;
    return true;
}

RetryBudget::Bucket& RetryBudget::fill(Instant now, const std::string& service)
{
    auto [entry, isNew] = buckets_.try_emplace(service, Bucket{burst, now});
    auto& bucket = entry->second;
    double seconds = static_cast<double>((now - bucket.filledAt).count()) / microsPerSecond;
    bucket.tokens = std::min(burst, bucket.tokens + std::max(0.0, seconds) * perSecond);
    bucket.filledAt = std::max(bucket.filledAt, now);
    return bucket;
}

void RetryBudget::earn(Instant now, const std::string& service, double ratio)
{
    auto& bucket = fill(now, service);
    bucket.tokens = std::min(burst, bucket.tokens + ratio);
}

bool RetryBudget::spend(Instant now, const std::string& service)
{
    auto& bucket = fill(now, service);
    if (bucket.tokens < 1)
        return false;
    --bucket.tokens;
    return true;
}

} // namespace balsamreel::Admission
