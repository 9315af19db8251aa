#include "balsamreel/Membership/Swim.h"

#include "SwimEventContext.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace balsamreel::Membership {

using Support::Endpoint;
using Wire::MemberRecord;
using Wire::MemberState;
using Wire::Message;
using Wire::StateUpdate;

namespace {

// Room for updates in a datagram that carries something else.
constexpr std::size_t piggybackRoomBytes = 600;
// Reserved for state updates, so that a burst of joins cannot delay updates about failures.
constexpr std::size_t reservedStateBytes = 150;

StateUpdate stateOf(const MemberRecord& record, std::uint32_t fingerprint)
{
    return {Wire::nameHash(record.node), fingerprint, record.version, record.state};
}

} // namespace

unsigned Swim::retransmitLimit() const
{
    return options_.retransmitFactor * static_cast<unsigned>(std::bit_width(members().size() + 1));
}

void Swim::enqueueRecord(const std::string& node)
{
    stateUpdates_.erase(node);
    recordUpdates_.push(node);
}

void Swim::enqueueState(const std::string& node)
{
    // A pending update of the whole record includes the state.
    recordUpdates_.contains(node) ? recordUpdates_.push(node) : stateUpdates_.push(node);
}

void Swim::publishSelf(bool isRecordChanged)
{
    ++self_.version;
    ++revision_;
    selfFingerprint_ = Wire::fingerprint(self_);
    isRecordChanged ? enqueueRecord(self_.node) : enqueueState(self_.node);
}

std::size_t Swim::fillRecords(Message& message, std::size_t room)
{
    auto reserved = stateUpdates_.empty() ? 0 : reservedStateBytes;
    recordUpdates_.sendPending(retransmitLimit(), [&](const std::string& node) {
        const auto* member = table_.find(node);
        if (node != self_.node && !member)
            return GossipQueue::SendResult::Dropped;
        const auto& record = member ? member->record : self_;
        auto size = Wire::encodedSize(record);
        if (size + reserved > room || message.updates.size() == Wire::maximumRecordsPerMessage)
            return GossipQueue::SendResult::Full;
        room -= size;
        message.updates.push_back(record);
        return GossipQueue::SendResult::Sent;
    });
    return room;
}

std::size_t Swim::fillStates(Message& message, std::size_t room)
{
    stateUpdates_.sendPending(retransmitLimit(), [&](const std::string& node) {
        const auto* member = table_.find(node);
        if (node != self_.node && !member)
            return GossipQueue::SendResult::Dropped;
        if (room < StateUpdate::encodedBytes || message.states.size() == Wire::maximumStatesPerMessage)
            return GossipQueue::SendResult::Full;
        room -= StateUpdate::encodedBytes;
        message.states.push_back(member ? stateOf(member->record, member->fingerprint) : stateOf(self_, selfFingerprint_));
        return GossipQueue::SendResult::Sent;
    });
    return room;
}

void Swim::fillUpdates(Message& message, std::size_t room)
{
    // An update taken from its queue counts as sent, so the budget is checked first.
    room = std::min(room, static_cast<std::size_t>(std::max(0.0, updateBudget_.level())));
    if (pendingUpdateCount() == 0)
        return;
    if (room < minimumUpdateRoomBytes) {
        ++counts_.deferred;
        return;
    }
    auto left = fillStates(message, fillRecords(message, room));
    updateBudget_.spend(static_cast<double>(room - left));
}

void Swim::addReceiverState(Message& message, const Member& receiver) const
{
    // Every message to a receiver that this or another node does not consider alive includes that claim, since only the
    // receiver can refute it.
    auto claim = stateOf(receiver.record, receiver.fingerprint);
    if (receiver.needsVerification && claim.state == MemberState::Alive)
        claim.state = MemberState::Dead;
    if (claim.state != MemberState::Alive)
        message.states.push_back(claim);
}

bool Swim::push(EventContext& context, TrafficClass trafficClass, const Endpoint& to, Message message)
{
    // Pings and acks are few and small, and a missing one looks like a failure, so they are never held back.
    if (trafficClass == TrafficClass::Repair) {
        auto bytes = static_cast<double>(Wire::encode(message).size() + Wire::datagramHeaderBytes);
        if (!repairBudget_.allows(bytes)) {
            ++counts_.deferred;
            return false;
        }
        repairBudget_.spend(bytes);
    }
    context.outgoing.push_back({to, std::move(message)});
    return true;
}

bool Swim::send(EventContext& context, TrafficClass trafficClass, const Endpoint& to, Wire::Payload payload, const Member* receiver)
{
    Message message{{self_.node, context.time, generation_}, std::move(payload), {}, {}};
    if (receiver)
        addReceiverState(message, *receiver);
    if (std::holds_alternative<Wire::Ack>(message.payload))
        message.states.push_back(stateOf(self_, selfFingerprint_));
    if (trafficClass == TrafficClass::Update)
        updateBudget_.spend(static_cast<double>(Wire::encode(message).size() + Wire::datagramHeaderBytes));
    if (trafficClass != TrafficClass::Repair || members().empty())
        fillUpdates(message, trafficClass == TrafficClass::Update ? updateRoomBytes : piggybackRoomBytes);
    return push(context, trafficClass, to, std::move(message));
}

} // namespace balsamreel::Membership
