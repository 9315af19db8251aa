// Offers on one link in short form: what many have in common is sent once. Pure.
#pragma once

#include "balsamreel/Relay/PeerMessages.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace balsamreel::Relay {

/// Contexts that one link keeps; the oldest gives its slot to a new one.
constexpr std::size_t contextSlotCount = 64;

/// The sending side of one link. Answers the price of bytes between failure domains: an offer names its route,
/// server and headers by one byte after the first.
class AttemptEncoder {
public:
    struct Encoded {
        std::optional<ContextDefinition> definition; ///< to be sent before the offer
        CompactAttemptRequest request;
    };
    Encoded encode(const AttemptRequest&);

private:
    std::map<AttemptContext, std::uint8_t> slots_;
    std::array<std::map<AttemptContext, std::uint8_t>::iterator, contextSlotCount> bySlot_{};
    std::size_t next_ = 0; ///< slot to use next
};

/// The receiving side of one link.
class AttemptDecoder {
public:
    /// False if there is no such slot.
    bool define(ContextDefinition&&);

    /// Nothing if the slot was never defined.
    std::optional<AttemptRequest> decode(CompactAttemptRequest&&) const;

private:
    std::map<std::uint8_t, AttemptContext> contexts_;
};

} // namespace balsamreel::Relay
