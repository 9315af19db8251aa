#include "balsamreel/Relay/AdmissionOptions.h"

#include "balsamreel/Admission/SaturationDetector.h"

#include <gtest/gtest.h>

namespace balsamreel::Relay {

namespace {

// How many of the calls run at once that come at once to a server with 18 slots.
unsigned admitted(Admission::LaneHint hint)
{
    Admission::AdmissionController gate(admissionOptions(Admission::SaturationDetector(18).usableSlots()));
    unsigned count = 0;
    for (std::uint64_t id = 1; id <= 30; ++id) {
        Admission::Ticket ticket;
        ticket.id = id;
        ticket.route = "rules";
        ticket.hint = hint;
        ticket.deadline = Support::Instant(std::chrono::seconds(2));
        auto decision = gate.submit(Support::Instant(std::chrono::seconds(1)), ticket);
        count += std::holds_alternative<Admission::Admitted>(decision) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST(AdmissionOptions, StaysBelowTheSaturationPoint)
{
    EXPECT_EQ(admitted(Admission::LaneHint::Short), 14U);
    EXPECT_EQ(admissionOptions(0).slots, 1U);
}

// A service whose work is all long: most of the slots have to work before anybody is refused, and one stays free.
TEST(AdmissionOptions, LongWorkAloneUsesMostSlots)
{
    EXPECT_GE(admitted(Admission::LaneHint::Long), 11U);
    EXPECT_LT(admitted(Admission::LaneHint::Long), 14U);
}

} // namespace balsamreel::Relay
