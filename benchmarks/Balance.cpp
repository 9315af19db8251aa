// Measures the cost of balancing one call (choose, started and finished) for several numbers of servers.
#include "balsamreel/Balance/Balancer.h"

#include <benchmark/benchmark.h>

namespace {

using namespace balsamreel;

constexpr unsigned domainCount = 4;

std::vector<Balance::ServerFacts> makeFacts(std::size_t count)
{
    std::vector<Balance::ServerFacts> facts;
    for (std::size_t index = 0; index < count; ++index)
        facts.push_back({{"node-" + std::to_string(index), {"127.0.0.1", 80}}, "catalog", "domain-" + std::to_string(index % domainCount), "region", {"127.0.0.1", 81}, 9, Wire::ServerState::Ready, 1});
    return facts;
}

void decide(benchmark::State& state)
{
    Support::Instant now;
    Balance::Balancer balancer("domain-0", 1);
    balancer.update(now, makeFacts(static_cast<std::size_t>(state.range(0))));
    Balance::Feedback feedback{Balance::AttemptResult::Answered, std::chrono::milliseconds(4), Wire::LoadStamp{2, 0, 9, 0}, std::nullopt, "specs"};
    for (auto _ : state) {
        now += std::chrono::milliseconds(4);
        auto choice = balancer.choose(now, "catalog", state.range(1) == 1, {});
        balancer.started(now, choice->server, feedback.route);
        feedback.startedAt = choice->chosenAt;
        balancer.finished(now + feedback.latency, choice->server, feedback);
    }
}

} // namespace

BENCHMARK(decide)->ArgNames({"servers", "naive"})->ArgsProduct({{10, 100}, {0, 1}})->Unit(benchmark::kMicrosecond);
