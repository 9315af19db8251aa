// Compares the balanced policy with the naive one, with several entries and a few fake servers on a virtual clock.
#include "balsamreel/Balance/Balancer.h"
#include "balsamreel/Balance/ServerSlowdown.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

namespace balsamreel::Balance {
namespace {

using namespace std::chrono_literals;
using Support::Duration;
using Support::Instant;

constexpr unsigned domainCount = 4;

/// A server with slots and a queue; calls fail immediately while fails() returns true.
struct FakeServer {
    std::vector<Instant> slots = std::vector<Instant>(9); ///< time at which each slot becomes free
    std::vector<Instant> ends;
    ServerSlowdown serverSlowdown; ///< measured by the guard
    std::function<double(Instant)> slowdown = [](Instant) { return 1.0; };
    std::function<bool(Instant)> fails = [](Instant) { return false; };

    Instant run(Instant now, Duration work)
    {
        auto slot = std::ranges::min_element(slots);
        auto begin = std::max(now, *slot);
        *slot = begin + Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) * slowdown(begin)));
        ends.push_back(*slot);
        return *slot;
    }

    Wire::LoadStamp stamp(Instant now)
    {
        std::erase_if(ends, [&](Instant end) { return end <= now; });
        auto open = static_cast<std::uint32_t>(ends.size());
        auto limit = static_cast<std::uint32_t>(slots.size());
        return {std::min(open, limit), open - std::min(open, limit), limit, 0};
    }
};

struct Outcome {
    Instant sentAt;
    Duration latency{};
    unsigned server = 0;
    bool hasFailed = false;
};

/// Twelve entries in four failure domains send calls to one server per domain.
class SimulatedDeployment {
public:
    SimulatedDeployment(bool isNaive, std::uint64_t seed)
        : isNaive_(isNaive)
        , random_(seed)
        , servers(domainCount)
    {
        for (unsigned index = 0; index < domainCount; ++index)
            facts.push_back({{"n" + std::to_string(index), {"127.0.0.1", 80}}, "catalog", domainOf(index), "r", {}, 9, Wire::ServerState::Ready, 1});
        for (unsigned entry = 0; entry < 3 * domainCount; ++entry) {
            entries_.push_back(std::make_unique<Balancer>(domainOf(entry), seed + entry));
            entries_.back()->update(Instant(), facts);
        }
    }

    std::vector<Outcome> run(double callsPerSecond, Duration length)
    {
        Instant now;
        while (now < Instant(length)) {
            now += Duration(static_cast<Duration::rep>(1 + random_.exponential(1e6 / callsPerSecond)));
            endCalls(now);
            send(now);
        }
        endCalls(Instant::max());
        return outcomes_;
    }

    double p99(std::vector<Outcome> outcomes) const
    {
        auto position = outcomes.begin() + static_cast<std::ptrdiff_t>(outcomes.size() * 99 / 100);
        std::ranges::nth_element(outcomes, position, {}, &Outcome::latency);
        return Support::toMillis(position->latency);
    }

private:
    struct Open {
        Instant endsAt;
        unsigned entry = 0;
        Duration distance{};
        Outcome outcome;
        Instant startedAt;
        bool operator<(const Open& other) const { return endsAt > other.endsAt; }
    };

    static std::string domainOf(unsigned index) { return "d" + std::to_string(index % domainCount); }

    static unsigned indexOf(const Choice& choice) { return static_cast<unsigned>(choice.server.node.back() - '0'); }
    static Duration distanceTo(unsigned entry, unsigned server) { return domainOf(entry) == domainOf(server) ? 0us : 1000us; }

