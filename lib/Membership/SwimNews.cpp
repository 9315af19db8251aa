#include "balsamreel/Membership/Swim.h"

#include "SwimTurn.h"

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

// Room for news in a datagram that carries something else.
constexpr std::size_t ridingRoomBytes = 600;
// Kept free of records, so that a storm of joins can't hold back news of failures.
constexpr std::size_t statesRoomBytes = 150;

StateUpdate stateOf(const MemberRecord& record, std::uint32_t fingerprint)
{
    return {Wire::nameHash(record.node), fingerprint, record.version, record.state};
}

} // namespace

unsigned Swim::retransmits() const
{
    return options_.retransmitFactor * static_cast<unsigned>(std::bit_width(members().size() + 1));
}

void Swim::spreadContent(const std::string& node)
{
    stateNews_.erase(node);
    contentNews_.push(node);
}

void Swim::spreadState(const std::string& node)
{
    // Where the whole record is news it tells the state too.
    contentNews_.contains(node) ? contentNews_.push(node) : stateNews_.push(node);
}

void Swim::changeSelf(bool isContent)
{
    ++self_.version;
    ++revision_;
    selfFingerprint_ = Wire::fingerprint(self_);
    isContent ? spreadContent(self_.node) : spreadState(self_.node);
}

std::size_t Swim::fillContent(Message& message, std::size_t room)
{
    auto kept = stateNews_.empty() ? 0 : statesRoomBytes;
    contentNews_.take(retransmits(), [&](const std::string& node) {
        const auto* member = table_.find(node);
        if (node != self_.node && !member)
            return NewsQueue::Take::Dropped;
        const auto& record = member ? member->record : self_;
        auto size = Wire::encodedSize(record);
        if (size + kept > room || message.updates.size() == Wire::maximumRecordsPerMessage)
            return NewsQueue::Take::Full;
        room -= size;
        message.updates.push_back(record);
        return NewsQueue::Take::Sent;
    });
    return room;
}

std::size_t Swim::fillStates(Message& message, std::size_t room)
{
    stateNews_.take(retransmits(), [&](const std::string& node) {
        const auto* member = table_.find(node);
        if (node != self_.node && !member)
            return NewsQueue::Take::Dropped;
        if (room < StateUpdate::encodedBytes || message.states.size() == Wire::maximumStatesPerMessage)
            return NewsQueue::Take::Full;
        room -= StateUpdate::encodedBytes;
        message.states.push_back(member ? stateOf(member->record, member->fingerprint) : stateOf(self_, selfFingerprint_));
        return NewsQueue::Take::Sent;
    });
    return room;
}

void Swim::fillNews(Message& message, std::size_t room)
{
    // News that is taken from its queue counts as sent, so the budget is asked first.
    room = std::min(room, static_cast<std::size_t>(std::max(0.0, newsBudget_.level())));
    if (newsCount() == 0)
        return;
    if (room < leastNewsRoomBytes) {
        ++counts_.putOff;
        return;
    }
    auto left = fillStates(message, fillContent(message, room));
    newsBudget_.spend(static_cast<double>(room - left));
}

void Swim::addSubject(Message& message, const Member& receiver) const
{
    // A member that is not taken for alive, here or by another, is told so with what it is sent: only it can refute that.
    auto claim = stateOf(receiver.record, receiver.fingerprint);
    if (receiver.isDoubted && claim.state == MemberState::Alive)
        claim.state = MemberState::Dead;
    if (claim.state != MemberState::Alive)
        message.states.push_back(claim);
}

bool Swim::push(Turn& turn, Urgency urgency, const Endpoint& to, Message message)
{
    // Pings and their answers are few and small, and silence would look like a failure, so they are never held back.
    if (urgency == Urgency::Repair) {
        auto bytes = static_cast<double>(Wire::encode(message).size() + Wire::datagramHeaderBytes);
        if (!repairBudget_.allows(bytes)) {
            ++counts_.putOff;
            return false;
        }
        repairBudget_.spend(bytes);
    }
    turn.outgoing.push_back({to, std::move(message)});
    return true;
}

bool Swim::send(Turn& turn, Urgency urgency, const Endpoint& to, Wire::Payload payload, const Member* receiver)
{
    Message message{{self_.node, turn.time, generation_}, std::move(payload), {}, {}};
    if (receiver)
        addSubject(message, *receiver);
    if (std::holds_alternative<Wire::Ack>(message.payload))
        message.states.push_back(stateOf(self_, selfFingerprint_));
    if (urgency == Urgency::News)
        newsBudget_.spend(static_cast<double>(Wire::encode(message).size() + Wire::datagramHeaderBytes));
    if (urgency != Urgency::Repair || members().empty())
        fillNews(message, urgency == Urgency::News ? newsRoomBytes : ridingRoomBytes);
    return push(turn, urgency, to, std::move(message));
}

// Merging

} // namespace balsamreel::Membership
