// Random operations on the admission controller, checked against a simple oracle: slots, lanes, order, deadlines,
// fairness.
#include "balsamreel/Admission/AdmissionController.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace balsamreel::Admission {
namespace {

using namespace std::chrono_literals;
using Support::Duration;
using Support::Instant;

enum class Operation : std::uint8_t { SubmitShort,
    SubmitLong,
    Finish,
    Fail,
    Cancel,
    Advance,
    Reconfigure };

struct Step {
    Operation operation = Operation::Advance;
    unsigned pick = 0; ///< selects a ticket, or the field values of a new ticket
};

/// Tracks every ticket in plain maps and checks the controller after each step.
class Oracle {
public:
    explicit Oracle(AdmissionOptions options)
        : options_(options)
        , controller_(options)
    {
    }

    void apply(const Step& step)
    {
        switch (step.operation) {
        case Operation::SubmitShort:
            return submit(step.pick, LaneHint::Short);
        case Operation::SubmitLong:
            return submit(step.pick, LaneHint::Long);
        case Operation::Finish:
        case Operation::Fail:
            return finish(step.pick, step.operation == Operation::Finish);
        case Operation::Cancel:
            return cancel(step.pick);
        case Operation::Advance:
            now_ += Duration((step.pick % 50) * 1000);
            return take(controller_.tick(now_));
        case Operation::Reconfigure:
            options_.slots = 1 + step.pick % 9;
            options_.longShare = (step.pick % 5) / 4.0;
            controller_.setOptions(options_);
            return take(controller_.tick(now_));
        }
    }

    void check()
    {
        auto load = controller_.load(now_);
        RC_ASSERT(load.running == running_.size());
        RC_ASSERT(load.queued == waiting_.size());
        // The controller is work-conserving: no ticket waits that may run.
        bool hasSlot = running_.size() < load.limit;
        RC_ASSERT(!hasSlot || count(waiting_, LaneHint::Short) == 0);
        bool hasLongSlot = hasSlot && count(running_, LaneHint::Long) < load.longLimit;
        RC_ASSERT(!hasLongSlot || count(waiting_, LaneHint::Long) == 0);
        RC_ASSERT(load.limit < 2 || load.longLimit < load.limit);
        RC_ASSERT(load.longLimit <= std::max(1.0, load.limit * options_.longShare));
    }

private:
    using Tickets = std::map<std::uint64_t, Ticket>;

    static std::size_t count(const Tickets& tickets, LaneHint hint)
    {
        return static_cast<std::size_t>(std::ranges::count_if(tickets, [&](const auto& entry) { return entry.second.hint == hint; }));
    }

    static std::uint64_t pickFrom(const Tickets& tickets, unsigned pick) { return std::next(tickets.begin(), pick % tickets.size())->first; }

