// Queries for the state of an attempt, sent by the entry to the guard, each over a new connection.
#pragma once

#include "balsamreel/AtMostOnce/OutcomeResolver.h"
#include "balsamreel/Node/Context.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <mutex>
#include <optional>

namespace balsamreel::Node {

/// Identifies an attempt that an entry has sent to a guard.
struct SentAttempt {
    Wire::AttemptId id;
    Support::Endpoint guard;
    std::uint64_t guardIncarnation = 0;
    Support::Instant deadline;
};

/// Guard side: responds to a query, and revokes the attempt if the query requests it.
void handleAttemptQuery(std::mutex&, AtMostOnce::AttemptTable&, std::uint64_t incarnation, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

/// Entry side: finds out the outcome of an attempt whose own connection delivers no response.
class AttemptRecovery {
public:
    AttemptRecovery(Context& context, const SentAttempt& attempt, bool isAtMostOnce)
        : context_(context)
        , attempt_(attempt)
        , resolver_(attempt.deadline, isAtMostOnce)
    {
    }

    /// Queries the guard; called while the attempt's connection is silent. Returns the time until the next check, or
    /// nothing once there is a verdict.
    std::optional<Support::Duration> check();

    /// The duration of silence before the next check.
    Support::Duration nextCheck() { return resolver_.nextInterval(); }

    /// Abandons the attempt's connection and queries the guard until there is a verdict.
    AtMostOnce::Verdict queryUntilResolved();

    AtMostOnce::Verdict verdict() const { return verdict_; }

    /// The retained response; valid if the verdict is Deliver.
    const AtMostOnce::RetainedResponse& retainedResponse() const { return retainedResponse_; }

private:
    void query();
    AtMostOnce::QueryReply exchange(bool isRevocation);

    Context& context_;
    SentAttempt attempt_;
    AtMostOnce::OutcomeResolver resolver_;
    AtMostOnce::Verdict verdict_ = AtMostOnce::Verdict::Pending;
    AtMostOnce::RetainedResponse retainedResponse_;
};

} // namespace balsamreel::Node