    void send(Instant now)
    {
        auto entry = static_cast<unsigned>(random_.below(entries_.size()));
        auto choice = entries_[entry]->choose(now, "catalog", isNaive_, {});
        Duration diversionDelay{};
        if (choice->hasAlternative && servers[indexOf(*choice)].serverSlowdown.isDiverting(now)) {
            diversionDelay = 200us + distanceTo(entry, indexOf(*choice));
            auto diverted = choice->server;
            entries_[entry]->started(now, diverted, "specs");
            entries_[entry]->finished(now, diverted, {AttemptResult::Refused, diversionDelay, Wire::LoadStamp{9, 0, 9, 50'000}, now, "specs"});
            choice = entries_[entry]->choose(now, "catalog", isNaive_, {diverted});
        }
        auto work = Duration(static_cast<Duration::rep>(2000 + random_.exponential(2000)));
        auto index = indexOf(*choice);
        auto distance = distanceTo(entry, index);
        bool fails = servers[index].fails(now);
        auto endsAt = distance + (fails ? now + 100us : servers[index].run(now, work));
        entries_[entry]->started(now, choice->server, "specs");
        servers[index].serverSlowdown.started(now, "specs");
        open_.push({endsAt, entry, distance, {now, endsAt + diversionDelay - now, index, fails}, now});
    }

    void endCalls(Instant now)
    {
        for (; !open_.empty() && open_.top().endsAt <= now; open_.pop()) {
            const auto& call = open_.top();
            auto result = call.outcome.hasFailed ? AttemptResult::ServerError : AttemptResult::Answered;
            servers[call.outcome.server].serverSlowdown.finished(call.endsAt - call.distance, call.startedAt, "specs", result);
            auto stamp = servers[call.outcome.server].stamp(call.endsAt);
            entries_[call.entry]->finished(call.endsAt, facts[call.outcome.server].id, {result, call.endsAt - call.startedAt, stamp, call.startedAt, "specs"});
            outcomes_.push_back(call.outcome);
        }
    }

    bool isNaive_;
    Support::Random random_;
    std::vector<std::unique_ptr<Balancer>> entries_;
    std::priority_queue<Open> open_;
    std::vector<Outcome> outcomes_;

public:
    std::vector<FakeServer> servers;
    std::vector<ServerFacts> facts;
};

double shareOf(const std::vector<Outcome>& outcomes, Instant from, Instant to, const std::function<bool(const Outcome&)>& matches)
{
    auto isWithin = [&](const Outcome& outcome) { return outcome.sentAt >= from && outcome.sentAt < to; };
    auto all = std::ranges::count_if(outcomes, isWithin);
    auto matching = std::ranges::count_if(outcomes, [&](const Outcome& outcome) { return isWithin(outcome) && matches(outcome); });
    return all == 0 ? 0 : static_cast<double>(matching) / static_cast<double>(all);
}

TEST(Policy, HalvesTheTailUnderNoisyNeighbours)
{
    for (std::uint64_t seed : {1U, 2U, 3U}) {
        auto p99 = [&](bool isNaive) {
            SimulatedDeployment deployment(isNaive, seed);
            for (unsigned index = 0; index < domainCount; ++index)
                deployment.servers[index].slowdown = [index, seed](Instant now) { return (now.time_since_epoch() / 400ms * 7919 + index * 104729 + seed) % 1009 % 5 == 0 ? 4.0 : 1.0; };
            return deployment.p99(deployment.run(800, 20s));
        };
        double naive = p99(true);
        double balanced = p99(false);
        RecordProperty("ratio" + std::to_string(seed), std::to_string(balanced / naive));
        EXPECT_LE(balanced, 0.5 * naive) << seed;
    }
}

TEST(Policy, ASlowServerLosesAndRegainsItsShare)
{
    SimulatedDeployment deployment(false, 1);
    deployment.servers[0].slowdown = [](Instant now) { return now > Instant(5s) && now < Instant(10s) ? 20.0 : 1.0; };
    auto outcomes = deployment.run(800, 25s);
    auto isSlowOne = [](const Outcome& outcome) { return outcome.server == 0; };
    EXPECT_GE(shareOf(outcomes, Instant(4s), Instant(5s), isSlowOne), 0.15);
    EXPECT_LE(shareOf(outcomes, Instant(5100ms), Instant(10s), isSlowOne), 0.02);
    EXPECT_GE(shareOf(outcomes, Instant(20s), Instant(25s), isSlowOne), 0.15);
    // No thundering herd when the server recovers: the calls of the other servers do not all move to it at once.
    EXPECT_LE(deployment.p99(outcomes), 40);
}

TEST(Policy, AFastFailingServerIsNotPreferred)
{
    auto failedShare = [](bool isNaive) {
        SimulatedDeployment deployment(isNaive, 1);
        deployment.servers[0].fails = [](Instant now) { return now > Instant(1s); };
        return shareOf(deployment.run(800, 11s), Instant(1s), Instant(11s), [](const Outcome& outcome) { return outcome.hasFailed; });
    };
    EXPECT_GE(failedShare(true), 0.2);
    EXPECT_LE(failedShare(false), 0.02);
}

TEST(Policy, AColdServerGetsARisingShare)
{
    Balancer balancer("d0", 1);
    auto makeFacts = [](unsigned index, Wire::ServerState state) { return ServerFacts{{"n" + std::to_string(index), {"127.0.0.1", 80}}, "catalog", "d0", "r", {}, 9, state, 1}; };
    balancer.update(Instant(), {makeFacts(0, Wire::ServerState::Ready), makeFacts(1, Wire::ServerState::Cold)});
    auto coldShare = [&](Instant now) {
        unsigned count = 0;
        for (unsigned call = 0; call < 1000; ++call)
            count += balancer.choose(now, "catalog", false, {})->server.node == "n1" ? 1 : 0;
        return count / 1000.0;
    };
    double first = coldShare(Instant(1s));
    double later = coldShare(Instant(6s));
    EXPECT_LE(first, 0.1);
    EXPECT_GE(later, 2 * first);
    EXPECT_GE(coldShare(Instant(11s)), 0.4);
}

} // namespace
} // namespace balsamreel::Balance
