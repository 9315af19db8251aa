#include "balsamreel/Relay/QueueDeadline.h"

#include "balsamreel/Admission/AdmissionController.h"

#include <gtest/gtest.h>

namespace balsamreel::Relay {

using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};
constexpr std::uint32_t urgent = 1;
constexpr std::uint32_t ordinary = 2;

AttemptRequest offer(std::uint32_t priority, Duration latencyTarget, Duration timeout)
{
    AttemptRequest offer;
    offer.priority = priority;
    offer.latencyTargetMicros = static_cast<std::uint32_t>(latencyTarget.count());
    offer.timeoutMicros = static_cast<std::uint32_t>(timeout.count());
    return offer;
}

// A guard with one slot, whose server works 100 ms on everything; urgent and ordinary work comes at twice its pace.
struct PeakLoad {
    int refusedUrgent = 0;
    int refusedOrdinary = 0;

    void run()
    {
        Admission::AdmissionOptions options;
        options.slots = 1;
        options.maximumLimitFactor = 1;
        Admission::AdmissionController gate(options);
        QueueDeadline patience;
        std::uint64_t running = 0;
        auto now = start;
        patience.deadline(now, offer(ordinary, 80ms, 1s));
        for (std::uint64_t id = 1; id <= 400; ++id) {
            bool isUrgent = id % 4 == 0;
            auto message = isUrgent ? offer(urgent, 80ms, 600ms) : offer(ordinary, 300ms, 1s);
            Admission::Ticket ticket;
            ticket.id = id;
            ticket.route = isUrgent ? "release" : "lookup";
            ticket.priority = message.priority;
            ticket.deadline = patience.deadline(now, message);
            auto decision = gate.submit(now, ticket);
            if (std::holds_alternative<Admission::Admitted>(decision))
                running = id;
            if (std::holds_alternative<Admission::Refused>(decision))
                count(id);
            take(gate.takeEvicted(), running);
            now += 50ms;
            if (id % 2 == 0)
                take(gate.finish(now, running, true), running);
        }
    }

    void take(const std::vector<Admission::Resolution>& resolutions, std::uint64_t& running)
    {
        for (const auto& resolution : resolutions) {
            if (std::holds_alternative<Admission::Refused>(resolution.decision))
                count(resolution.ticket);
            else
                running = resolution.ticket;
        }
    }

    void count(std::uint64_t id) { ++(id % 4 == 0 ? refusedUrgent : refusedOrdinary); }
};

} // namespace

TEST(QueueDeadline, TheLeastUrgentWaitsUntilItsLatencyTarget)
{
    QueueDeadline patience;
    EXPECT_EQ(patience.deadline(start, offer(ordinary, 80ms, 600ms)), start + 80ms);
    EXPECT_EQ(patience.deadline(start, offer(urgent, 80ms, 600ms)), start + 600ms);
}

TEST(QueueDeadline, WithoutALatencyTargetTheTimeoutApplies)
{
    QueueDeadline patience;
    EXPECT_EQ(patience.deadline(start, offer(ordinary, 0ms, 600ms)), start + 600ms);
}

// Half of what comes has to be refused; none of it may be urgent, though its goal can't be met.
TEST(QueueDeadline, ServesUrgentAttemptsAtPeakLoad)
{
    PeakLoad peakLoad;
    peakLoad.run();
    EXPECT_EQ(peakLoad.refusedUrgent, 0);
    EXPECT_GT(peakLoad.refusedOrdinary, 100);
}

} // namespace balsamreel::Relay
