#include "Deployment.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace balsamreel::Review {

namespace {

using namespace std::chrono_literals;

constexpr auto forever = 1h; // a stand-in's connection ends with the process at the latest
constexpr auto heartbeatInterval = 1500ms;
// Each machine has an address of its own, so all machines use the same ports. They are below the range from which the system
// assigns ports to outgoing connections.
constexpr std::uint16_t backendPort = 8100;
constexpr std::uint16_t outboundPort = 8200;
constexpr std::uint16_t readinessPort = 8300;
constexpr std::uint16_t controlPort = 8400;
constexpr std::uint16_t peerPort = 8500; // the next one serves the node's metrics
constexpr std::uint16_t peerBindPort = 8600;
constexpr std::uint16_t storePort = 8700;
constexpr std::uint16_t portsPerRange = 16;
constexpr const char* nodeProgram = "target/bin/balsam-node"; // the command of the deploy file

/// Starts a thread that serves each connection of the listener with a thread of its own.
template <typename Serve>
void serveAll(const Listener& listener, Serve serve)
{
    std::thread([&listener, serve] {
        for (;;) {
            auto connection = listener.accept();
            if (!connection.isOpen())
                continue;
            std::thread([serve](Connection accepted) { serve(std::move(accepted)); }, std::move(connection)).detach();
        }
    }).detach();
}

unsigned long numberAfter(const std::string& text, const std::string& key, unsigned long fallback)
{
    auto found = text.find(key);
    return found == std::string::npos ? fallback : std::strtoul(text.c_str() + found + key.size(), nullptr, 10);
}

std::string jsonText(const rapidjson::Value& value)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create a temporary folder");
    return pattern;
}

} // namespace

void Record::line(const std::string& text)
{
    std::lock_guard lock(mutex_);
    file_ << std::fixed << std::setprecision(3) << std::setw(8) << seconds() << " s  " << text << std::endl;
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - start_).count();
}

