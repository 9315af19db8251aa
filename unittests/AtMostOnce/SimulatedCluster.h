// Simulates a few entries, guards, homes and a store on a virtual clock, driven by random steps, with an oracle that
// records which calls the servers ran. The code under test (lib/AtMostOnce) makes the decisions; the simulation only
// delivers messages, in any order.
#pragma once

#include "balsamreel/AtMostOnce/Claims.h"
#include "balsamreel/AtMostOnce/OutcomeResolver.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace balsamreel::AtMostOnce {

/// Faults that can be injected, to verify that the oracle detects them.
enum class Mistake : std::uint8_t { None,
    UnseenIsNotRun, ///< the entry treats "unseen" as "not run" without a revocation
    NoTombstone, ///< the guard confirms a revocation without recording it
    UnknownIsNotRun, ///< the entry reports "not run" for an unknown outcome
    IgnoresIncarnation, ///< the entry trusts the reply of a restarted guard
    UnconditionalWrite, ///< claims are written regardless of the version
    OwnedOnUnknownWrite, ///< a write whose result is unknown counts as success
    UnmatchedResponse, ///< the entry accepts any response as that of its attempt
    NoWatermark ///< the guard treats copies of forgotten attempts as new
};

struct Step {
    unsigned kind = 0;
    unsigned first = 0;
    unsigned second = 0;
};

class SimulatedCluster {
public:
    explicit SimulatedCluster(Mistake mistake)
        : mistake_(mistake)
    {
    }

    void run(const std::vector<Step>& steps)
    {
        for (const auto& step : steps)
            apply(step);
    }

    /// Last violation that the oracle found; empty if there was none.
    const std::string& violation() const { return violation_; }
    unsigned executions() const { return static_cast<unsigned>(executedCalls_.size()); }
    unsigned responses() const { return responses_; }

    static constexpr unsigned kindCount = 18;

private:
    static constexpr unsigned guardCount = 2;
    static constexpr unsigned homeCount = 2;
    static constexpr unsigned keyCount = 3;
    static constexpr unsigned maximumAttempts = 3;

    enum class Phase : std::uint8_t { Claiming,
        Sent,
        Ended };
    struct Call {
        unsigned entry = 0;
        std::string work; ///< identifies what must not run twice: the key, or the call itself
        bool isKeyed = false;
        Phase phase = Phase::Claiming;
        ClaimToken token;
        Support::Instant deadline;
        std::optional<OutcomeResolver> resolver;
        Wire::AttemptId attempt;
        unsigned guard = 0;
        std::uint64_t guardIncarnation = 0;
        unsigned attempts = 0;
        bool isBroken = false;
        std::uint64_t query = 0; ///< the query in progress; 0: none
    };
    struct Guard {
        AttemptTable table = makeTable();
        std::uint64_t incarnation = 1;
        std::map<Wire::AttemptId, unsigned> calls; ///< index of the call by attempt
        std::vector<Wire::AttemptId> offered;
        std::vector<Wire::AttemptId> running;
    };
    struct AttemptMessage {
        unsigned call = 0;
        Wire::AttemptId id;
        std::uint64_t incarnation = 0; ///< incarnation of the guard as known to the entry
        std::uint64_t connection = 0; ///< incarnation of the guard that the connection leads to
        Support::Duration remaining{};
    };
    struct QueryMessage {
        unsigned call = 0;
        std::uint64_t query = 0;
        Wire::AttemptId id;
        std::uint64_t incarnation = 0;
        bool isRevocation = false;
    };
    struct ResponseMessage {
        unsigned call = 0;
        Wire::AttemptId id;
        bool hasRun = false; ///< false: refused
        std::string body;
    };
    struct ReplyMessage {
        unsigned call = 0;
        std::uint64_t query = 0;
        GuardReply reply;
        std::string body;
    };
    struct Message {
        unsigned guard = 0;
        std::variant<AttemptMessage, QueryMessage, ResponseMessage, ReplyMessage> content;
    };
    struct Home {
        ClaimShard shard;
        std::map<std::uint64_t, unsigned> waiting; ///< index of the call by request
    };
    struct LateWrite {
        std::string value;
        std::optional<std::uint64_t> version;
    };

