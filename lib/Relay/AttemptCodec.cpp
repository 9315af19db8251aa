#include "balsamreel/Relay/AttemptCodec.h"

#include <utility>

namespace balsamreel::Relay {

namespace {

std::size_t sizeOf(const AttemptContext& context)
{
    auto bytes = context.instance.size() + context.route.size() + context.originService.size() + context.method.size() + context.host.size();
    for (const auto& header : context.headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

} // namespace

AttemptEncoder::Encoded AttemptEncoder::encode(const AttemptRequest& request)
{
    const auto& httpRequest = request.request;
    Encoded encoded;
    encoded.request = {request.serial, 0, request.canGoElsewhere, request.timeoutMicros, request.latencyTargetMicros, httpRequest.callerAttemptId, request.account, httpRequest.target, {}};
    if (httpRequest.body.size() <= maximumInlineBodyBytes)
        encoded.request.body = httpRequest.body.text();
    AttemptContext context{request.instance, request.route, request.priority, request.isIdempotent, request.originService, httpRequest.method, httpRequest.host, httpRequest.headers};
    encoded.request.contextSlot = slotOf(std::move(context), encoded.definition);
    return encoded;
}

std::uint8_t AttemptEncoder::slotOf(AttemptContext context, std::optional<ContextDefinition>& definition)
{
    if (sizeOf(context) > maximumKeptContextBytes) {
        definition = ContextDefinition{oneTimeSlot, std::move(context)};
        return oneTimeSlot;
    }
    auto known = slotByContext_.find(context);
    if (known != slotByContext_.end())
        return known->second;
    auto index = definedCount_ % keptContextCount;
    if (definedCount_ >= keptContextCount)
        slotByContext_.erase(contextBySlot_[index]);
    ++definedCount_;
    auto slot = static_cast<std::uint8_t>(index);
    contextBySlot_[index] = slotByContext_.emplace(context, slot).first;
    definition = ContextDefinition{slot, std::move(context)};
    return slot;
}

bool AttemptDecoder::define(ContextDefinition&& definition)
{
    if (definition.slot >= contextSlotCount)
        return false;
    contexts_[definition.slot] = std::move(definition.context);
    return true;
}

std::optional<AttemptRequest> AttemptDecoder::decode(CompactAttemptRequest&& message)
{
    auto found = contexts_.find(message.contextSlot);
    if (found == contexts_.end())
        return std::nullopt;
    AttemptContext context = message.contextSlot == oneTimeSlot ? std::move(contexts_.extract(found).mapped()) : found->second;
    AttemptRequest request;
    request.serial = message.serial;
    request.instance = std::move(context.instance);
    request.route = std::move(context.route);
    request.priority = context.priority;
    request.isIdempotent = context.isIdempotent;
    request.canGoElsewhere = message.canGoElsewhere;
    request.timeoutMicros = message.timeoutMicros;
    request.latencyTargetMicros = message.latencyTargetMicros;
    request.originService = std::move(context.originService);
    request.account = std::move(message.account);
    request.request.callerAttemptId = std::move(message.callerAttemptId);
    request.request.method = std::move(context.method);
    request.request.target = std::move(message.target);
    request.request.host = std::move(context.host);
    request.request.headers = std::move(context.headers);
    request.request.body = Body(std::move(message.body));
    return request;
}

} // namespace balsamreel::Relay