bool hasTrouble()
{
    const auto* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

PlatformStore::PlatformStore(const std::string& ip)
    : listener_(ip, storePort)
{
    serveAll(listener_, [this](Connection connection) { serve(std::move(connection)); });
}

void PlatformStore::put(const std::string& kind, const std::string& name, const std::string& spec)
{
    std::lock_guard lock(mutex_);
    change(kind, name, spec);
}

void PlatformStore::serve(Connection connection)
{
    while (auto request = connection.readMessage(Clock::now() + forever)) {
        if (!connection.send(respond(*request)))
            return;
    }
}

std::string PlatformStore::objectText(const std::string& name, const Object& object)
{
    return R"({"metadata":{"name":")" + name + R"(","rev":)" + std::to_string(object.revision) + R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":null})";
}

const PlatformStore::Object& PlatformStore::change(const std::string& kind, const std::string& name, const std::string& spec)
{
    auto& object = objects_[kind][name];
    if (object.spec == spec)
        return object;
    object = {++revision_, spec};
    changes_.push_back({revision_, kind, R"({"deleted":false,"object":)" + objectText(name, object) + "}"});
    changed_.notify_all();
    return object;
}

std::string PlatformStore::respond(const Message& request)
{
    constexpr std::string_view prefix = "/api/objects/";
    auto target = request.target();
    if (!target.starts_with(prefix))
        return responseText(404, "", "{}");
    auto question = target.find('?');
    auto path = target.substr(prefix.size(), question == std::string::npos ? question : question - prefix.size());
    auto query = question == std::string::npos ? std::string() : target.substr(question);
    auto slash = path.find('/');
    auto kind = path.substr(0, slash);
    std::unique_lock lock(mutex_);
    if (request.method() == "POST" || request.method() == "PUT")
        return write(request, kind);
    if (query.find("watch=") != std::string::npos)
        return watch(lock, kind, query);
    if (slash == std::string::npos)
        return list(kind);
    auto found = objects_[kind].find(path.substr(slash + 1));
    if (found == objects_[kind].end())
        return responseText(404, "", "{}");
    auto text = objectText(found->first, found->second);
    if (request.method() == "DELETE") {
        changes_.push_back({++revision_, kind, R"({"deleted":true,"object":)" + text + "}"});
        objects_[kind].erase(found);
        changed_.notify_all();
    }
    return responseText(200, "", text);
}

std::string PlatformStore::write(const Message& request, const std::string& kind)
{
    rapidjson::Document document;
    document.Parse(request.body.c_str());
    if (document.HasParseError() || !document.IsObject() || !document.HasMember("metadata") || !document.HasMember("spec"))
        return responseText(400, "", "{}");
    std::string name = document["metadata"]["name"].GetString();
    bool isKnown = objects_[kind].contains(name);
    if (request.method() == "POST" && isKnown)
        return responseText(409, "", objectText(name, objects_[kind][name]));
    if (request.method() == "PUT" && !isKnown)
        return responseText(404, "", "{}");
    return responseText(200, "", objectText(name, change(kind, name, jsonText(document["spec"]))));
}

std::string PlatformStore::watch(std::unique_lock<std::mutex>& lock, const std::string& kind, const std::string& query)
{
    auto since = numberAfter(query, "watch=", 0);
    auto end = Clock::now() + Millis(numberAfter(query, "wait_ms=", 0));
    std::string events;
    auto collect = [&] {
        for (const auto& change : changes_) {
            if (change.revision > since && change.kind == kind)
                events += (events.empty() ? "" : ",") + change.text;
        }
        return !events.empty();
    };
    changed_.wait_until(lock, end, collect);
    return responseText(200, "Content-Type: application/json\r\n", R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(revision_) + "}");
}

std::string PlatformStore::list(const std::string& kind)
{
    std::string items;
    for (const auto& [name, object] : objects_[kind])
        items += (items.empty() ? "" : ",") + objectText(name, object);
    return responseText(200, "Content-Type: application/json\r\n", R"({"items":[)" + items + R"(],"truncated":false,"as_of":)" + std::to_string(revision_) + "}");
}

Backend::Backend(const std::string& ip, std::string service, std::string instance, BackendOptions options, Record& record)
    : listener_(ip, backendPort)
    , service_(std::move(service))
    , instance_(std::move(instance))
    , options_(options)
    , record_(record)
    , bornMillis_(std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    serveAll(listener_, [this](Connection connection) { serve(std::move(connection)); });
}

void Backend::serve(Connection connection)
{
    {
        std::lock_guard lock(mutex_);
        if (hasEnded_)
            return;
        open_.insert(connection.descriptor());
    }
    while (auto request = connection.readMessage(Clock::now() + forever)) {
        if (!connection.send(respond(*request)))
            break;
    }
    std::lock_guard lock(mutex_);
    open_.erase(connection.descriptor());
}

// Connections that are made later are closed at once.
void Backend::end()
{
    std::lock_guard lock(mutex_);
    hasEnded_ = true;
    for (int descriptor : open_)
        ::shutdown(descriptor, SHUT_RDWR);
    record_.line("backend " + instance_ + " exits");
}

// What the backend says of itself in all its answers.
std::string Backend::statements()
{
    std::lock_guard lock(mutex_);
    std::string text = isLeaving_ ? "Server-Leaving: 1\r\n" : "";
    if (options_.tellsLoad)
        text += "Balsamreel-Backend-Load: " + std::to_string(running_) + ",0," + std::to_string(options_.slots) + ",100\r\n";
    return text;
}

void Backend::takeSlot()
{
    std::unique_lock lock(mutex_);
    slotFree_.wait(lock, [this] { return running_ < options_.slots; });
    ++running_;
}

void Backend::releaseSlot()
{
    std::lock_guard lock(mutex_);
    --running_;
    slotFree_.notify_one();
}

std::string Backend::respond(const Message& request)
{
    auto identity = "Balsamreel-Instance: " + instance_ + "\r\n";
    if (request.target() == "/health") {
        if (!options_.tellsLoad) {
            takeSlot();
            releaseSlot();
        }
        return responseText(isLeaving_ ? 503 : 200, identity + statements(), "");
    }
    auto id = request.header("balsamreel-attempt-id");
    auto echo = "Balsamreel-Attempt-Id: " + id + "\r\n";
    auto expected = request.header("balsamreel-expect-instance");
    if (!expected.empty() && expected != instance_) {
        record_.line("backend " + instance_ + " (" + service_ + ") answers 421 to " + id);
        return responseText(421, echo + identity + statements(), "");
    }
    {
        std::lock_guard lock(mutex_);
        ++arrivals_[id];
    }
    return run(request, id);
}

std::string Backend::run(const Message& request, const std::string& id)
{
    auto name = "backend " + instance_ + " (" + service_ + ")";
    auto text = id + ", " + request.method() + " " + request.target() + ", body of " + std::to_string(request.body.size()) + " bytes";
    record_.line(name + " gets " + text);
    auto deadline = Clock::now() + Millis(numberAfter(request.header("balsamreel-timeout-ms"), "", 0));
    auto echo = "Balsamreel-Attempt-Id: " + id + "\r\n";
    takeSlot();
    if (Clock::now() >= deadline) {
        releaseSlot();
        return responseText(503, echo + "Balsamreel-Not-Run: 1\r\n" + statements(), "");
    }
    {
        std::lock_guard lock(mutex_);
        if (hasEnded_)
            return {};
        ++runs_[id];
    }
    record_.line(name + " runs " + id);
    auto end = Clock::now() + Millis(numberAfter(request.target(), "work-", 5));
    std::this_thread::sleep_until(std::min(end, deadline));
    releaseSlot();
    echo += "Balsamreel-Reply-Stamp: proof-of-" + id + "\r\n" + statements();
    if (end > deadline)
        return responseText(504, echo, "");
    return responseText(200, echo, std::string(numberAfter(request.target(), "bytes-", 100), 'x'));
}

unsigned Backend::runCount(const std::string& id)
{
    std::lock_guard lock(mutex_);
    return runs_[id];
}

unsigned Backend::arrivalCount(const std::string& id)
{
    std::lock_guard lock(mutex_);
    return arrivals_[id];
}

void Backend::announceTo(const Address& control)
{
    control_ = control;
    std::thread([this] { announce(); }).detach();
}

bool Backend::tell(const std::string& call, const std::string& body) const
{
    auto connection = Connection::connectTo(control_);
    bool isSent = connection.isOpen() && connection.send("POST /api/Instances." + call + "/" + instance_ + " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    auto answer = isSent ? connection.readMessage(Clock::now() + 1s) : std::nullopt;
    return answer && answer->status() >= 200 && answer->status() < 300;
}

// Returns nothing once the backend leaves.
std::string Backend::nextCheckIn()
{
    std::lock_guard lock(mutex_);
    if (isLeaving_)
        return {};
    return R"({"address":")" + address().text() + R"(","born":)" + std::to_string(bornMillis_) + R"(,"info":{"service":")" + service_ + R"(","version":"v1","zone":"z1","slots":)" + std::to_string(options_.slots) + R"(},"status":{"state":"ready","seq":)" + std::to_string(++sequence_) + R"(,"cold_time":"0ms"}})";
}

void Backend::announce()
{
    for (auto checkIn = nextCheckIn(); !checkIn.empty(); checkIn = nextCheckIn()) {
        bool isAcknowledged = tell("Heartbeat", checkIn);
        std::this_thread::sleep_for(isAcknowledged ? Millis(heartbeatInterval) : 200ms);
    }
}

bool Backend::leave()
{
    lateCheckIn_ = nextCheckIn();
    record_.line("backend " + instance_ + " makes check-in " + std::to_string(sequence_) + ", state ready; it is delayed on its way");
    {
        std::lock_guard lock(mutex_);
        isLeaving_ = true;
    }
    bool isAcknowledged = tell("Deregister", R"({"born":)" + std::to_string(bornMillis_) + "}");
    record_.line("backend " + instance_ + " deregisters and goes on serving" + (isAcknowledged ? "; the node has acknowledged it" : ""));
    return isAcknowledged;
}

bool Backend::deliverLateCheckIn()
{
    bool isAcknowledged = tell("Heartbeat", lateCheckIn_);
    record_.line("the delayed check-in of backend " + instance_ + " arrives" + (isAcknowledged ? "; the node has acknowledged it" : ""));
    return isAcknowledged;
}

Machine::Machine(unsigned number, const MachineOptions& options, const Address& store, const std::string& folder, Record& record)
    : name_("machine-" + std::to_string(number))
    , zone_(options.zone)
    , ip_(machineIp(number))
    , settingsPath_(folder + "/" + name_ + ".toml")
    , logPath_(folder + "/" + name_ + ".log")
    , outbound_(freeAddress(ip_, outboundPort))
    , readiness_(freeAddress(ip_, readinessPort))
    , control_(freeAddress(ip_, controlPort))
    , backend_(std::make_unique<Backend>(ip_, options.service, "i-" + std::to_string(number), options.backend, record))
{
    // The node announces the first port of its range to the others.
    if (options.hasPeerRelay) {
        peerBind_ = freeAddress(ip_, peerBindPort);
        peerRelay_ = std::make_unique<Relay>(ip_, *peerBind_);
        firstPort_ = peerRelay_->address().port;
    } else
        firstPort_ = freeAddress(ip_, peerPort).port;
    writeSettings(options.store.value_or(store));
    backend_->announceTo(control_);
}

void Machine::writeSettings(const Address& store) const
{
    std::ofstream file(settingsPath_);
    auto address = [this](const Address& value) { return "\"" + ip_ + ":" + std::to_string(value.port) + "\"\n"; };
    file << "[self]\nnode_name = \"" << name_ << "\"\nrole = \"node\"\nclass = \"sidecar\"\nserves = [\"sidecar\"]\nip = \"" << ip_ << "\"\nzone = \"" << zone_ << "\"\nregion = \"r1\"\nbootstrap = true\n"
         << "upstream = \"" << backend_->address().text() << "\"\nservice = \"" << backend_->service() << "\"\n"
         << "[self.limits]\ncpu_share = 0.2\ncpus = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
         << "[network]\nport_range = [" << firstPort_ << "," << firstPort_ + portsPerRange - 1 << "]\nseeds = []\n"
         << "[network.listen]\noutbound = " << address(outbound_) << "readiness = " << address(readiness_) << "control = " << address(control_)
         << "[platform]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeat = \"1500ms\"\n"
         << "[platform.platform]\naddress = \"" << store.text() << "\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory = \"20s\"\nvalue_bytes = 1048576\nttl_min = \"1000ms\"\n"
         << "[terms.bounds]\ncontact = \"3000ms\"\ndrain = \"2000ms\"\ngrace = \"6s\"\nlost_time = \"200ms\"\nconverge = \"2000ms\"\nretry_ratio = 0.2\nbudget_window = \"10s\"\nretry_slack = 62\nprobes_per_s = 60\n";
}

void Machine::startNode()
{
    // Prepared before the fork: the new process may only call functions that are safe after a fork of several threads.
    auto setting = "BALSAMREEL_NODE_FILE=" + settingsPath_;
    auto bind = "BALSAMREEL_PEER_BIND=" + (peerBind_ ? peerBind_->text() : std::string());
    std::array<const char*, 3> environment{setting.c_str(), peerBind_ ? bind.c_str() : nullptr, nullptr};
    std::array<const char*, 2> command{nodeProgram, nullptr};
    int log = ::open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    auto pid = ::fork();
    if (pid < 0)
        throw std::runtime_error("cannot start a process");
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // so that the node never outlives the case
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(nodeProgram, const_cast<char* const*>(command.data()), const_cast<char* const*>(environment.data()));
        ::_exit(cannotRun);
    }
    ::close(log);
    pid_ = pid;
}

void Machine::signalNode(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

void Machine::killNode()
{
    signalNode(SIGKILL);
    if (pid_ > 0)
        ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

bool Machine::isNodeRunning()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
        pid_ = -1;
    return pid_ > 0;
}

std::uint64_t Machine::peakMemory() const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:"))
            return numberAfter(line, "VmHWM:", 0) * 1024;
    }
    return 0;
}

