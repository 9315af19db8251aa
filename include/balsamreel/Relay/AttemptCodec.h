// Compact form of the attempt requests on one peer connection: fields that requests share are sent once. No I/O.
#pragma once

#include "balsamreel/Relay/PeerMessages.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace balsamreel::Relay {

/// Contexts kept per peer connection; a new one replaces the oldest.
constexpr std::size_t contextSlotCount = 64;

/// Longer bodies follow their request in parts.
constexpr std::size_t maximumInlineBodyBytes = 64 * 1024;

/// Sending side of one peer connection. Reduces the traffic between failure domains, which has a price: after their
/// first use, a request names its route, server and headers by one byte.
class AttemptEncoder {
public:
    struct Encoded {
        std::optional<ContextDefinition> definition; ///< if set, must be sent before the request
        CompactAttemptRequest request; ///< without the body if that is long
    };
    Encoded encode(const AttemptRequest&);

private:
    std::map<AttemptContext, std::uint8_t> slotByContext_;
    std::array<std::map<AttemptContext, std::uint8_t>::iterator, contextSlotCount> contextBySlot_{};
    std::size_t definedCount_ = 0; ///< contexts defined so far; modulo contextSlotCount, the next slot
};

/// Receiving side of one peer connection.
class AttemptDecoder {
public:
    /// Returns false if the slot is out of range.
    bool define(ContextDefinition&&);

    /// Returns nullopt if the context slot was never defined.
    std::optional<AttemptRequest> decode(CompactAttemptRequest&&) const;

private:
    std::map<std::uint8_t, AttemptContext> contexts_;
};

} // namespace balsamreel::Relay
