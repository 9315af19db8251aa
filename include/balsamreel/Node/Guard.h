// The guard: the proxy in front of this node's own servers.
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

/// Serves the attempts that entries send to this node's servers: admits them, forwards them and records their outcome.
class Guard {
public:
    explicit Guard(Context& context)
        : context_(context)
    {
    }

    /// Handles a server's announcement. Returns the number of calls that are queued for this server or run on it.
    std::size_t announce(Support::Instant now, const Announcement&);

    /// Returns the servers to be announced to other nodes.
    std::vector<Wire::ServerRecord> records() const;

    /// Handles one attempt.
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

    /// Responds to a query for the state of an attempt.
    void handleQuery(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

    /// Returns the load of a local server, or nothing if there is no such server.
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
    struct Call; ///< the state of one attempt
    class AttemptCompletion; ///< completes an attempt and frees its slot when its handler returns, on every path

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