bool Machine::isReady() const
{
    auto connection = Connection::connectTo(readiness_);
    if (!connection.isOpen() || !connection.send("GET /api/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"))
        return false;
    auto answer = connection.readMessage(Clock::now() + 1s);
    return answer && answer->status() == 200;
}

Relay::Relay(const std::string& ip, Address target)
    : listener_(ip, peerPort)
    , target_(std::move(target))
{
    serveAll(listener_, [this](Connection near) {
        auto link = std::make_shared<Link>();
        link->near = std::move(near);
        link->far = Connection::connectTo(target_);
        {
            std::lock_guard lock(mutex_);
            links_.push_back(link);
        }
        std::thread([link] { pump(link, false); }).detach();
        pump(link, true);
    });
}

// Each end is closed only when both directions have ended, so a silenced connection stays open.
void Relay::pump(const std::shared_ptr<Link>& link, bool fromNear)
{
    auto& from = fromNear ? link->near : link->far;
    auto& to = fromNear ? link->far : link->near;
    std::vector<char> chunk(65536);
    for (;;) {
        auto count = ::read(from.descriptor(), chunk.data(), chunk.size());
        if (link->isSilent)
            std::this_thread::sleep_for(count > 0 ? 0ms : Millis(forever));
        else if (count <= 0 || !to.send({chunk.data(), static_cast<std::size_t>(count)}))
            break;
    }
    ::shutdown(from.descriptor(), SHUT_RDWR);
    ::shutdown(to.descriptor(), SHUT_RDWR);
}

