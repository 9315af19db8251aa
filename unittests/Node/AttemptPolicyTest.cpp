// Which further attempts an entry may make, by the kind of failure of the previous one.
#include "balsamreel/Node/AttemptPolicy.h"

#include <gtest/gtest.h>

namespace balsamreel::Node {
namespace {

const Support::Instant start{};
const std::string service = "s";

PolicyCall callAt(std::uint64_t depth)
{
    return {service, "caller", {depth, 5}, 0.1};
}

TEST(AttemptPolicy, DeepestCallMayRetryAfterRefusalsOnly)
{
    AttemptPolicy policy;
    Admission::CallRetries retries(9, 0);
    EXPECT_TRUE(policy.mayAttempt(start, callAt(9), 0, FailureKind::ServerUnavailable, retries));
    EXPECT_FALSE(policy.mayAttempt(start, callAt(9), 1, FailureKind::MayHaveRun, retries));
    EXPECT_TRUE(policy.mayAttempt(start, callAt(9), 1, FailureKind::Refused, retries));
    EXPECT_TRUE(policy.mayAttempt(start, callAt(9), 2, FailureKind::Refused, retries));
    EXPECT_FALSE(policy.mayAttempt(start, callAt(9), 3, FailureKind::MayHaveRun, retries));
}

TEST(AttemptPolicy, RetriesAfterUnavailableServersNeedNoBudget)
{
    AttemptPolicy policy;
    Admission::CallRetries retries(0, 0);
    for (int count = 0; count < 1000; ++count)
        EXPECT_TRUE(policy.mayAttempt(start, callAt(0), 1, failureOf("diverted"), retries));
    EXPECT_EQ(failureOf("draining"), FailureKind::ServerUnavailable);
    EXPECT_EQ(failureOf("overloaded"), FailureKind::Refused);
}

TEST(AttemptPolicy, RefusalsSpendServiceBudget)
{
    AttemptPolicy policy;
    unsigned allowed = 0;
    for (int count = 0; count < 1000; ++count) {
        Admission::CallRetries retries(0, std::nullopt);
        policy.mayAttempt(start, callAt(0), 0, FailureKind::ServerUnavailable, retries);
        allowed += policy.mayAttempt(start, callAt(0), 1, FailureKind::Refused, retries) ? 1 : 0;
    }
    EXPECT_LE(allowed, 10U + 100U);
    EXPECT_GE(allowed, 100U);
}

} // namespace
} // namespace balsamreel::Node