    static AttemptTable makeTable() { return AttemptTable({.retention = std::chrono::seconds(1)}); }
    std::int64_t wallMicros() const { return now_.time_since_epoch().count(); }

    void apply(const Step& step)
    {
        switch (step.kind % kindCount) {
        case 0:
            return startCall(step, false);
        case 1:
            return startCall(step, true);
        case 2:
        case 3:
        case 4:
            return withMessage(step.first, [&](const Message& message) { receive(message); });
        case 5:
            return withMessage(step.first, [](const Message&) {});
        case 6:
            if (!messages_.empty())
                messages_.push_back(messages_[step.first % messages_.size()]);
            return;
        case 7:
            return withSentCall(step.first, [&](unsigned index) { breakConnection(index); });
        case 8:
            return withSentCall(step.first, [&](unsigned index) { sendQuery(index); });
        case 9:
        case 10:
            return dispatchOne(guards_[step.first % guardCount], step.first % guardCount, step.second);
        case 11:
            return finishOne(guards_[step.first % guardCount], step.first % guardCount, step.second);
        case 12:
            return refuseOne(guards_[step.first % guardCount], step.first % guardCount, step.second);
        case 13:
            return advance(Support::Duration(std::chrono::milliseconds(step.first % 4 == 0 ? step.second * 20 : step.second)));
        case 14:
        case 15:
            return stepHome(homes_[step.first % homeCount], step.second);
        case 16:
            return applyLateWrite(step.first);
        default:
            return fail(step);
        }
    }

    template <typename Action>
    void withMessage(unsigned pick, Action action)
    {
        if (messages_.empty())
            return;
        auto position = messages_.begin() + static_cast<std::ptrdiff_t>(pick % messages_.size());
        auto message = *position;
        messages_.erase(position);
        action(message);
    }

    template <typename Action>
    void withSentCall(unsigned pick, Action action)
    {
        std::vector<unsigned> sent;
        for (unsigned index = 0; index < calls_.size(); ++index) {
            if (calls_[index].phase == Phase::Sent)
                sent.push_back(index);
        }
        if (!sent.empty())
            action(sent[pick % sent.size()]);
    }

    void startCall(const Step& step, bool isKeyed)
    {
        auto index = static_cast<unsigned>(calls_.size());
        Call call;
        call.isKeyed = isKeyed;
        call.entry = step.first % 2;
        call.work = isKeyed ? "key" + std::to_string(step.second % keyCount) : "call" + std::to_string(index);
        call.deadline = now_ + std::chrono::seconds(5);
        call.token = {100 + call.entry, nextCounter_++};
        calls_.push_back(std::move(call));
        if (!isKeyed)
            return sendAttempt(index, step.second);
        auto& home = homes_[step.first / 2 % homeCount];
        auto request = nextRequest_++;
        home.waiting[request] = index;
        home.shard.begin(request, {calls_[index].work, calls_[index].token, 0, wallMicros() + 5'000'000});
        resolve(home);
    }

    void sendAttempt(unsigned index, unsigned guard)
    {
        auto& call = calls_[index];
        bool mayTry = now_ < call.deadline && call.attempts < maximumAttempts;
        if (!mayTry)
            return reportNotRun(index);
        ++call.attempts;
        call.phase = Phase::Sent;
        call.isBroken = false;
        call.query = 0;
        call.guard = guard % guardCount;
        // The entry may not have received the update on a restart of the guard.
        auto current = guards_[call.guard].incarnation;
        bool isStale = current > 1 && guard / guardCount % 4 == 1;
        call.guardIncarnation = isStale ? current - 1 : current;
        call.attempt = {100 + call.entry, nextCounter_++};
        call.resolver.emplace(call.deadline, true);
        messages_.push_back({call.guard, AttemptMessage{index, call.attempt, call.guardIncarnation, current, call.deadline - now_}});
    }

