// balsamd: the daemon that runs on each VM beside an upstream server.
#include "balsamreel/Node/Daemon.h"
#include "balsamreel/Support/Log.h"
#include "balsamreel/Support/Settings.h"
#include "balsamreel/Support/Signals.h"

#include <Poco/Exception.h>

using namespace balsamreel;
using Support::SettingKind;

namespace {

std::vector<Support::SettingSpec> settingSpecs()
{
    return {
        {.flag = "node", .environment = "BALSAMD_NODE", .help = "name of this node, unique in the deployment", .isRequired = true},
        {.flag = "listen", .environment = "BALSAMD_LISTEN", .kind = SettingKind::Endpoint, .help = "address for callers", .isRequired = true},
        {.flag = "peer", .environment = "BALSAMD_PEER", .kind = SettingKind::Endpoint, .help = "address for other nodes, TCP and UDP", .isRequired = true},
        {.flag = "peer-bind", .environment = "BALSAMD_PEER_BIND", .kind = SettingKind::Endpoint, .help = "TCP bind address if a relay accepts the connections to --peer and forwards them"},
        {.flag = "admin", .environment = "BALSAMD_ADMIN", .kind = SettingKind::Endpoint, .help = "address for servers' announcements and operators", .isRequired = true},
        {.flag = "domain", .environment = "BALSAMD_DOMAIN", .fallback = "domain-1", .help = "failure domain of this VM"},
        {.flag = "region", .environment = "BALSAMD_REGION", .fallback = "region-1", .help = "region of this VM"},
        {.flag = "deployment", .environment = "BALSAMD_DEPLOYMENT", .fallback = "balsam", .help = "prefix of the deployment's objects in the store"},
        {.flag = "store", .environment = "BALSAMD_STORE", .kind = SettingKind::Endpoint, .help = "address of the object store"},
        {.flag = "seeds", .environment = "BALSAMD_SEEDS", .kind = SettingKind::EndpointList, .help = "peer addresses of some other nodes"},
        {.flag = "policy", .environment = "BALSAMD_POLICY", .fallback = "balanced", .help = "naive: round robin without limits, the baseline", .choices = {"balanced", "naive"}},
        {.flag = "grace-ms", .environment = "BALSAMD_GRACE_MS", .kind = SettingKind::Integer, .fallback = "30000", .minimum = 0, .maximum = 3'600'000, .unit = "milliseconds", .help = "longest wait for calls in flight at shutdown"},
        {.flag = "max-connections", .environment = "BALSAMD_MAX_CONNECTIONS", .kind = SettingKind::Integer, .fallback = "600", .minimum = 8, .maximum = 20'000, .help = "open connections per address"},
        {.flag = "log-level", .environment = "BALSAMD_LOG_LEVEL", .fallback = "info", .help = "lines below this level are dropped", .choices = {"debug", "info", "warning", "error"}},
    };
}

Support::LogLevel logLevelOf(const std::string& name)
{
    if (name == "debug")
        return Support::LogLevel::Debug;
    if (name == "warning")
        return Support::LogLevel::Warning;
    return name == "error" ? Support::LogLevel::Error : Support::LogLevel::Info;
}

Node::NodeSettings nodeSettings(const Support::Settings& settings)
{
    Node::NodeSettings node;
    node.node = settings.text("node");
    node.domain = settings.text("domain");
    node.region = settings.text("region");
    node.deployment = settings.text("deployment");
    node.listen = settings.endpoint("listen");
    node.peer = settings.endpoint("peer");
    node.peerBind = settings.optionalEndpoint("peer-bind");
    node.admin = settings.endpoint("admin");
    node.store = settings.optionalEndpoint("store");
    node.seeds = settings.endpoints("seeds");
    node.isNaive = settings.text("policy") == "naive";
    node.grace = std::chrono::milliseconds(settings.integer("grace-ms"));
    node.maximumCallers = static_cast<unsigned>(settings.integer("max-connections"));
    return node;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    Support::blockTerminationSignals();
    auto settings = Support::readSettings({"balsamd", "One node of the load balancer: serves callers, guards the local server, takes part in the membership and follows the configuration.", ""}, settingSpecs(), argumentCount, const_cast<const char**>(arguments));
    Support::setLogSource("balsamd/" + settings.text("node"));
    Support::setLogLevel(logLevelOf(settings.text("log-level")));
    try {
        Node::Daemon daemon(nodeSettings(settings));
        daemon.start();
        Support::waitForTerminationSignal();
        daemon.drain();
    } catch (const Poco::Exception& error) {
        Support::log(Support::LogLevel::Error, "failed", "error=\"{}\"", error.displayText());
        return 1;
    }
    return 0;
}
