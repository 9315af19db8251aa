// Queries for the state of an attempt, between entry and guard, each over a new connection.
#pragma once

#include "balsamreel/AtMostOnce/OutcomeResolver.h"
#include "balsamreel/Node/Context.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <mutex>
#include <optional>

namespace balsamreel::Node {

/// An attempt as its entry sent it.
struct SentAttempt {
    Wire::AttemptId id;
    Support::Endpoint guard;
    std::uint64_t guardIncarnation = 0;
    Support::Instant deadline;
};

/// The guard's side: answers a query, and revokes if it asks for that.
void handleAttemptQuery(std::mutex&, AtMostOnce::AttemptTable&, std::uint64_t incarnation, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

/// The entry's side: finds out what became of an attempt.
class AttemptRecovery {
public:
    AttemptRecovery(Context& context, const SentAttempt& attempt, bool isAtMostOnce)
        : context_(context)
        , attempt_(attempt)
        , inquiry_(attempt.deadline, isAtMostOnce)
    {
    }

    /// Run while the attempt's connection is silent: asks the guard. Gives the time until the next check, or nothing
    /// if the verdict is there.
    std::optional<Support::Duration> check();

    /// Time of silence before the next check.
    Support::Duration nextCheck() { return inquiry_.nextInterval(); }

    /// Asks until a verdict is there; the connection is given up.
    AtMostOnce::Verdict queryUntilResolved();

    AtMostOnce::Verdict verdict() const { return verdict_; }

    /// The retained answer, if the verdict is to deliver it.
    const AtMostOnce::RetainedResponse& retainedResponse() const { return retainedResponse_; }

private:
    void query();
    AtMostOnce::QueryReply exchange(bool isRevocation);

    Context& context_;
    SentAttempt attempt_;
    AtMostOnce::OutcomeResolver inquiry_;
    AtMostOnce::Verdict verdict_ = AtMostOnce::Verdict::Pending;
    AtMostOnce::RetainedResponse retainedResponse_;
};

} // namespace balsamreel::Node
