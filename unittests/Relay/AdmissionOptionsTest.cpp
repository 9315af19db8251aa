#include "balsamreel/Relay/AdmissionOptions.h"

#include "balsamreel/Admission/SaturationDetector.h"

#include <gtest/gtest.h>

namespace balsamreel::Relay {

namespace {

// Returns how many of 30 simultaneous calls to a server with 18 slots are admitted at once.
unsigned admittedCalls(Admission::LaneHint hint)
{
    Admission::AdmissionController controller(admissionOptions(Admission::SaturationDetector(18).usableSlots()));
    unsigned count = 0;
    for (std::uint64_t id = 1; id <= 30; ++id) {
        Admission::Ticket ticket;
        ticket.id = id;
        ticket.route = "rules";
        ticket.hint = hint;
        ticket.deadline = Support::Instant(std::chrono::seconds(2));
        auto decision = controller.submit(Support::Instant(std::chrono::seconds(1)), ticket);
        count += std::holds_alternative<Admission::Admitted>(decision) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST(AdmissionOptions, StaysBelowTheSaturationPoint)
{
    EXPECT_EQ(admittedCalls(Admission::LaneHint::Short), 14U);
    EXPECT_EQ(admissionOptions(0).slots, 1U);
}

// Where every call is long, most slots have to be in use before a caller is refused, and at least one stays free.
TEST(AdmissionOptions, LongWorkAloneUsesMostSlots)
{
    EXPECT_GE(admittedCalls(Admission::LaneHint::Long), 11U);
    EXPECT_LT(admittedCalls(Admission::LaneHint::Long), 14U);
}

} // namespace balsamreel::Relay
