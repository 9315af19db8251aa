// Measures the cost of admission and retry decisions.
#include "balsamreel/Admission/AdmissionController.h"
#include "balsamreel/Admission/RetryBudget.h"
#include "balsamreel/Node/RefusalCache.h"

#include <benchmark/benchmark.h>

#include <deque>

namespace balsamreel::Admission {
namespace {

using namespace std::chrono_literals;

constexpr unsigned callerCount = 50;

Ticket makeTicket(std::uint64_t id, Support::Instant now)
{
    Ticket ticket;
    ticket.id = id;
    ticket.route = id % 33 == 0 ? "long" : "short";
    ticket.caller = std::to_string(id % callerCount);
    ticket.depth = id % 3;
    ticket.priority = id % 5;
    ticket.deadline = now + 10s;
    return ticket;
}

// Submits and finishes one call while slots are free.
void submitAndFinish(benchmark::State& state)
{
    AdmissionController admission({.slots = 20});
    Support::Instant now{};
    std::uint64_t id = 0;
    for (auto _ : state) {
        now += 10us;
        benchmark::DoNotOptimize(admission.submit(now, makeTicket(++id, now)));
        benchmark::DoNotOptimize(admission.finish(now + 1ms, id, true));
    }
}
BENCHMARK(submitAndFinish);

// Submits one call to a saturated controller with a full queue. The argument is the number of slots.
void submitPastSaturation(benchmark::State& state)
{
    AdmissionController admission({.slots = static_cast<std::uint32_t>(state.range(0))});
    Support::Instant now{};
    std::uint64_t id = 0;
    std::deque<std::uint64_t> running;
    auto submitNext = [&] {
        if (std::holds_alternative<Admitted>(admission.submit(now, makeTicket(++id, now))))
            running.push_back(id);
        benchmark::DoNotOptimize(admission.takeEvicted());
    };
    for (auto _ : state) {
        // Two calls finish for every five that arrive.
        now += 10us;
        submitNext();
        if (id % 5 >= 2 || running.empty())
            continue;
        auto finishedId = running.front();
        running.pop_front();
        for (const auto& resolution : admission.finish(now, finishedId, true)) {
            if (std::holds_alternative<Admitted>(resolution.decision))
                running.push_back(resolution.ticket);
        }
    }
}
BENCHMARK(submitPastSaturation)->Arg(9)->Arg(20)->Arg(200)->Arg(2000);

// One tick with a queue filled by nine calls per slot, none of which expires. The argument is the number of slots.
void tickWithFullQueue(benchmark::State& state)
{
    AdmissionController admission({.slots = static_cast<std::uint32_t>(state.range(0)), .maximumQueueWait = 1h});
    Support::Instant now{};
    for (std::int64_t id = 1; id <= 9 * state.range(0); ++id)
        admission.submit(now, makeTicket(static_cast<std::uint64_t>(id), now + 1h));
    for (auto _ : state)
        benchmark::DoNotOptimize(admission.tick(now));
}
BENCHMARK(tickWithFullQueue)->Arg(20)->Arg(200);

void retryBudget(benchmark::State& state)
{
    RetryBudget budget;
    Support::Instant now{};
    for (auto _ : state) {
        now += 10us;
        budget.earn(now, "service", 0.1);
        benchmark::DoNotOptimize(budget.spend(now, "service"));
    }
}
BENCHMARK(retryBudget);

void refusalCache(benchmark::State& state)
{
    Node::RefusalCache cache;
    Support::Instant now{};
    for (std::uint16_t port = 1; port <= 10; ++port)
        cache.recordRefusal(now, "service", {"node", {"127.0.0.1", port}}, "caller", {0, 5}, 1h);
    for (auto _ : state)
        benchmark::DoNotOptimize(cache.refusingServers(now, "service", "caller", {0, 5}));
}
BENCHMARK(refusalCache);

} // namespace
} // namespace balsamreel::Admission