    void breakConnection(unsigned index)
    {
        calls_[index].isBroken = true;
        calls_[index].resolver->breakConnection(now_);
        // The query in progress is abandoned; its reply will be ignored.
        calls_[index].query = 0;
        sendQuery(index);
    }

    void sendQuery(unsigned index)
    {
        auto& call = calls_[index];
        // One query at a time; a lost query ends with its timeout.
        if (call.query != 0)
            evaluate(index, NoReply(), {});
        if (call.phase != Phase::Sent)
            return;
        call.query = nextQuery_++;
        messages_.push_back({call.guard, QueryMessage{index, call.query, call.attempt, call.guardIncarnation, call.resolver->wantsRevocation(now_)}});
    }

    void evaluate(unsigned index, const QueryReply& reply, const std::string& body)
    {
        auto& call = calls_[index];
        call.query = 0;
        auto taken = reply;
        if (auto* guardReply = std::get_if<GuardReply>(&taken)) {
            if (mistake_ == Mistake::UnseenIsNotRun && guardReply->state == AttemptState::Unseen)
                guardReply->state = AttemptState::Refused;
            if (mistake_ == Mistake::IgnoresIncarnation)
                guardReply->isSameIncarnation = true;
        }
        auto verdict = call.resolver->evaluate(now_, taken);
        if (verdict == Verdict::Deliver)
            return reportResponse(index, body);
        if (verdict == Verdict::Retry)
            return sendAttempt(index, call.guard + 1);
        if (verdict == Verdict::Unknown)
            return mistake_ == Mistake::UnknownIsNotRun ? reportNotRun(index) : reportUnknown(index);
    }

    void receive(const Message& message)
    {
        std::visit([&](const auto& content) { receive(message.guard, content); }, message.content);
    }

    void receive(unsigned index, const AttemptMessage& message)
    {
        auto& guard = guards_[index];
        // A connection ends with its process; a message that reaches the next process is a replay without a receiver for
        // the response.
        bool isReplay = message.connection != guard.incarnation;
        if (message.incarnation != guard.incarnation && isReplay)
            return;
        if (message.incarnation != guard.incarnation)
            return respond(index, {message.call, message.id, false, {}});
        bool isForgotten = guard.table.state(message.id) == AttemptState::Forgotten;
        if (isForgotten && mistake_ == Mistake::NoWatermark)
            guard.table = makeTable();
        if (!guard.table.admit(now_, message.id, now_ + message.remaining))
            return;
        guard.calls[message.id] = message.call;
        guard.offered.push_back(message.id);
    }

    void receive(unsigned index, const QueryMessage& message)
    {
        auto& guard = guards_[index];
        ReplyMessage reply{message.call, message.query, {AttemptState::Unseen, message.incarnation == guard.incarnation}, {}};
        bool acceptsIncarnation = reply.reply.isSameIncarnation || mistake_ == Mistake::IgnoresIncarnation;
        if (acceptsIncarnation)
            reply.reply.state = stateOf(guard, message);
        if (auto retained = guard.table.answer(message.id)) {
            reply.reply.hasResponse = true;
            reply.body = retained->body;
        }
        messages_.push_back({index, reply});
    }

    AttemptState stateOf(Guard& guard, const QueryMessage& message)
    {
        auto state = guard.table.state(message.id);
        if (!message.isRevocation)
            return state;
        if (mistake_ == Mistake::NoTombstone && state == AttemptState::Unseen)
            return AttemptState::Revoked;
        return guard.table.revoke(now_, message.id, now_);
    }

    void receive(unsigned, const ResponseMessage& message)
    {
        auto& call = calls_[message.call];
        bool isAwaited = call.phase == Phase::Sent && !call.isBroken && call.attempt == message.id;
        if (mistake_ == Mistake::UnmatchedResponse && !isAwaited && message.hasRun) {
            for (unsigned index = 0; index < calls_.size(); ++index) {
                if (calls_[index].phase == Phase::Sent)
                    return reportResponse(index, message.body);
            }
        }
        if (!isAwaited)
            return;
        if (message.hasRun)
            return reportResponse(message.call, message.body);
        sendAttempt(message.call, call.guard + 1);
    }

