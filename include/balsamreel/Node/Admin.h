// HTTP handlers of the admin address, for the announcements of servers and for operators.
#pragma once

#include "balsamreel/Node/ConfigFollower.h"
#include "balsamreel/Node/Context.h"
#include "balsamreel/Node/Gossip.h"
#include "balsamreel/Node/Guard.h"

namespace balsamreel::Node {

/// Serves POST /v1/announce and GET /v1/status, /v1/metrics, /v1/timeline, /v1/explain.
class Admin {
public:
    Admin(Context& context, Guard& guard, Gossip& gossip, ConfigFollower& follower)
        : context_(context)
        , guard_(guard)
        , gossip_(gossip)
        , follower_(follower)
    {
    }

    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

private:
    void handleAnnounce(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleStatus(Poco::Net::HTTPServerResponse&);
    void handleTimeline(Poco::Net::HTTPServerResponse&);
    void handleExplain(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

    Context& context_;
    Guard& guard_;
    Gossip& gossip_;
    ConfigFollower& follower_;
};

} // namespace balsamreel::Node
