// Learns from service times how many of the announced slots of a server raise its throughput.
// Performs no I/O; callers pass in the time.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/NameTable.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace balsamreel::Admission {

/// Whether using the last slots of a server raises its throughput.
enum class SlotVerdict : std::uint8_t { Unknown,
    WorthUsing,
    NotWorthUsing }; ///< the server slows down when they are in use

constexpr Support::NameTable<SlotVerdict, 3> slotVerdictNames{{{SlotVerdict::Unknown, "unknown"}, {SlotVerdict::WorthUsing, "worth-using"}, {SlotVerdict::NotWorthUsing, "not-worth-using"}}};

/// Chooses how many slots to use at peak load. Some servers slow down when nearly all of their slots are in use and
/// serve more calls with only a part of them; others serve most with all of them. Compares the service times of calls
/// that started while the server was nearly full with those of other calls of the same route.
class SaturationDetector {
public:
    explicit SaturationDetector(std::uint32_t announcedSlots);

    /// Number of slots to use now.
    std::uint32_t usableSlots() const;

    SlotVerdict verdict() const { return verdict_; }

    /// Restores the verdict of an earlier process; it is verified again later.
    void restore(Support::Instant now, SlotVerdict);

    /// Records a successful call that ran while the server was not slowed down. runningAtStart counts the calls at the
    /// server when it started, itself included.
    void finished(Support::Instant now, const std::string& route, Support::Duration service, std::uint32_t runningAtStart);

private:
    using Samples = std::deque<Support::Duration>;
    struct RouteSamples {
        Samples belowSafeShare;
        Samples aboveSafeShare;
    };
    enum class Stage : std::uint8_t { SafeSlots, ///< uses the safe share: all slots are untested or not worth using
        AllSlots }; ///< uses all slots and keeps comparing

    bool hasBaseline() const;
    void enterStage(Stage, Support::Instant now);
    void updateVerdict(Support::Instant now);

    std::uint32_t announcedSlots_ = 1;
    Stage stage_ = Stage::SafeSlots;
    Support::Instant nextTrialAt_; ///< earliest time of the next trial
    SlotVerdict verdict_ = SlotVerdict::Unknown;
    unsigned failures_ = 0; ///< consecutive trials that ended with NotWorthUsing
    std::unordered_map<std::string, RouteSamples> routes_;
};

} // namespace balsamreel::Admission
