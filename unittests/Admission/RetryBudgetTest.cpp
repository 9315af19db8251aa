// Retry budgets: per service in any time window, and per call across all layers.
#include "balsamreel/Admission/RetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace balsamreel::Admission {
namespace {

using namespace std::chrono_literals;
using Support::Duration;
using Support::Instant;

/// Number of attempts at the lowest layer if every attempt there fails and every layer retries as often as allowed.
unsigned attemptsBelow(unsigned layers, std::uint64_t depth, std::optional<std::uint64_t> inherited)
{
    if (layers == 0)
        return 1;
    CallRetries retries(depth, inherited);
    unsigned attempts = attemptsBelow(layers - 1, depth + 1, retries.passedOn());
    while (retries.take())
        attempts += attemptsBelow(layers - 1, depth + 1, retries.passedOn());
    return attempts;
}

/// Same as attemptsBelow() for servers that forward the depth but not the remaining retries.
unsigned attemptsBelowWithoutForwarding(unsigned layers, std::uint64_t depth)
{
    if (layers == 0)
        return 1;
    CallRetries retries(depth, std::nullopt);
    unsigned attempts = attemptsBelowWithoutForwarding(layers - 1, depth + 1);
    while (retries.take())
        attempts += attemptsBelowWithoutForwarding(layers - 1, depth + 1);
    return attempts;
}

TEST(CallRetries, NineLayersMakeNoMoreAttemptsThanTwo)
{
    EXPECT_EQ(attemptsBelow(1, 0, std::nullopt), 4U);
    EXPECT_EQ(attemptsBelow(9, 0, std::nullopt), attemptsBelow(2, 0, std::nullopt));
    EXPECT_LE(attemptsBelow(9, 0, std::nullopt), 6U);
    EXPECT_LE(attemptsBelowWithoutForwarding(9, 0), 8U);
}

TEST(CallRetries, ACallerCannotWidenItsBudget)
{
    EXPECT_EQ(CallRetries(0, 1'000'000).left(), CallRetries::maximum);
    EXPECT_EQ(CallRetries(0, 0).left(), 0U);
    EXPECT_LE(CallRetries(64, 1'000'000).left(), CallRetries::maximum);
}

struct Step {
    bool isRetry = false;
    unsigned millis = 0;
};

TEST(RetryBudget, NoWindowHasMoreRetriesThanItsBudget)
{
    bool holds = rc::check([] {
        auto ratio = *rc::gen::inRange(0, 11) / 10.0;
        auto steps = *rc::gen::scale(4, rc::gen::container<std::vector<Step>>(rc::gen::map(rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0U, 30U)), [](const auto& pair) { return Step{pair.first, pair.second}; })));
        RetryBudget budget;
        struct Event {
            Instant at;
            bool isRetry;
        };
        std::vector<Event> events;
        Instant now{};
        for (const auto& step : steps) {
            now += std::chrono::milliseconds(step.millis);
            if (!step.isRetry)
                budget.earn(now, "s", ratio);
            if (!step.isRetry || budget.spend(now, "s"))
                events.push_back({now, step.isRetry});
        }
        // Check every window that starts at an event.
        for (auto first = events.begin(); first != events.end(); ++first) {
            double firstAttempts = 0;
            double retries = 0;
            for (auto last = first; last != events.end(); ++last) {
                (last->isRetry ? retries : firstAttempts) += 1;
                double seconds = std::chrono::duration<double>(last->at - first->at).count();
                RC_ASSERT(retries <= RetryBudget::burst + firstAttempts * ratio + seconds * RetryBudget::perSecond + 1e-6);
            }
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace balsamreel::Admission