    void receive(unsigned, const ReplyMessage& message)
    {
        auto& call = calls_[message.call];
        if (call.phase == Phase::Sent && call.query == message.query)
            evaluate(message.call, message.reply, message.body);
    }

    void respond(unsigned guard, const ResponseMessage& message) { messages_.push_back({guard, message}); }

    static Wire::AttemptId take(std::vector<Wire::AttemptId>& list, unsigned pick)
    {
        auto position = list.begin() + static_cast<std::ptrdiff_t>(pick % list.size());
        auto id = *position;
        list.erase(position);
        return id;
    }

    void dispatchOne(Guard& guard, unsigned index, unsigned pick)
    {
        if (guard.offered.empty())
            return;
        auto id = take(guard.offered, pick);
        auto call = guard.calls[id];
        if (!guard.table.dispatch(now_, id))
            return respond(index, {call, id, false, {}});
        guard.running.push_back(id);
        execute(call);
    }

    void finishOne(Guard& guard, unsigned index, unsigned pick)
    {
        if (guard.running.empty())
            return;
        auto id = take(guard.running, pick);
        auto call = guard.calls[id];
        guard.table.finish(id, {200, {}, calls_[call].work});
        respond(index, {call, id, true, calls_[call].work});
    }

    void refuseOne(Guard& guard, unsigned index, unsigned pick)
    {
        if (guard.offered.empty())
            return;
        auto id = take(guard.offered, pick);
        bool wasRevoked = guard.table.state(id) == AttemptState::Revoked;
        guard.table.refuse(id);
        if (!wasRevoked)
            respond(index, {guard.calls[id], id, false, {}});
    }

    void advance(Support::Duration duration)
    {
        now_ += duration;
        for (auto& guard : guards_)
            guard.table.tick(now_);
    }

    /// Kills a guard, a home or an entry, or lets the wait for a claim time out.
    void fail(const Step& step)
    {
        auto which = step.second % 2;
        if (step.first % 4 == 0) {
            guards_[which] = Guard{makeTable(), guards_[which].incarnation + 1, {}, {}, {}};
        } else if (step.first % 4 == 1) {
            auto waiting = std::exchange(homes_[which].waiting, {});
            homes_[which].shard = ClaimShard();
            for (const auto& [request, index] : waiting)
                giveUpClaim(index, 1 - which);
        } else if (step.first % 4 == 2) {
            for (auto& call : calls_)
                call.phase = call.entry == which ? Phase::Ended : call.phase;
        } else if (!homes_[which].waiting.empty()) {
            auto [request, index] = *homes_[which].waiting.begin();
            homes_[which].waiting.erase(request);
            giveUpClaim(index, step.second / 2 % homeCount);
        }
    }

    void giveUpClaim(unsigned index, unsigned home)
    {
        if (calls_[index].phase != Phase::Claiming)
            return;
        endCall(index, ClaimState::NotRun, homes_[home]);
        checkNotRun(index);
    }

    void stepHome(Home& home, unsigned mode)
    {
        auto next = home.shard.next(wallMicros());
        if (std::holds_alternative<Load>(next))
            load(home, mode);
        else if (auto* write = std::get_if<Write>(&next))
            this->write(home, *write, mode);
        resolve(home);
    }

    void load(Home& home, unsigned mode)
    {
        if (mode % 8 == 0)
            return home.shard.unavailable();
        if (stored_)
            return home.shard.loaded(*stored_, storedVersion_);
        home.shard.loadedNone();
    }

    bool store(const LateWrite& update)
    {
        auto current = stored_ ? std::optional(storedVersion_) : std::nullopt;
        if (update.version != current && mistake_ != Mistake::UnconditionalWrite)
            return false;
        stored_ = update.value;
        ++storedVersion_;
        return true;
    }

