// The entry for callers.
#pragma once

#include "balsamreel/Node/AttemptQuery.h"
#include "balsamreel/Node/Context.h"
#include "balsamreel/Node/KeyClaims.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamreel::Node {

/// Matches a call to its route, selects a server, sends an attempt to the server's guard and relays the response.
class Entry {
public:
    Entry(Context& context, KeyClaims& claims)
        : context_(context)
        , claims_(claims)
    {
    }

    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

private:
    struct Call; ///< the state of one caller's request
    enum class Step : std::uint8_t { Finished,
        Retry };

    bool readCall(Call&);
    bool claimKey(Call&);
    static void recordOutcome(Call&, AtMostOnce::ClaimState, std::optional<AtMostOnce::RetainedResponse> = std::nullopt);
    Step attempt(Call&, const Balance::Choice&);
    Step onError(Call&, std::error_code, AttemptRecovery&);
    Step onVerdict(Call&, const AttemptRecovery&, std::error_code);
    Step deliver(Call&, Exchange&, const Poco::Net::HTTPResponse&, AttemptRecovery&);
    Step onRefusal(Call&, Exchange&, const Poco::Net::HTTPResponse&, const RequestBody&);
    SentAttempt fillRequest(const Call&, const Balance::Choice&, Poco::Net::HTTPRequest&);
    bool mayAttempt(Call&, Support::Instant now);
    static PolicyCall policyCall(const Call&);
    void giveUp(Call&, const std::string& reason);
    void sendUnknown(Call&, const std::string& reason);

    Context& context_;
    KeyClaims& claims_;
};

} // namespace balsamreel::Node
