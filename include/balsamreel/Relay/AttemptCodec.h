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
        ShortOffer offer;
    };
    Encoded encode(const Offer&);

private:
    std::map<OfferContext, std::uint8_t> slots_;
    std::array<std::map<OfferContext, std::uint8_t>::iterator, contextSlotCount> bySlot_{};
    std::size_t next_ = 0; ///< slot to use next
};

/// The receiving side of one link.
class AttemptDecoder {
public:
    /// False if there is no such slot.
    bool define(ContextDefinition&&);

    /// Nothing if the slot was never defined.
    std::optional<Offer> decode(ShortOffer&&) const;

private:
    std::map<std::uint8_t, OfferContext> contexts_;
};

} // namespace balsamreel::Relay
