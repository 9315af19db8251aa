// Second attempts of Entry: they are sent while the first attempt of a slow call is still open.
#include "balsamreel/Relay/Entry.h"

#include <fmt/format.h>

#include <algorithm>

namespace balsamreel::Relay {

namespace {

// The calls that an older load stamp counted have ended.
constexpr Duration stampLifetime = std::chrono::milliseconds(500);

bool hasFreeSlot(Instant now, const Balance::ServerEntity& server)
{
    bool isRefusing = server.refusedUntil && *server.refusedUntil > now;
    bool isEjected = server.ejectedUntil && *server.ejectedUntil > now;
    if (isRefusing || isEjected)
        return false;
    bool isStampCurrent = server.stampedAt && now - *server.stampedAt < stampLifetime;
    if (isStampCurrent && server.stamp.queued > 0)
        return false;
    auto running = isStampCurrent ? std::max(server.stamp.running, server.inFlight) : server.inFlight;
    auto limit = server.stamp.limit > 0 ? server.stamp.limit : server.facts.slots;
    return running < limit;
}

// A server that has been slow or failing may have room, but gains nothing.
bool isFit(Instant now, const Balance::ServerEntity& server)
{
    return hasFreeSlot(now, server) && !server.health.isSuspected();
}

void leaveOut(Instant now, const Balance::Balancer& balancer, const Balance::ServerId& id, const std::string& service, ServiceRoom& room)
{
    auto found = balancer.servers().find(id);
    if (found == balancer.servers().end() || found->second.facts.service != service)
        return;
    --room.servers;
    if (hasFreeSlot(now, found->second))
        --room.withFreeSlots;
}

} // namespace

void Entry::learnFromOutcome(const Call& call, Duration latency, const Outcome& outcome)
{
    if (!secondAttempts_.isEnabled() || !call.route->isIdempotent)
        return;
    if (const auto* notRun = std::get_if<NotRun>(&outcome))
        return secondAttempts_.recordRefusal(Support::monotonicNow(), call.service, notRun->reason);
    if (const auto* response = std::get_if<ServerResponse>(&outcome); response && response->status < firstServerError)
        secondAttempts_.recordLatency(call.route->name, latency);
}

// Where there are client accounts, calls without one include those that servers make while they run a request. Each second
// attempt of such a request would double the calls below it.
bool Entry::mayHaveSecondAttempt(const Call& call) const
{
    if (!secondAttempts_.isEnabled() || !call.route->isIdempotent || call.hadSecondAttempt)
        return false;
    if (call.routes->hasAccounts() && call.account.empty())
        return false;
    bool isServerLeft = call.serverAttemptCount + call.openAttempts.size() < call.route->maximumServers;
    return isServerLeft && call.openAttempts.size() == 1 && call.attemptCount < maximumAttempts;
}

void Entry::watchForSlowness(const CallPointer& call, std::uint64_t serial)
{
    if (!mayHaveSecondAttempt(*call))
        return;
    auto delay = secondAttempts_.delay(call->route->name);
    if (!delay || Support::monotonicNow() + *delay >= call->deadline)
        return;
    auto& timer = call->slowTimer.emplace(loop_);
    timer.expires_after(*delay);
    timer.async_wait([this, call, serial](const boost::system::error_code& cancelled) {
        bool isOpen = std::ranges::find(call->openAttempts, serial, &Attempt::serial) != call->openAttempts.end();
        if (!cancelled && isOpen)
            trySecondAttempt(call);
    });
}

void Entry::trySecondAttempt(const CallPointer& call)
{
    updateServers();
    if (!mayHaveSecondAttempt(*call))
        return;
    std::optional<Balance::Choice> choice;
    auto verdict = decideSecondAttempt(*call, choice);
    logRoomChange(*call, verdict);
    if (verdict != SecondAttemptVerdict::Send || !choice) {
        metrics_.add(fmt::format("balsamreel_second_attempts_refused_total{{reason=\"{}\"}}", Support::nameOf(secondAttemptVerdictNames, verdict)));
        return;
    }
    auto instance = instanceOf(choice->server);
    if (!instance)
        return;
    secondAttempts_.recordSecondAttempt();
    call->hadSecondAttempt = true;
    metrics_.add("balsamreel_second_attempts_total");
    log_.line(LogClass::Routine, "second-attempt", "id={} route={} service={} first={} second={} after_us={}", call->request.callerAttemptId, call->route->name, call->service, call->openAttempts.front().server.node, choice->server.node, (Support::monotonicNow() - call->openAttempts.front().startedAt).count());
    sendAttempt(call, *choice, *instance, true);
}

// Tried servers don't count for the room of the service: the slow one may well be full. The shared budget is asked last,
// since asking consumes it.
SecondAttemptVerdict Entry::decideSecondAttempt(const Call& call, std::optional<Balance::Choice>& choice)
{
    auto now = Support::monotonicNow();
    auto room = roomOf(call.service, now);
    for (const auto& tried : call.triedServers)
        leaveOut(now, balancer_, tried, call.service, room);
    auto verdict = secondAttempts_.decide(now, {call.route->name, call.service, call.deadline, room});
    if (verdict != SecondAttemptVerdict::Send)
        return verdict;
    choice = balancer_.choose(now, call.service, false, call.triedServers);
    if (!choice || !isFit(now, balancer_.servers().at(choice->server)))
        return SecondAttemptVerdict::NoRoom;
    bool isInBudget = retryBudget_.tryConsumeSpare(now, call.service);
    return isInBudget ? SecondAttemptVerdict::Send : SecondAttemptVerdict::RetryBudgetUsed;
}

void Entry::logRoomChange(const Call& call, SecondAttemptVerdict verdict)
{
    if (verdict == SecondAttemptVerdict::NoRoom && servicesWithoutRoom_.insert(call.service).second)
        log_.line(LogClass::Notable, "second-attempts", "service={} state=stopped reason=no-room", call.service);
    if (verdict == SecondAttemptVerdict::Send && servicesWithoutRoom_.erase(call.service) > 0)
        log_.line(LogClass::Notable, "second-attempts", "service={} state=resumed", call.service);
}

ServiceRoom Entry::roomOf(const std::string& service, Instant now) const
{
    auto found = balancer_.services().find(service);
    if (found == balancer_.services().end())
        return {};
    const auto& servers = found->second.all;
    auto free = std::ranges::count_if(servers, [now](const auto* server) { return hasFreeSlot(now, *server); });
    return {servers.size(), static_cast<std::size_t>(free)};
}

} // namespace balsamreel::Relay
