#include "balsamreel/Quota/ShardPlan.h"

#include <algorithm>
#include <cmath>

namespace balsamreel::Quota {

namespace {

constexpr Duration maximumLease = std::chrono::milliseconds(300);
// A lease of more than this fraction of the window would use up much of the tolerance.
constexpr int leasesPerWindow = 10;
// Fraction of the bound that is handed out. The rest covers nodes whose lists of nodes differ for a moment.
constexpr double usedFraction = 0.97;
// Fewer tokens a shard would leave many shards with less than one.
constexpr double tokensPerShard = 4;
// With this number of shards, the loss of one takes little of the limit.
constexpr std::size_t preferredShards = 8;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t shardCount(double capacity, std::size_t nodeCount)
{
    auto most = static_cast<std::size_t>(std::max(1.0, std::floor(capacity)));
    auto full = static_cast<std::size_t>(capacity / tokensPerShard);
    return std::min(std::max(full, std::min(preferredShards, most)), nodeCount);
}

} // namespace

double windowBound(const AccountLimit& limit, const Tolerance& tolerance)
{
    return (limit.requestsPerSecond * seconds(tolerance.window) + limit.burst) * (1 + tolerance.overage) + tolerance.slack;
}

// The tokens that are spent in a window left their shards in the window or one lease before it. So all shards together hand out
// at most rate x (window + lease) + capacity, which is kept within the bound.
ShardPlan planShards(const AccountLimit& limit, const Tolerance& tolerance, std::size_t nodeCount)
{
    ShardPlan plan;
    if (nodeCount == 0)
        return plan;
    plan.lease = std::min(maximumLease, tolerance.window / leasesPerWindow);
    auto span = seconds(tolerance.window + plan.lease);
    auto bound = usedFraction * windowBound(limit, tolerance);
    auto leastCapacity = std::min(std::max(1.0, limit.burst / 2), bound);
    auto capacity = std::max(bound - limit.requestsPerSecond * span, leastCapacity);
    auto rate = std::min(limit.requestsPerSecond, (bound - capacity) / span);
    plan.count = shardCount(capacity, nodeCount);
    plan.rate = rate / static_cast<double>(plan.count);
    plan.capacity = capacity / static_cast<double>(plan.count);
    return plan;
}

void TokenBucket::setPlan(Instant now, const ShardPlan& plan)
{
    refill(now);
    rate_ = plan.rate;
    capacity_ = plan.capacity;
    tokens_ = std::min(tokens_, capacity_);
}

void TokenBucket::refill(Instant now)
{
    auto elapsed = std::max(Duration::zero(), std::chrono::duration_cast<Duration>(now - refilledAt_));
    if (rate_ > 0)
        tokens_ = std::min(capacity_, tokens_ + rate_ * seconds(elapsed));
    refilledAt_ = now;
}

unsigned TokenBucket::take(Instant now, unsigned wanted)
{
    refill(now);
    auto taken = std::min(wanted, static_cast<unsigned>(tokens_));
    tokens_ -= taken;
    return taken;
}

Duration TokenBucket::timeUntilToken(Instant now)
{
    constexpr double microsPerSecond = 1e6;
    constexpr Duration never = std::chrono::seconds(60);
    refill(now);
    if (tokens_ >= 1)
        return Duration::zero();
    if (rate_ <= 0 || capacity_ < 1)
        return never;
    return std::min(never, Duration(static_cast<Duration::rep>((1 - tokens_) / rate_ * microsPerSecond) + 1));
}

} // namespace balsamreel::Quota
