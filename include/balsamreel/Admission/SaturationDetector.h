// How many of a server's announced slots are worth using, learned from service times. Pure decisions.
#pragma once

#include "balsamreel/Support/Clock.h"
#include "balsamreel/Support/NameTable.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace balsamreel::Admission {

/// What is known of a server's last slots.
enum class SlotVerdict : std::uint8_t { Unknown,
    WorthUsing,
    NotWorthUsing }; ///< work takes longer when they are in use

constexpr Support::NameTable<SlotVerdict, 3> slotVerdictNames{{{SlotVerdict::Unknown, "unknown"}, {SlotVerdict::WorthUsing, "worth-using"}, {SlotVerdict::NotWorthUsing, "not-worth-using"}}};

/// Answers the load of a crest on servers of which some slow down when nearly all of their slots are in use, and
/// some do not: the first serve more callers with a part of their slots, the others with all of them.
/// Compares work that began while the server was nearly full with other work of the same route.
class SaturationDetector {
public:
    explicit SaturationDetector(std::uint32_t announcedSlots);

    /// The slots to use now.
    std::uint32_t usableSlots() const;

    SlotVerdict verdict() const { return verdict_; }

    /// What an earlier process has found: starts with it, and tries later whether it still holds.
    void restore(Support::Instant now, SlotVerdict);

    /// Work has ended well at the server's usual pace. runningAtStart counts the work at the server, itself included.
    void finished(Support::Instant now, const std::string& route, Support::Duration service, std::uint32_t runningAtStart);

private:
    using Samples = std::deque<Support::Duration>;
    struct RouteSamples {
        Samples belowSafeShare;
        Samples aboveSafeShare;
    };
    enum class Stage : std::uint8_t { SafeSlots, ///< all slots were not tried, or do not pay
        AllSlots }; ///< all slots are in use, and go on being compared

    bool hasBaseline() const;
    void enterStage(Stage, Support::Instant now);
    void updateVerdict(Support::Instant now);

    std::uint32_t announcedSlots_ = 1;
    Stage stage_ = Stage::SafeSlots;
    Support::Instant nextTrialAt_; ///< no trial before
    SlotVerdict verdict_ = SlotVerdict::Unknown;
    unsigned failures_ = 0; ///< trials in a row that did not pay
    std::unordered_map<std::string, RouteSamples> routes_;
};

} // namespace balsamreel::Admission
