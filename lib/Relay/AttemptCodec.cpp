#include "balsamreel/Relay/AttemptCodec.h"

#include <utility>

namespace balsamreel::Relay {

AttemptEncoder::Encoded AttemptEncoder::encode(const AttemptRequest& request)
{
    const auto& httpRequest = request.request;
    Encoded encoded;
    encoded.request = {request.serial, 0, request.canGoElsewhere, request.timeoutMicros, request.latencyTargetMicros, httpRequest.callerAttemptId, request.account, httpRequest.target, {}};
    if (httpRequest.body.size() <= maximumInlineBodyBytes)
        encoded.request.body = httpRequest.body.text();
    AttemptContext context{request.instance, request.route, request.priority, request.isIdempotent, request.originService, httpRequest.method, httpRequest.host, httpRequest.headers};
    auto known = slotByContext_.find(context);
    if (known != slotByContext_.end()) {
        encoded.request.contextSlot = known->second;
        return encoded;
    }
    auto index = definedCount_ % contextSlotCount;
    if (definedCount_ >= contextSlotCount)
        slotByContext_.erase(contextBySlot_[index]);
    ++definedCount_;
    auto slot = static_cast<std::uint8_t>(index);
    contextBySlot_[index] = slotByContext_.emplace(context, slot).first;
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
    AttemptRequest request;
    request.serial = message.serial;
    request.instance = context.instance;
    request.route = context.route;
    request.priority = context.priority;
    request.isIdempotent = context.isIdempotent;
    request.canGoElsewhere = message.canGoElsewhere;
    request.timeoutMicros = message.timeoutMicros;
    request.latencyTargetMicros = message.latencyTargetMicros;
    request.originService = context.originService;
    request.account = std::move(message.account);
    request.request = {std::move(message.callerAttemptId), context.method, std::move(message.target), context.host, context.headers, std::move(message.body)};
    return request;
}

} // namespace balsamreel::Relay
