#include "balsamreel/Relay/MemoryReport.h"

#include <fmt/format.h>

namespace balsamreel::Relay {

namespace {

constexpr Support::Duration shortageEnd = std::chrono::seconds(1);

} // namespace

MemoryReport::MemoryReport(const NodeMemory& memory)
    : budgets_({Reported{"requests", memory.requests}, Reported{"responses", memory.responses}, Reported{"send-queues", memory.sendQueues}})
{
}

void MemoryReport::tick(Support::Instant now, EventLog& log)
{
    for (auto& reported : budgets_) {
        auto refusals = reported.budget->refusedCount();
        if (refusals != reported.refusals)
            reported.lastRefusal = now;
        bool isShort = refusals > 0 && now - reported.lastRefusal < shortageEnd;
        if (isShort != reported.isShort)
            log.line(LogClass::Notable, isShort ? "memory-short" : "memory-free", "budget={} held={} limit={} refused={}", reported.name, reported.budget->heldBytes(), reported.budget->limit(), refusals);
        reported.refusals = refusals;
        reported.isShort = isShort;
    }
}

void MemoryReport::setMetrics(Support::Metrics& metrics) const
{
    for (const auto& reported : budgets_) {
        auto set = [&](std::string_view metric, double value) { metrics.set(fmt::format("balsamreel_memory_{}{{budget=\"{}\"}}", metric, reported.name), value); };
        set("held_bytes", static_cast<double>(reported.budget->heldBytes()));
        set("limit_bytes", static_cast<double>(reported.budget->limit()));
        set("refused", static_cast<double>(reported.budget->refusedCount()));
    }
}

} // namespace balsamreel::Relay
