// Decides when an idempotent call that takes unusually long gets a second attempt at another server. No I/O and no clock.
#pragma once

#include "balsamreel/Relay/Model.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamreel::Relay {

/// Why a second attempt is or is not sent.
enum class SecondAttemptVerdict : std::uint8_t { Send,
    DeadlineTooNear, ///< the time left can't hold a typical response
    NoRoom, ///< the servers of the service are short of free slots
    ShareUsed, ///< the operator's limit
    RetryBudgetUsed }; ///< the budget that is shared with retries

constexpr Support::NameTable<SecondAttemptVerdict, 5> secondAttemptVerdictNames{{{SecondAttemptVerdict::Send, "send"}, {SecondAttemptVerdict::DeadlineTooNear, "deadline-too-near"}, {SecondAttemptVerdict::NoRoom, "no-room"}, {SecondAttemptVerdict::ShareUsed, "share-used"}, {SecondAttemptVerdict::RetryBudgetUsed, "retry-budget-used"}}};

/// How many servers of a service have a free slot, as last reported.
struct ServiceRoom {
    std::size_t servers = 0;
    std::size_t withFreeSlots = 0;
};

/// A call whose attempt has been open for longer than delay().
struct SlowCall {
    const std::string& route;
    const std::string& service;
    Instant deadline;
    ServiceRoom room;
};

/// Learns how long the responses of each route take, and limits second attempts to a share of the idempotent requests.
class SecondAttemptPolicy {
public:
    /// share is the number of second attempts per idempotent request; 0 turns them off.
    explicit SecondAttemptPolicy(double share);

    bool isEnabled() const { return share_ > 0; }

    /// Counts an idempotent request, which raises the allowance.
    void recordRequest();

    /// Records the time that a route took to respond.
    void recordLatency(const std::string& route, Duration);

    /// Records that an attempt was cancelled without a response after this time.
    void recordCancellation(const std::string& route, Duration elapsed);

    /// Records that a server did not run an attempt.
    void recordRefusal(Instant now, const std::string& service, Reason);

    /// Forgets the routes that are not among these.
    void retainRoutes(const std::vector<Route>&);

    /// Time after which an open attempt is unusually slow; nullopt while too few responses are known.
    std::optional<Duration> delay(const std::string& route) const;

    /// Whether a second attempt may be sent. Does not consume the allowance.
    SecondAttemptVerdict decide(Instant now, const SlowCall&) const;

    /// Consumes the allowance for one second attempt.
    void recordSecondAttempt() { allowance_ -= 1; }

private:
    /// The most recent latencies of one route.
    struct RouteLatencies {
        std::vector<Duration> recent;
        std::size_t next = 0; ///< index that the next latency replaces once the window is full
        std::size_t unsorted = 0; ///< latencies since the quantiles were computed
        Duration typical{};
        Duration slow{};
    };

    static void computeQuantiles(RouteLatencies&);
    const RouteLatencies* learned(const std::string& route) const;
    bool hasRoom(Instant now, const SlowCall&) const;

    double share_;
    double allowance_ = 0; ///< second attempts that may be sent now
    std::unordered_map<std::string, RouteLatencies> routes_;
    std::unordered_map<std::string, Instant> lackedRoomAt_; ///< by service
};

} // namespace balsamreel::Relay
