// Admission controller: slots, lanes, queueing and refusals.
#include "balsamreel/Admission/AdmissionController.h"

#include <gtest/gtest.h>

namespace balsamreel::Admission {
namespace {

using namespace std::chrono_literals;
const Support::Instant start{};

Ticket ticket(std::uint64_t id, LaneHint hint = LaneHint::Short)
{
    Ticket ticket;
    ticket.id = id;
    ticket.route = hint == LaneHint::Long ? "long" : "short";
    ticket.hint = hint;
    ticket.deadline = start + 10s;
    return ticket;
}

TEST(AdmissionController, RunsUpToItsSlotsAndQueuesTheRest)
{
    AdmissionController controller({.slots = 2});
    EXPECT_TRUE(std::holds_alternative<Admitted>(controller.submit(start, ticket(1))));
    EXPECT_TRUE(std::holds_alternative<Admitted>(controller.submit(start, ticket(2))));
    EXPECT_TRUE(std::holds_alternative<Queued>(controller.submit(start, ticket(3))));
    auto resolved = controller.finish(start + 1ms, 1, true);
    ASSERT_EQ(resolved.size(), 1U);
    EXPECT_EQ(resolved[0].ticket, 3U);
}

TEST(AdmissionController, LongWorkLeavesSlotsForShortWork)
{
    AdmissionController controller({.slots = 4, .longShare = 0.5});
    for (std::uint64_t id = 1; id <= 4; ++id)
        controller.submit(start, ticket(id, LaneHint::Long));
    EXPECT_EQ(controller.load(start).running, 2U);
    EXPECT_TRUE(std::holds_alternative<Admitted>(controller.submit(start, ticket(5))));
}

TEST(AdmissionController, ADrainingControllerRefusesNewWorkAndFinishesTheOld)
{
    AdmissionController controller({.slots = 1});
    controller.submit(start, ticket(1));
    controller.submit(start, ticket(2));
    controller.setDraining(true);
    EXPECT_TRUE(std::holds_alternative<Refused>(controller.submit(start, ticket(3))));
    EXPECT_EQ(controller.finish(start, 1, true).size(), 1U);
}

TEST(AdmissionController, ATicketThatWaitsTooLongIsRefused)
{
    AdmissionController controller({.slots = 1, .maximumQueueWait = 100ms});
    controller.submit(start, ticket(1));
    controller.submit(start, ticket(2));
    auto resolved = controller.tick(start + 200ms);
    ASSERT_EQ(resolved.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<Refused>(resolved[0].decision));
}

} // namespace
} // namespace balsamreel::Admission