    void submit(unsigned pick, LaneHint hint)
    {
        Ticket ticket;
        ticket.id = nextId_++;
        ticket.hint = hint;
        ticket.route = hint == LaneHint::Long ? "long" : "short";
        ticket.caller = std::to_string(pick % 4);
        ticket.depth = pick / 4 % 3;
        ticket.priority = pick / 12 % 3;
        ticket.deadline = now_ + Duration((pick / 36 % 40) * 10'000);
        auto decision = controller_.submit(now_, ticket);
        if (std::holds_alternative<Queued>(decision))
            waiting_[ticket.id] = ticket;
        take(controller_.takeEvicted());
        if (std::holds_alternative<Admitted>(decision))
            admit(ticket);
    }

    void admit(const Ticket& ticket)
    {
        RC_ASSERT(ticket.deadline > now_);
        running_[ticket.id] = ticket;
        auto load = controller_.load(now_);
        RC_ASSERT(running_.size() <= load.limit);
        RC_ASSERT(ticket.hint == LaneHint::Short || count(running_, LaneHint::Long) <= load.longLimit);
        for (const auto& [id, other] : waiting_)
            RC_ASSERT(other.hint != ticket.hint || std::pair(-static_cast<int>(ticket.depth), ticket.priority) <= std::pair(-static_cast<int>(other.depth), other.priority));
    }

    void take(const std::vector<Resolution>& resolutions)
    {
        // Process refusals first; the order of resolutions at the same instant is not observable.
        for (const auto& resolution : resolutions) {
            RC_ASSERT(waiting_.contains(resolution.ticket));
            if (std::holds_alternative<Refused>(resolution.decision))
                waiting_.erase(resolution.ticket);
        }
        for (const auto& resolution : resolutions) {
            if (!std::holds_alternative<Admitted>(resolution.decision))
                continue;
            auto ticket = waiting_.at(resolution.ticket);
            waiting_.erase(resolution.ticket);
            admit(ticket);
        }
    }

    void finish(unsigned pick, bool hasSucceeded)
    {
        if (running_.empty())
            return;
        auto id = pickFrom(running_, pick);
        running_.erase(id);
        take(controller_.finish(now_, id, hasSucceeded));
        RC_ASSERT(controller_.finish(now_, id, hasSucceeded).empty());
    }

    void cancel(unsigned pick)
    {
        if (waiting_.empty())
            return;
        auto id = pickFrom(waiting_, pick);
        waiting_.erase(id);
        controller_.cancel(id);
    }

    AdmissionOptions options_;
    AdmissionController controller_;
    Instant now_{1s};
    std::uint64_t nextId_ = 1;
    Tickets running_;
    Tickets waiting_;
};

rc::Gen<Step> stepGenerator()
{
    auto operation = rc::gen::weightedElement<Operation>({{6, Operation::SubmitShort}, {4, Operation::SubmitLong}, {6, Operation::Finish}, {1, Operation::Fail}, {1, Operation::Cancel}, {3, Operation::Advance}, {1, Operation::Reconfigure}});
    return rc::gen::map(rc::gen::pair(operation, rc::gen::inRange(0U, 100'000U)), [](const auto& pair) { return Step{pair.first, pair.second}; });
}

TEST(AdmissionControllerFuzz, SlotsLanesOrderAndDeadlinesHold)
{
    bool holds = rc::check([] {
        AdmissionOptions options;
        options.slots = *rc::gen::inRange(1U, 9U);
        options.longShare = *rc::gen::inRange(0, 5) / 4.0;
        options.maximumQueueWait = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        Oracle oracle(options);
        for (const auto& step : *rc::gen::scale(4, rc::gen::container<std::vector<Step>>(stepGenerator()))) {
            oracle.apply(step);
            oracle.check();
        }
    });
    EXPECT_TRUE(holds);
}

TEST(AdmissionControllerFuzz, CallersThatAllWaitAreServedWithinTwoCallsOfEachOther)
{
    bool holds = rc::check([] {
        // A standing queue holds about as many calls as there are slots, so it has room for all callers.
        auto slots = *rc::gen::inRange(3U, 8U);
        auto callers = *rc::gen::inRange(2U, slots);
        AdmissionController controller({.slots = slots, .maximumQueueWait = 1h});
        Instant now{};
        std::uint64_t nextId = 1;
        std::map<std::uint64_t, unsigned> callerOf;
        std::vector<unsigned> waiting(callers);
        std::vector<unsigned> served(callers);
        std::vector<std::uint64_t> running;
        auto submit = [&](unsigned caller) {
            Ticket ticket{.id = nextId++, .route = "r", .caller = std::to_string(caller), .hint = LaneHint::Short, .deadline = now + 1h};
            callerOf[ticket.id] = caller;
            auto decision = controller.submit(now, ticket);
            waiting[caller] += std::holds_alternative<Queued>(decision) ? 1 : 0;
            for (const auto& evicted : controller.takeEvicted())
                --waiting[callerOf[evicted.ticket]];
            if (std::holds_alternative<Admitted>(decision))
                running.push_back(ticket.id);
        };
        // Shares are measured in service time, so one call has to finish first.
        submit(0);
        now += Duration(10'000 * slots);
        controller.finish(now, running.back(), true);
        running.clear();
        // Stagger the first calls, so that all have the same service time.
        for (unsigned slot = 0; slot < slots; ++slot, now += Duration(10'000))
            submit(0);
        now -= Duration(10'000);
        // One greedy caller fills the queue first; each other caller keeps one call queued.
        for (unsigned count = 0; count < 8 * slots; ++count)
            submit(0);
        auto rounds = *rc::gen::inRange(20U, 200U);
        for (unsigned round = 0; round < rounds; ++round) {
            now += Duration(10'000);
            for (unsigned caller = 0; caller < callers; ++caller) {
                auto extra = caller == 0 ? *rc::gen::inRange(0U, 4U) : 0;
                for (unsigned count = waiting[caller] == 0 ? 1 : extra; count > 0; --count)
                    submit(caller);
            }
            auto ended = running.front();
            running.erase(running.begin());
            for (const auto& resolution : controller.finish(now, ended, true)) {
                RC_ASSERT(std::holds_alternative<Admitted>(resolution.decision));
                auto caller = callerOf[resolution.ticket];
                --waiting[caller];
                ++served[caller];
                running.push_back(resolution.ticket);
            }
        }
        auto [least, most] = std::ranges::minmax(served);
        RC_ASSERT(most - least <= 2U);
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace balsamreel::Admission
