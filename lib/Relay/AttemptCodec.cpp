#include "balsamreel/Relay/AttemptCodec.h"

#include <utility>

namespace balsamreel::Relay {

AttemptEncoder::Encoded AttemptEncoder::encode(const Offer& offer)
{
    const auto& request = offer.request;
    Encoded encoded;
    encoded.offer = {offer.serial, 0, offer.canGoElsewhere, offer.timeoutMicros, offer.goalMicros, request.attemptId, request.target, request.body};
    OfferContext context{offer.instance, offer.route, offer.priority, offer.isIdempotent, offer.originService, request.method, request.host, request.headers};
    auto known = slots_.find(context);
    if (known != slots_.end()) {
        encoded.offer.contextSlot = known->second;
        return encoded;
    }
    auto index = next_ % contextSlotCount;
    if (next_ >= contextSlotCount)
        slots_.erase(bySlot_[index]);
    ++next_;
    auto slot = static_cast<std::uint8_t>(index);
    bySlot_[index] = slots_.emplace(context, slot).first;
    encoded.definition = ContextDefinition{slot, std::move(context)};
    encoded.offer.contextSlot = slot;
    return encoded;
}

bool AttemptDecoder::define(ContextDefinition&& definition)
{
    if (definition.slot >= contextSlotCount)
        return false;
    contexts_[definition.slot] = std::move(definition.context);
    return true;
}

std::optional<Offer> AttemptDecoder::decode(ShortOffer&& message) const
{
    auto found = contexts_.find(message.contextSlot);
    if (found == contexts_.end())
        return std::nullopt;
    const auto& context = found->second;
    Offer offer;
    offer.serial = message.serial;
    offer.instance = context.instance;
    offer.route = context.route;
    offer.priority = context.priority;
    offer.isIdempotent = context.isIdempotent;
    offer.canGoElsewhere = message.canGoElsewhere;
    offer.timeoutMicros = message.timeoutMicros;
    offer.goalMicros = message.goalMicros;
    offer.originService = context.originService;
    offer.request = {std::move(message.attemptId), context.method, std::move(message.target), context.host, context.headers, std::move(message.body)};
    return offer;
}

} // namespace balsamreel::Relay
