// Random operations on the probe budget and on the count of attempts in flight, checked against simple oracles.
#include "balsamreel/Balance/Balancer.h"
#include "balsamreel/Balance/ProbeBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>

namespace balsamreel::Balance {
namespace {

using namespace std::chrono_literals;
using Support::Duration;
using Support::Instant;

/// Records every probe and every change of the budget, across restarts.
struct BudgetHistory {
    std::vector<Instant> sentAt;
    std::vector<std::pair<Instant, double>> rates;

    // The highest budget in force at any time in the window (end - length, end].
    double highestRate(Instant end, Duration length) const
    {
        double highest = 0;
        for (std::size_t index = 0; index < rates.size(); ++index) {
            bool endsBefore = index + 1 < rates.size() && rates[index + 1].first <= end - length;
            if (rates[index].first <= end && !endsBefore)
                highest = std::max(highest, rates[index].second);
        }
        return highest;
    }

    double lowestRate(Instant end, Duration length) const
    {
        double lowest = 1e9;
        for (std::size_t index = 0; index < rates.size(); ++index) {
            bool endsBefore = index + 1 < rates.size() && rates[index + 1].first <= end - length;
            if (rates[index].first <= end && !endsBefore)
                lowest = std::min(lowest, rates[index].second);
        }
        return lowest;
    }

    std::size_t countIn(Instant end, Duration length) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(sentAt, [&](Instant at) { return at > end - length && at <= end; }));
    }
};

void checkWindows(const BudgetHistory& history)
{
    for (auto end : history.sentAt) {
        // The window that ends at each probe stays within the lowest budget that was in force in it.
        double lowest = history.lowestRate(end, 1s);
        RC_ASSERT(lowest > 0);
        RC_ASSERT(static_cast<double>(history.countIn(end, 1s)) <= std::max(1.0, lowest));
        if (lowest < 1)
            RC_ASSERT(history.countIn(end, Duration(static_cast<Duration::rep>(1e6 / lowest))) == 1U);
        // Longer windows stay within the highest budget, plus one probe at the edge.
        for (Duration length : {2s, 5s, 30s})
            RC_ASSERT(static_cast<double>(history.countIn(end, length)) <= history.highestRate(end, length) * static_cast<double>(length.count()) / 1e6 + 1);
    }
}

TEST(Fuzz, NoWindowHoldsMoreProbesThanTheBudget)
{
    EXPECT_TRUE(rc::check([] {
        const std::vector<double> rates{0, 0.3, 1, 2.5, 5, 20};
        Instant now;
        BudgetHistory history{{}, {{now, 5}}};
        std::optional<ProbeBudget> budget(std::in_place, now, 5);
        auto steps = *rc::gen::inRange(1, 400);
        for (int step = 0; step < steps; ++step) {
            now += Duration(*rc::gen::inRange(0, 400'000));
            auto action = *rc::gen::inRange(0, 20);
            if (action == 0) { // restart with the current configuration
                budget.emplace(now, history.rates.back().second);
            } else if (action == 1) {
                history.rates.emplace_back(now, *rc::gen::elementOf(rates));
                budget->setRate(now, history.rates.back().second);
            } else {
                for (int burst = 0; burst < action && budget->tryTake(now); ++burst)
                    history.sentAt.push_back(now);
            }
        }
        checkWindows(history);
    }));
}

TEST(ProbeBudget, IsUsedUpUnderSteadyDemand)
{
    ProbeBudget budget(Instant(), 5);
    unsigned count = 0;
    for (Instant now; now < Instant(11s); now += 10ms)
        count += budget.tryTake(now) ? 1 : 0;
    EXPECT_GE(count, 48U);
    EXPECT_LE(count, 51U);
}

TEST(Fuzz, AttemptsInFlightAreCountedRight)
{
    EXPECT_TRUE(rc::check([] {
        Balancer balancer("d0", 1);
        struct Attempt {
            ServerId id;
            Instant startedAt;
            std::uint64_t incarnation = 0;
        };
        std::vector<Attempt> open;
        std::vector<ServerFacts> facts;
        for (unsigned index = 0; index < 3; ++index)
            facts.push_back({{"n" + std::to_string(index), {"127.0.0.1", 80}}, "catalog", "d0", "r", {}, 9, Wire::ServerState::Ready, 1});
        Instant now;
        balancer.update(now, facts);
        auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            now += Duration(*rc::gen::inRange(1, 20'000));
            auto action = *rc::gen::inRange(0, 10);
            if (action < 5) {
                auto choice = balancer.choose(now, "catalog", action == 0, {});
                balancer.started(now, choice->server, "r");
                open.push_back({choice->server, now, choice->guardIncarnation});
            } else if (action < 9 && !open.empty()) {
                auto position = *rc::gen::inRange<std::size_t>(0, open.size());
                auto attempt = open[position];
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(position));
                auto result = static_cast<AttemptResult>(*rc::gen::inRange(0, 6));
                balancer.finished(now, attempt.id, {result, now - attempt.startedAt, Wire::LoadStamp{}, attempt.startedAt, "r"});
            } else if (action == 9) { // a guard restarts and loses its open attempts
                ++facts[*rc::gen::inRange<std::size_t>(0, facts.size())].incarnation;
                balancer.update(now, facts);
            }
            for (const auto& fact : facts) {
                auto expected = std::ranges::count_if(open, [&](const Attempt& attempt) { return attempt.id == fact.id && attempt.incarnation == fact.incarnation; });
                RC_ASSERT(balancer.servers().at(fact.id).inFlight == static_cast<unsigned>(expected));
            }
        }
    }));
}

} // namespace
} // namespace balsamreel::Balance