std::size_t Relay::silenceOpen()
{
    std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& weak : links_) {
        auto link = weak.lock();
        if (!link || link->isSilent.exchange(true))
            continue;
        ++count;
    }
    return count;
}

Deployment::Deployment(const std::string& recordPath)
    : record(recordPath)
    , folder(makeFolder())
    , store(machineIp(100))
{
}

Machine& Deployment::addMachine(const MachineOptions& options)
{
    auto number = static_cast<unsigned>(machines.size() + 1);
    machines.push_back(std::make_unique<Machine>(number, options, store.address(), folder, record));
    machines.back()->startNode();
    return *machines.back();
}

void Deployment::end()
{
    for (const auto& machine : machines)
        machine->killNode();
    std::filesystem::remove_all(folder);
}

void runAndExit(int argumentCount, char** arguments, const std::function<int(Deployment&)>& runCase)
{
    if (argumentCount < 2)
        ::_exit(cannotRun);
    static Deployment deployment(arguments[1]);
    int status = cannotRun;
    try {
        status = runCase(deployment);
    } catch (const std::exception& failure) {
        deployment.record.line(failure.what());
    }
    deployment.end();
    deployment.record.line("exit status " + std::to_string(status));
    ::_exit(status); // the threads of the stand-ins still run
}

// Processes of one user have different ids, so runs at the same time use different addresses.
std::string machineIp(unsigned number)
{
    constexpr unsigned secondOctet = 77;
    auto run = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(secondOctet + run / 250 % 150) + "." + std::to_string(1 + run % 250) + "." + std::to_string(number);
}

