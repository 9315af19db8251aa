#include "balsamreel/Relay/AttemptCodec.h"

#include <utility>

namespace balsamreel::Relay {

AttemptEncoder::Encoded AttemptEncoder::encode(const AttemptRequest& offer)
{
    const auto& request = offer.request;
    Encoded encoded;
    encoded.request = {offer.serial, 0, offer.canGoElsewhere, offer.timeoutMicros, offer.latencyTargetMicros, request.callerAttemptId, request.target, request.body};
    AttemptContext context{offer.instance, offer.route, offer.priority, offer.isIdempotent, offer.originService, request.method, request.host, request.headers};
    auto known = slots_.find(context);
    if (known != slots_.end()) {
        encoded.request.contextSlot = known->second;
        return encoded;
    }
    auto index = next_ % contextSlotCount;
    if (next_ >= contextSlotCount)
        slots_.erase(bySlot_[index]);
    ++next_;
    auto slot = static_cast<std::uint8_t>(index);
    bySlot_[index] = slots_.emplace(context, slot).first;
    encoded.definition = ContextDefinition{slot, std::move(context)};
    encoded.request.contextSlot = slot;
    return encoded;
}

bool AttemptDecoder::define(ContextDefinition&& definition)
{
    if (definition.slot >= contextSlotCount)
        return false;
    contexts_[definition.slot] = std::move(definition.context);
    return true;
}

std::optional<AttemptRequest> AttemptDecoder::decode(CompactAttemptRequest&& message) const
{
    auto found = contexts_.find(message.contextSlot);
    if (found == contexts_.end())
        return std::nullopt;
    const auto& context = found->second;
    AttemptRequest offer;
    offer.serial = message.serial;
    offer.instance = context.instance;
    offer.route = context.route;
    offer.priority = context.priority;
    offer.isIdempotent = context.isIdempotent;
    offer.canGoElsewhere = message.canGoElsewhere;
    offer.timeoutMicros = message.timeoutMicros;
    offer.latencyTargetMicros = message.latencyTargetMicros;
    offer.originService = context.originService;
    offer.request = {std::move(message.callerAttemptId), context.method, std::move(message.target), context.host, context.headers, std::move(message.body)};
    return offer;
}

} // namespace balsamreel::Relay
