// The guard in front of the local servers: admits, runs, remembers and answers attempts.
#pragma once

#include "balsamreel/Admission/AdmissionController.h"
#include "balsamreel/AtMostOnce/AttemptTable.h"
#include "balsamreel/Node/Announcement.h"
#include "balsamreel/Node/Context.h"
#include "balsamreel/Node/SlowdownTable.h"
#include "balsamreel/Wire/Messages.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace balsamreel::Node {

/// Serves the calls that entries send to this node's servers.
class Guard {
public:
    explicit Guard(Context& context)
        : context_(context)
    {
    }

    /// Takes a server's announcement; gives the calls that wait for this server or run on it.
    std::size_t announce(Support::Instant now, const Announcement&);

    /// The servers as other nodes shall know them.
    std::vector<Wire::ServerRecord> records() const;

    /// Handles one attempt.
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

    /// Answers a query for the state of an attempt.
    void handleQuery(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

    /// The load of one of its servers; nothing if it guards no such server.
    std::optional<Wire::LoadReport> report(const Wire::LoadProbe&) const;

    /// Refuses all new work from now on.
    void drainAll();

    void tick(Support::Instant now);

private:
    struct Waiter {
        std::condition_variable resolved;
        std::optional<Admission::Decision> decision;
    };
    struct LocalServer {
        Wire::ServerRecord record;
        Support::Instant leaseEnd;
        Admission::AdmissionController admission;
        std::map<std::uint64_t, Waiter*> waiters;
    };
    struct Call; ///< one attempt on its way through the guard
    class AttemptCompletion; ///< settles an attempt and frees its slot, whatever way its handler ends

    std::optional<Call> readCall(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    Admission::Decision admit(Call&, Poco::Net::HTTPServerRequest&);
    bool dispatch(const Call&);
    void run(Call&, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void finish(Call&, bool hasSucceeded);
    void complete(Call&);
    void onServerError(const Call&, std::error_code, Poco::Net::HTTPServerResponse&);
    void relayAndRetain(const Call&, Exchange&, const Poco::Net::HTTPResponse&, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void refuse(const Call&, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&, const Admission::Refused&);
    std::optional<Wire::LoadStamp> loadStampOf(const Support::Endpoint&) const;
    void setLoadHeader(const Call&, Poco::Net::HTTPServerResponse&, Support::Duration minimumWait = {});
    bool divert(const Call&, const Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    static void wake(LocalServer&, const std::vector<Admission::Resolution>&);
    Admission::AdmissionOptions admissionOptions(const Wire::ServerRecord&) const;

    Context& context_;
    mutable std::mutex mutex_;
    std::map<Support::Endpoint, LocalServer> servers_;
    AtMostOnce::AttemptTable attempts_;
    SlowdownTable slowdowns_;
    std::uint64_t nextTicket_ = 1;
    bool isDraining_ = false;
};

} // namespace balsamreel::Node
