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
constexpr std::size_t keptContextCount = 64;

/// Longer contexts are not kept, so that callers can't fill the slots of all connections with long headers.
constexpr std::size_t maximumKeptContextBytes = 512;

/// Slot of a context that is used once. It follows those of the contexts that are kept.
constexpr std::uint8_t oneTimeSlot = keptContextCount;
constexpr std::size_t contextSlotCount = keptContextCount + 1;

/// Longer bodies follow their request or response in parts.
constexpr std::size_t maximumInlineBodyBytes = 16 * 1024;

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
    /// Returns the slot of the context; defines it if necessary.
    std::uint8_t slotOf(AttemptContext, std::optional<ContextDefinition>& definition);

    std::map<AttemptContext, std::uint8_t> slotByContext_;
    std::array<std::map<AttemptContext, std::uint8_t>::iterator, keptContextCount> contextBySlot_{};
    std::size_t definedCount_ = 0; ///< contexts defined so far; modulo keptContextCount, the next slot
};

/// Receiving side of one peer connection.
class AttemptDecoder {
public:
    /// Returns false if the slot is out of range.
    bool define(ContextDefinition&&);

    /// Returns nullopt if the context slot is not defined. Drops a context that is used once.
    std::optional<AttemptRequest> decode(CompactAttemptRequest&&);

private:
    std::map<std::uint8_t, AttemptContext> contexts_;
};

} // namespace balsamreel::Relay
