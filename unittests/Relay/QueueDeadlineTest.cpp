#include "balsamreel/Relay/QueueDeadline.h"

#include "balsamreel/Admission/AdmissionController.h"

#include <gtest/gtest.h>

namespace balsamreel::Relay {

using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};
constexpr std::uint32_t urgent = 1;
constexpr std::uint32_t ordinary = 2;

AttemptRequest makeRequest(std::uint32_t priority, Duration latencyTarget, Duration timeout)
{
    AttemptRequest request;
    request.priority = priority;
    request.latencyTargetMicros = static_cast<std::uint32_t>(latencyTarget.count());
    request.timeoutMicros = static_cast<std::uint32_t>(timeout.count());
    return request;
}

// A guard with one slot in front of a server with a service time of 100 ms. Urgent and ordinary attempts together
// arrive at twice the rate that the server can serve.
struct PeakLoad {
    int refusedUrgent = 0;
    int refusedOrdinary = 0;

    void run()
    {
        Admission::AdmissionOptions options;
        options.slots = 1;
        options.maximumLimitFactor = 1;
        Admission::AdmissionController controller(options);
        QueueDeadline queueDeadline;
        std::uint64_t running = 0;
        auto now = start;
        queueDeadline.deadline(now, makeRequest(ordinary, 80ms, 1s));
        for (std::uint64_t id = 1; id <= 400; ++id) {
            bool isUrgent = id % 4 == 0;
            auto request = isUrgent ? makeRequest(urgent, 80ms, 600ms) : makeRequest(ordinary, 300ms, 1s);
            Admission::Ticket ticket;
            ticket.id = id;
            ticket.route = isUrgent ? "release" : "lookup";
            ticket.priority = request.priority;
            ticket.deadline = queueDeadline.deadline(now, request);
            auto decision = controller.submit(now, ticket);
            if (std::holds_alternative<Admission::Admitted>(decision))
                running = id;
            if (std::holds_alternative<Admission::Refused>(decision))
                countRefusal(id);
            applyResolutions(controller.takeEvicted(), running);
            now += 50ms;
            if (id % 2 == 0)
                applyResolutions(controller.finish(now, running, true), running);
        }
    }

    void applyResolutions(const std::vector<Admission::Resolution>& resolutions, std::uint64_t& running)
    {
        for (const auto& resolution : resolutions) {
            if (std::holds_alternative<Admission::Refused>(resolution.decision))
                countRefusal(resolution.ticket);
            else
                running = resolution.ticket;
        }
    }

    void countRefusal(std::uint64_t id) { ++(id % 4 == 0 ? refusedUrgent : refusedOrdinary); }
};

} // namespace

TEST(QueueDeadline, TheLeastUrgentWaitsUntilItsLatencyTarget)
{
    QueueDeadline queueDeadline;
    EXPECT_EQ(queueDeadline.deadline(start, makeRequest(ordinary, 80ms, 600ms)), start + 80ms);
    EXPECT_EQ(queueDeadline.deadline(start, makeRequest(urgent, 80ms, 600ms)), start + 600ms);
}

TEST(QueueDeadline, WithoutALatencyTargetTheTimeoutApplies)
{
    QueueDeadline queueDeadline;
    EXPECT_EQ(queueDeadline.deadline(start, makeRequest(ordinary, 0ms, 600ms)), start + 600ms);
}

// Half of the arriving attempts have to be refused. None of them may be urgent, although urgent attempts cannot meet
// their latency target.
TEST(QueueDeadline, ServesUrgentAttemptsAtPeakLoad)
{
    PeakLoad peakLoad;
    peakLoad.run();
    EXPECT_EQ(peakLoad.refusedUrgent, 0);
    EXPECT_GT(peakLoad.refusedOrdinary, 100);
}

} // namespace balsamreel::Relay