    /// The store executes the write, loses the response, delays the write beyond its timeout, or ignores it.
    void write(Home& home, const Write& update, unsigned mode)
    {
        LateWrite pending{update.value, update.version};
        bool isLate = mode % 8 == 1;
        bool isLost = mode % 8 == 2;
        bool isIgnored = mode % 8 == 3;
        if (isLate)
            lateWrites_.push_back(pending);
        bool isStored = !isLate && !isIgnored && store(pending);
        bool isUncertain = isLate || isLost || isIgnored;
        if (isUncertain && mistake_ != Mistake::OwnedOnUnknownWrite)
            return home.shard.writeUnknown();
        if (isUncertain || isStored)
            return home.shard.written(storedVersion_);
        home.shard.conflicted();
    }

    void applyLateWrite(unsigned pick)
    {
        if (lateWrites_.empty())
            return;
        auto position = lateWrites_.begin() + static_cast<std::ptrdiff_t>(pick % lateWrites_.size());
        store(*position);
        lateWrites_.erase(position);
    }

    void resolve(Home& home)
    {
        for (const auto& resolution : home.shard.takeResolutions()) {
            auto waiting = home.waiting.find(resolution.request);
            if (waiting == home.waiting.end())
                continue;
            auto index = waiting->second;
            home.waiting.erase(waiting);
            if (calls_[index].phase == Phase::Claiming)
                onClaim(index, home, resolution.reply);
        }
    }

    void onClaim(unsigned index, Home& home, const ClaimReply& reply)
    {
        if (reply.result == ClaimResult::Owned)
            return sendAttempt(index, index);
        if (reply.result == ClaimResult::Unavailable)
            return giveUpClaim(index, &home == homes_.data() ? 0 : 1);
        calls_[index].phase = Phase::Ended;
        if (reply.result == ClaimResult::Done && reply.answer)
            checkResponse(index, reply.answer->body);
        if (reply.result == ClaimResult::Done && !executedWork_.contains(calls_[index].work))
            violation_ = "done, but never ran";
        if (reply.result == ClaimResult::Full || reply.result == ClaimResult::Mismatch)
            checkNotRun(index);
    }

    void endCall(unsigned index, ClaimState state, Home& home, std::optional<RetainedResponse> response = std::nullopt)
    {
        auto& call = calls_[index];
        call.phase = Phase::Ended;
        if (call.isKeyed)
            home.shard.complete({call.work, call.token, state, std::move(response)});
    }

    void reportResponse(unsigned index, const std::string& body)
    {
        ++responses_;
        checkResponse(index, body);
        endCall(index, ClaimState::Done, homes_[index % homeCount], RetainedResponse{200, {}, body});
    }

    void reportNotRun(unsigned index)
    {
        checkNotRun(index);
        endCall(index, ClaimState::NotRun, homes_[index % homeCount]);
    }

    void reportUnknown(unsigned index) { endCall(index, ClaimState::Unknown, homes_[index % homeCount]); }

    void execute(unsigned index)
    {
        executedCalls_.insert(index);
        if (!executedWork_.insert(calls_[index].work).second)
            violation_ = "ran twice: " + calls_[index].work;
        if (reportedNotRun_.contains(index))
            violation_ = "ran after it was reported as not run";
    }

    void checkNotRun(unsigned index)
    {
        reportedNotRun_.insert(index);
        if (executedCalls_.contains(index))
            violation_ = "reported as not run, but ran";
    }

    void checkResponse(unsigned index, const std::string& body)
    {
        if (body != calls_[index].work)
            violation_ = "wrong response";
    }

    Mistake mistake_;
    Support::Instant now_{std::chrono::seconds(1)};
    std::vector<Call> calls_;
    std::array<Guard, guardCount> guards_;
    std::array<Home, homeCount> homes_;
    std::vector<Message> messages_;
    std::optional<std::string> stored_;
    std::uint64_t storedVersion_ = 0;
    std::vector<LateWrite> lateWrites_;
    std::uint64_t nextCounter_ = 1;
    std::uint64_t nextRequest_ = 1;
    std::uint64_t nextQuery_ = 1;
    std::set<unsigned> executedCalls_;
    std::set<std::string> executedWork_;
    std::set<unsigned> reportedNotRun_;
    unsigned responses_ = 0;
    std::string violation_;
};

} // namespace balsamreel::AtMostOnce