std::string configText(unsigned version, const std::vector<RouteRule>& rules)
{
    std::ostringstream text;
    std::set<std::string> services;
    text << R"({"version":")" << std::hex << std::setw(8) << std::setfill('0') << version << std::dec
         << R"(","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"a.example","rules":[)";
    const char* separator = "";
    for (const auto& rule : rules) {
        services.insert(rule.service);
        text << separator << R"({"name":")" << rule.name << R"(","kind":")" << rule.kind << R"(","target_latency":"500ms","priority":1,"match":{"path_prefix":")" << rule.prefix
             << R"("},"action":{"service":")" << rule.service << R"(","timeout":")" << rule.timeout << R"(","attempts":2}})";
        separator = ",";
    }
    text << R"(]}],"clusters":[)";
    separator = "";
    for (const auto& service : services) {
        text << separator << R"({"name":")" << service << R"(","health_path":"/health","max_conns":260,"protocol":"h1","tls":false})";
        separator = ",";
    }
    text << "]}";
    return text.str();
}

std::string requestText(const std::string& method, const std::string& target, const std::string& id, unsigned timeoutMillis, const std::string& body)
{
    auto length = method == "GET" ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nBalsamreel-Attempt-Id: " + id + "\r\nBalsamreel-Timeout-Ms: " + std::to_string(timeoutMillis) + "\r\n" + length + "\r\n" + body;
}

std::optional<Message> exchange(Record& record, Connection& connection, const std::string& who, const std::string& id, const std::string& text, Millis patience)
{
    record.line(who + " sends " + id + ": " + text.substr(0, text.find(" HTTP/")) + ", " + std::to_string(text.size()) + " bytes");
    bool isSent = connection.isOpen() && connection.send(text);
    auto answer = connection.readMessage(Clock::now() + patience);
    if (answer)
        record.line(who + " gets " + std::to_string(answer->status()) + " for " + id + ", body of " + std::to_string(answer->body.size()) + " bytes");
    else
        record.line(who + " gets no complete answer for " + id + (connection.hasEnded() || !isSent ? ": the connection was closed" : ""));
    return answer;
}

bool waitUntilServed(Deployment& deployment, const std::string& target, Millis time)
{
    auto end = Clock::now() + time;
    unsigned tries = 0;
    for (const auto& machine : deployment.machines) {
        for (;;) {
            if (Clock::now() >= end)
                return false;
            auto id = "warm-" + std::to_string(++tries);
            auto connection = machine->isReady() ? Connection::connectTo(machine->outbound()) : Connection();
            auto answer = connection.isOpen() ? exchange(deployment.record, connection, "client at " + machine->name(), id, requestText("GET", target, id, 1000), 1500ms) : std::nullopt;
            if (answer && answer->status() == 200)
                break;
            std::this_thread::sleep_for(100ms);
        }
    }
    return true;
}

} // namespace balsamreel::Review
