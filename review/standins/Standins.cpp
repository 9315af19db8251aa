#include "Standins.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/tcp.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace balsamreel::Review {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr auto heartbeatInterval = std::chrono::milliseconds(1500);
constexpr auto longestRun = std::chrono::seconds(115);
constexpr std::size_t relayBytes = 65536;
constexpr std::uint64_t maximumBodyBytes = 1 << 30;
constexpr int linkWindowBytes = 65536;
constexpr int ethernetSegmentBytes = 1460;
constexpr double bytesPerMegabit = 1e6 / 8;
constexpr auto maximumOversleep = std::chrono::milliseconds(50); // a sleep that lasts too long does not slow down the link

std::mutex processesMutex;
std::set<pid_t> processes;

// Sockets are used by blocking calls only, so the event loop never runs.
boost::asio::io_context& loop()
{
    static boost::asio::io_context context;
    return context;
}

tcp::endpoint endpointOf(const Address& address)
{
    return {boost::asio::ip::make_address(address.host), address.port};
}

HttpResponse response(unsigned status, const std::string& body)
{
    HttpResponse message(static_cast<http::status>(status), 11);
    message.set(http::field::content_type, "application/json");
    message.body() = body;
    message.prepare_payload();
    return message;
}

std::string headerOf(const HttpRequest& request, const std::string& name)
{
    return std::string(request[name]);
}

// Value of a parameter of the query; empty if it is missing.
std::string parameterOf(const std::string& target, const std::string& name)
{
    auto start = target.find(name + "=");
    if (start == std::string::npos)
        return {};
    start += name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

// The value of a member at the top level of a JSON object, as text. Strings may not contain escaped quotes.
std::string memberOf(const std::string& json, const std::string& name)
{
    auto start = json.find("\"" + name + "\":");
    if (start == std::string::npos)
        return {};
    start += name.size() + 3;
    int depth = 0;
    bool isInString = false;
    for (auto end = start; end < json.size(); ++end) {
        char letter = json[end];
        if (letter == '"')
            isInString = !isInString;
        if (isInString)
            continue;
        if (depth == 0 && (letter == ',' || letter == '}'))
            return json.substr(start, end - start);
        depth += letter == '{' || letter == '[' ? 1 : 0;
        depth -= letter == '}' || letter == ']' ? 1 : 0;
    }
    return json.substr(start);
}

void resetConnection(Socket& socket)
{
    boost::system::error_code ignored; // it may have ended already
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    ::shutdown(socket.native_handle(), SHUT_RD); // wakes up the thread that reads
    socket.close(ignored);
}

} // namespace

void Record::line(const std::string& text)
{
    std::scoped_lock lock(mutex_);
    file_ << now().count() << " ms " << text << std::endl;
}

Millis Record::now() const
{
    return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start_);
}

void serveConnections(const Address& address, std::function<void(Socket)> handler)
{
    auto acceptor = std::make_shared<tcp::acceptor>(loop());
    acceptor->open(tcp::v4());
    acceptor->set_option(boost::asio::socket_base::reuse_address(true));
    acceptor->bind(endpointOf(address));
    acceptor->listen();
    std::thread([acceptor, handler = std::move(handler)] {
        for (;;) {
            Socket socket(loop());
            boost::system::error_code error;
            acceptor->accept(socket, error);
            if (error)
                continue;
            socket.set_option(tcp::no_delay(true), error);
            std::thread(handler, std::move(socket)).detach();
        }
    }).detach();
}

void serveHttp(const Address& address, std::function<HttpResponse(const HttpRequest&)> handler)
{
    serveConnections(address, [handler = std::move(handler)](Socket socket) {
        boost::beast::flat_buffer buffer;
        for (;;) {
            HttpRequest request;
            boost::system::error_code error;
            http::read(socket, buffer, request, error);
            if (error)
                return;
            http::write(socket, handler(request), error);
            if (error)
                return;
        }
    });
}

Answer sendAndReceive(const Address& address, const HttpRequest& request)
{
    Answer answer;
    Socket socket(loop());
    boost::system::error_code error;
    socket.connect(endpointOf(address), error);
    if (!error)
        http::write(socket, request, error);
    if (error)
        return answer;
    boost::beast::flat_buffer buffer;
    http::read(socket, buffer, answer.message, error);
    answer.status = error ? 0 : answer.message.result_int();
    return answer;
}

Answer KeptConnection::send(const HttpRequest& request)
{
    Answer answer;
    boost::system::error_code error;
    if (!socket_) {
        socket_ = std::make_unique<Socket>(loop());
        buffer_.clear();
        isKept_ = false;
        socket_->connect(endpointOf(address_), error);
    }
    if (!error)
        http::write(*socket_, request, error);
    if (!error)
        http::read(*socket_, buffer_, answer.message, error);
    answer.status = error ? 0 : answer.message.result_int();
    if (error || !answer.message.keep_alive())
        socket_.reset();
    else
        isKept_ = true;
    return answer;
}

HttpRequest makeRequest(http::verb method, const std::string& target, const std::string& id, Millis timeout)
{
    HttpRequest request(method, target, 11);
    request.set(http::field::host, "a.example");
    request.set("Balsamreel-Attempt-Id", id);
    request.set("Balsamreel-Timeout-Ms", std::to_string(timeout.count()));
    if (method == http::verb::post)
        request.body() = "work of " + id;
    request.prepare_payload();
    return request;
}

Store::Store(const Address& address)
{
    serveHttp(address, [this](const HttpRequest& request) { return handle(request); });
}

void Store::put(const std::string& kind, const std::string& name, const std::string& spec)
{
    std::scoped_lock lock(mutex_);
    auto& object = objects_[{kind, name}];
    if (object.spec == spec && !object.isDeleted)
        return;
    object = {++revision_, spec, false};
    changed_.notify_all();
}

std::string Store::objectText(const Key& key, const Object& object)
{
    return R"({"metadata":{"name":")" + key.second + R"(","rev":)" + std::to_string(object.revision) + R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":null})";
}

HttpResponse Store::handle(const HttpRequest& request)
{
    constexpr std::string_view prefix = "/api/objects/";
    std::string target(request.target());
    auto path = target.substr(prefix.size(), target.find('?') - prefix.size());
    auto slash = path.find('/');
    auto kind = path.substr(0, slash);
    auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    if (request.method() != http::verb::get)
        return write(request, kind, name);
    auto watched = parameterOf(target, "watch");
    if (!watched.empty())
        return watch(kind, std::stoull(watched), Millis(std::stoll(parameterOf(target, "wait_ms"))));
    if (name.empty())
        return list(kind);
    std::scoped_lock lock(mutex_);
    auto found = objects_.find({kind, name});
    bool isMissing = found == objects_.end() || found->second.isDeleted;
    return isMissing ? response(404, "{}") : response(200, objectText(found->first, found->second));
}

HttpResponse Store::list(const std::string& kind)
{
    std::scoped_lock lock(mutex_);
    std::string items;
    for (const auto& [key, object] : objects_) {
        if (key.first == kind && !object.isDeleted)
            items += (items.empty() ? "" : ",") + objectText(key, object);
    }
    return response(200, R"({"items":[)" + items + R"(],"truncated":false,"as_of":)" + std::to_string(revision_) + "}");
}

HttpResponse Store::watch(const std::string& kind, std::uint64_t since, Millis wait)
{
    std::unique_lock lock(mutex_);
    std::string events;
    changed_.wait_for(lock, wait, [&] {
        for (const auto& [key, object] : objects_) {
            if (key.first == kind && object.revision > since)
                events += (events.empty() ? "" : ",") + (R"({"deleted":)" + std::string(object.isDeleted ? "true" : "false") + R"(,"object":)" + objectText(key, object) + "}");
        }
        return !events.empty();
    });
    return response(200, R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(revision_) + "}");
}

HttpResponse Store::write(const HttpRequest& request, const std::string& kind, const std::string& name)
{
    bool isCreation = request.method() == http::verb::post;
    auto metadata = memberOf(request.body(), "metadata");
    auto quoted = memberOf(metadata, "name");
    auto key = Key(kind, isCreation ? quoted.substr(1, quoted.size() - 2) : name);
    std::unique_lock lock(mutex_);
    auto found = objects_.find(key);
    bool exists = found != objects_.end() && !found->second.isDeleted;
    if (isCreation && exists)
        return response(409, objectText(found->first, found->second));
    if (!isCreation && !exists)
        return response(404, "{}");
    auto revision = memberOf(metadata, "rev");
    if (!isCreation && !revision.empty() && revision != std::to_string(found->second.revision))
        return response(409, objectText(found->first, found->second));
    if (request.method() == http::verb::delete_) {
        found->second.isDeleted = true;
        found->second.revision = ++revision_;
        changed_.notify_all();
        return response(200, objectText(found->first, found->second));
    }
    lock.unlock();
    put(kind, key.second, memberOf(request.body(), "spec"));
    lock.lock();
    return response(200, objectText(key, objects_[key]));
}

Server::Server(Options options, Record& record)
    : options_(std::move(options))
    , record_(record)
    , bornMillis_(std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    serveConnections(options_.address, [this](Socket socket) { serve(std::move(socket)); });
    std::thread([this] { announce(); }).detach();
}

std::map<std::string, unsigned> Server::runs()
{
    std::scoped_lock lock(mutex_);
    return runs_;
}

// Running and waiting requests, slots, and the usual time that work takes. Called with the mutex locked.
std::string Server::load()
{
    return std::to_string(std::min(running_, options_.slots)) + ",0," + std::to_string(options_.slots) + "," + std::to_string(100 * slowness_);
}

void Server::setFaults(const Faults& faults)
{
    std::scoped_lock lock(mutex_);
    faults_ = faults;
}

void Server::startNoise(const Noise& noise)
{
    std::thread([this, noise] {
        for (;;) {
            {
                bool isSlow = draw(noise.share);
                std::scoped_lock lock(mutex_);
                slowness_ = isSlow ? noise.factor : 1;
            }
            std::this_thread::sleep_for(noise.interval);
        }
    }).detach();
}

bool Server::draw(double share)
{
    std::scoped_lock lock(mutex_);
    return std::bernoulli_distribution(share)(random_);
}

// A late copy of an answer is sent when the next request has arrived on the connection, before the answer to it.
void Server::serve(Socket socket)
{
    boost::beast::flat_buffer buffer;
    std::string lateCopy;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maximumBodyBytes);
        boost::system::error_code error;
        http::read(socket, buffer, parser, error);
        if (error)
            return;
        const auto& request = parser.get();
        if (!lateCopy.empty())
            boost::asio::write(socket, boost::asio::buffer(lateCopy), error);
        lateCopy.clear();
        std::ostringstream text;
        text << handle(request);
        auto bytes = std::move(text).str();
        if (request.target() != "/health" && draw(faults_.lateCopyShare))
            lateCopy = bytes;
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        if (error)
            return;
    }
}

HttpResponse Server::handle(const HttpRequest& request)
{
    auto id = headerOf(request, "Balsamreel-Attempt-Id");
    auto expected = headerOf(request, "Balsamreel-Expect-Instance");
    HttpResponse message;
    if (request.target() == "/health")
        message = response(200, "");
    else if (id.empty()) {
        message = response(400, "");
        message.set("Balsamreel-Not-Run", "1");
    } else if (!expected.empty() && expected != options_.instance) {
        message = response(421, "");
        message.set("Balsamreel-Not-Run", "1");
    } else if (draw(faults_.shedShare)) {
        record_.line("shed id=" + id + " instance=" + options_.instance);
        message = response(503, "");
        message.set("Balsamreel-Not-Run", "1");
    } else
        message = run(request, id);
    if (!id.empty())
        message.set("Balsamreel-Attempt-Id", id);
    message.set("Balsamreel-Instance", options_.instance);
    std::scoped_lock lock(mutex_);
    message.set("Balsamreel-Backend-Load", load());
    return message;
}

HttpResponse Server::run(const HttpRequest& request, const std::string& id)
{
    auto arrivedAt = std::chrono::steady_clock::now();
    auto timeout = Millis(std::stoll(headerOf(request, "Balsamreel-Timeout-Ms")));
    std::string target(request.target());
    auto work = Millis(std::stoll(target.substr(target.rfind('/') + 1)));
    {
        std::unique_lock lock(mutex_);
        bool hasSlot = slotFreed_.wait_until(lock, arrivedAt + timeout, [this] { return running_ < options_.slots; });
        if (!hasSlot) {
            auto message = response(503, "");
            message.set("Balsamreel-Not-Run", "1");
            return message;
        }
        ++running_;
        ++runs_[id];
        work *= slowness_;
    }
    record_.line("run id=" + id + " instance=" + options_.instance + " caller=" + headerOf(request, "Balsamreel-Caller") + " timeout_ms=" + std::to_string(timeout.count()));
    if (onRun)
        onRun(id);
    std::this_thread::sleep_until(std::min(std::chrono::steady_clock::now() + work, arrivedAt + timeout));
    bool isInTime = std::chrono::steady_clock::now() < arrivedAt + timeout;
    auto body = "answer to " + id;
    body.resize(std::max(body.size(), bodyBytes), '.');
    auto message = response(isInTime ? 200 : 504, body);
    message.set("Balsamreel-Reply-Stamp", "proof-of-" + id);
    record_.line("ran id=" + id + " instance=" + options_.instance + " status=" + std::to_string(message.result_int()));
    std::scoped_lock lock(mutex_);
    --running_;
    slotFreed_.notify_one();
    return message;
}

void Server::announce()
{
    for (std::uint64_t sequence = 1;; ++sequence) {
        HttpRequest request(http::verb::post, "/api/Instances.Heartbeat/" + options_.instance, 11);
        request.set(http::field::host, options_.control.text());
        request.set(http::field::content_type, "application/json");
        request.body() = R"({"address":")" + options_.address.text() + R"(","born":)" + std::to_string(bornMillis_) + R"(,"info":{"service":")" + options_.service + R"(","version":"v1","zone":")" + options_.zone + R"(","slots":)" + std::to_string(options_.slots) + R"(},"status":{"state":"ready","seq":)" + std::to_string(sequence) + R"(,"cold_time":"0ms"}})";
        request.prepare_payload();
        sendAndReceive(options_.control, request);
        std::this_thread::sleep_for(heartbeatInterval);
    }
}

void Links::add(const std::string& node, const Address& announced, const Address& actual)
{
    std::scoped_lock lock(mutex_);
    nodes_.push_back(node);
    serveConnections(announced, [this, node, actual](Socket socket) { relay(std::move(socket), node, actual); });
}

std::string Links::nodeNamedIn(std::string_view bytes)
{
    std::scoped_lock lock(mutex_);
    for (const auto& node : nodes_) {
        if (bytes.find(node) != std::string_view::npos)
            return node;
    }
    return {};
}

// The first message on a connection names the node that has opened it.
void Links::relay(Socket near, const std::string& target, const Address& actual)
{
    auto link = std::make_shared<Link>();
    link->target = target;
    link->near = std::make_shared<Socket>(std::move(near));
    link->far = std::make_shared<Socket>(loop());
    std::string bytes(relayBytes, '\0');
    boost::system::error_code error;
    auto count = link->near->read_some(boost::asio::buffer(bytes), error);
    if (error)
        return;
    link->opener = nodeNamedIn({bytes.data(), count});
    {
        std::scoped_lock lock(mutex_);
        if (!cutNode_.empty() && (cutNode_ == target || cutNode_ == link->opener))
            return resetConnection(*link->near);
        links_.push_back(link);
    }
    link->far->connect(endpointOf(actual), error);
    if (error)
        return resetConnection(*link->near);
    link->far->set_option(tcp::no_delay(true), error);
    boost::asio::write(*link->far, boost::asio::buffer(bytes.data(), count), error);
    auto copy = [link](Socket& from, Socket& to) {
        std::string chunk(relayBytes, '\0');
        boost::system::error_code failure;
        while (!failure) {
            auto size = from.read_some(boost::asio::buffer(chunk), failure);
            if (!failure)
                boost::asio::write(to, boost::asio::buffer(chunk.data(), size), failure);
        }
        to.shutdown(boost::asio::socket_base::shutdown_send, failure);
    };
    std::thread([link, copy] { copy(*link->far, *link->near); }).detach();
    copy(*link->near, *link->far);
}

void Links::cut(const std::string& node)
{
    std::scoped_lock lock(mutex_);
    cutNode_ = node;
    unsigned count = 0;
    for (const auto& weak : links_) {
        auto link = weak.lock();
        if (!link || (link->target != node && link->opener != node))
            continue;
        resetConnection(*link->near);
        resetConnection(*link->far);
        ++count;
    }
    record_.line("cut node=" + node + " connections=" + std::to_string(count));
}

void Links::heal()
{
    std::scoped_lock lock(mutex_);
    record_.line("healed node=" + cutNode_);
    cutNode_.clear();
}

CallerLink::CallerLink(const Address& listen, const Address& node, double megabitsPerSecond)
    : node_(node)
    , bytesPerSecond_(megabitsPerSecond * bytesPerMegabit)
{
    serveConnections(listen, [this](Socket socket) { relay(std::move(socket)); });
}

// The segment size and the receive buffer are those of an Ethernet link; the ones of the loopback interface would hide it.
void CallerLink::relay(Socket near) const
{
    auto caller = std::make_shared<Socket>(std::move(near));
    auto far = std::make_shared<Socket>(loop());
    boost::system::error_code error;
    far->open(tcp::v4(), error);
    far->set_option(boost::asio::socket_base::receive_buffer_size(linkWindowBytes), error);
    far->set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(ethernetSegmentBytes), error);
    far->connect(endpointOf(node_), error);
    if (error)
        return resetConnection(*caller);
    std::thread([this, far, caller] { copyLimited(*far, *caller); }).detach();
    std::string chunk(relayBytes, '\0');
    while (!error) {
        auto size = caller->read_some(boost::asio::buffer(chunk), error);
        if (!error)
            boost::asio::write(*far, boost::asio::buffer(chunk.data(), size), error);
    }
    far->shutdown(boost::asio::socket_base::shutdown_send, error);
}

// Bytes wait for their turn on the link before they are passed on.
void CallerLink::copyLimited(Socket& from, Socket& to) const
{
    std::string chunk(ethernetSegmentBytes, '\0');
    boost::system::error_code error;
    for (;;) {
        auto size = from.read_some(boost::asio::buffer(chunk), error);
        if (error)
            break;
        auto duration = std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(static_cast<double>(size) / bytesPerSecond_));
        std::chrono::steady_clock::time_point turn;
        {
            std::scoped_lock lock(budget_->mutex);
            turn = std::max(budget_->freeAt, std::chrono::steady_clock::now() - maximumOversleep) + duration;
            budget_->freeAt = turn;
        }
        std::this_thread::sleep_until(turn);
        boost::asio::write(to, boost::asio::buffer(chunk.data(), size), error);
        if (error)
            break;
    }
    bool isReset = error != boost::asio::error::eof;
    if (isReset)
        return resetConnection(to);
    to.shutdown(boost::asio::socket_base::shutdown_send, error);
}

Node::Node(Options options)
    : options_(std::move(options))
{
    std::filesystem::create_directories(options_.folder);
}

void Node::writeSettings() const
{
    std::ofstream file(options_.folder + "/node.toml");
    file << "[self]\nnode_name = \"" << options_.name << "\"\nrole = \"node\"\nclass = \"sidecar\"\nserves = [\"sidecar\"]\nip = \"" << options_.host << "\"\nzone = \"" << options_.zone << "\"\nregion = \"almaty\"\ncounts_as_loss = false\nbootstrap = true\nupstream = \"" << server().text() << "\"\nservice = \"" << options_.service << "\"\n";
    file << "[self.limits]\ncpu_share = 0.2\ncpus = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n";
    file << "[network]\nport_range = [" << announcedPeer().port << "," << announcedPeer().port + 1 << "]\nseeds = []\n";
    file << "[network.listen]\noutbound = \"" << caller().text() << "\"\nreadiness = \"" << readiness().text() << "\"\ncontrol = \"" << control().text() << "\"\n";
    file << "[platform]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeat = \"1500ms\"\n";
    file << "[platform.platform]\naddress = \"" << options_.store.text() << "\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory = \"20s\"\nvalue_bytes = 1048576\n";
    file << "[terms]\ninvariants = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"platform\"]\n";
    file << "[terms.bounds]\nreuse_after = \"2s\"\ncontact = \"3000ms\"\nack = \"4000ms\"\ndrain = \"2000ms\"\ngrace = \"6s\"\nlost_time = \"200ms\"\nconverge = \"2000ms\"\nrevert = \"250ms\"\nskew_max = \"5000ms\"\nretry_ratio = 0.2\nbudget_window = \"10s\"\nretry_slack = 62\nrecovery = \"15s\"\nprobes_per_s = 60\n";
}

void Node::start()
{
    writeSettings();
    std::vector<std::string> environment{"BALSAMREEL_NODE_FILE=" + options_.folder + "/node.toml", "BALSAMREEL_PEER_BIND=" + actualPeer().text()};
    std::vector<char*> variables;
    variables.reserve(environment.size() + 1);
    for (auto& variable : environment)
        variables.push_back(variable.data());
    variables.push_back(nullptr);
    std::string program = options_.program;
    std::vector<char*> arguments{program.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    auto log = options_.folder + "/log.txt";
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int error = 0;
    {
        // Under the lock, so that no process starts once finish() has begun to end them.
        std::scoped_lock lock(processesMutex);
        error = posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments.data(), variables.data());
        if (error == 0)
            processes.insert(pid_);
    }
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        std::cerr << "cannot start " << program << std::endl;
        finish(2);
    }
}

void Node::signal(int number) const
{
    ::kill(pid_, number);
}

std::uint64_t Node::peakMemory() const
{
    constexpr std::string_view label = "VmHWM:";
    constexpr std::uint64_t bytesPerKilobyte = 1024;
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(label))
            return std::stoull(line.substr(label.size())) * bytesPerKilobyte;
    }
    return 0;
}

void Node::killAndRestart()
{
    constexpr auto restartDelay = std::chrono::milliseconds(500);
    {
        std::scoped_lock lock(processesMutex);
        processes.erase(pid_);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    std::this_thread::sleep_for(restartDelay);
    start();
}

bool Node::waitUntilReady(Millis timeout) const
{
    auto end = std::chrono::steady_clock::now() + timeout;
    HttpRequest request(http::verb::get, "/api/ready", 11);
    request.set(http::field::host, readiness().text());
    while (std::chrono::steady_clock::now() < end) {
        if (sendAndReceive(readiness(), request).status == 200)
            return true;
        std::this_thread::sleep_for(Millis(50));
    }
    return false;
}

Arguments readArguments(int count, char** values)
{
    // An exception on any thread means that the case could not run; the nodes are ended all the same.
    std::set_terminate([] { finish(2); });
    // run.sh sends SIGTERM to a scenario that is to end early.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([signals] {
        int number = 0;
        sigwait(&signals, &number);
        finish(2);
    }).detach();
    if (count != 4) {
        std::cerr << "usage: PROGRAM FOLDER RECORD" << std::endl;
        finish(2);
    }
    return {values[1], values[2], values[3]};
}

Deployment::Deployment(const Arguments& arguments, const std::string& config, const std::vector<Vm>& vms, unsigned slots, bool hasLinks)
    : record_(arguments.record)
{
    std::thread([] {
        std::this_thread::sleep_for(longestRun);
        std::cerr << "the scenario takes too long" << std::endl;
        finish(2);
    }).detach();
    constexpr unsigned portsPerVm = 9;
    constexpr unsigned storePort = 7;
    constexpr unsigned freePort = 8;
    constexpr unsigned firstHost = 11;
    std::vector<std::string> hosts;
    for (std::size_t index = 0; index < vms.size(); ++index)
        hosts.push_back("127.0.0." + std::to_string(firstHost + index));
    auto port = findFreePorts(hosts, portsPerVm);
    Address storeAddress{hosts.front(), static_cast<std::uint16_t>(port + storePort)};
    freeAddress_ = {hosts.front(), static_cast<std::uint16_t>(port + freePort)};
    store_ = std::make_unique<Store>(storeAddress);
    store_->put("config", "main", config);
    for (std::size_t index = 0; index < vms.size(); ++index) {
        const auto& vm = vms[index];
        auto number = std::to_string(index + 1);
        Node::Options options{"sidecar-" + vm.zone + "-" + number, vm.service, vm.zone, hosts[index], port, storeAddress, arguments.folder, arguments.program, hasLinks};
        options.folder.append("/").append(options.name);
        nodes_.push_back(std::make_unique<Node>(options));
        auto& node = *nodes_.back();
        if (hasLinks)
            links_.add(options.name, node.announcedPeer(), node.actualPeer());
        servers_.push_back(std::make_unique<Server>(Server::Options{"i-" + number, vm.service, vm.zone, node.server(), node.control(), slots}, record_));
        node.start();
    }
}

void Deployment::waitUntilReady()
{
    constexpr auto startTimeout = std::chrono::seconds(10);
    constexpr auto meetingTime = std::chrono::seconds(4);
    for (const auto& node : nodes_) {
        if (node->waitUntilReady(startTimeout))
            continue;
        std::cerr << node->options().name << " is not ready" << std::endl;
        finish(2);
    }
    std::this_thread::sleep_for(meetingTime);
}

std::map<std::string, unsigned> Deployment::runs()
{
    std::map<std::string, unsigned> runs;
    for (const auto& server : servers_) {
        for (const auto& [id, count] : server->runs())
            runs[id] += count;
    }
    return runs;
}

void Callers::send(const Node& node, const std::string& id, Millis work, Millis timeout)
{
    deployment_.record().line("sent id=" + id + " node=" + node.options().name + " timeout_ms=" + std::to_string(timeout.count()));
    auto answer = sendAndReceive(node.caller(), makeRequest(http::verb::post, "/once/" + std::to_string(work.count()), id, timeout));
    deployment_.record().line("answered id=" + id + " status=" + std::to_string(answer.status));
    std::scoped_lock lock(mutex_);
    statuses_[id] = answer.status;
}

int Callers::check()
{
    constexpr std::array<unsigned, 4> notRunStatuses{408, 421, 429, 503};
    auto runs = deployment_.runs();
    auto& record = deployment_.record();
    unsigned twice = 0;
    unsigned falselyRefused = 0;
    unsigned served = 0;
    std::scoped_lock lock(mutex_);
    for (const auto& [id, status] : statuses_) {
        auto details = " id=" + id + " runs=" + std::to_string(runs[id]) + " status=" + std::to_string(status);
        bool isRefused = std::ranges::find(notRunStatuses, status) != notRunStatuses.end();
        served += status == 200 ? 1 : 0;
        if (runs[id] > 1) {
            ++twice;
            record.line("broken rule=TWICE" + details);
        }
        if (isRefused && runs[id] > 0) {
            ++falselyRefused;
            record.line("broken rule=REFUSED" + details);
        }
    }
    auto summary = "requests=" + std::to_string(statuses_.size()) + " served=" + std::to_string(served) + " twice=" + std::to_string(twice) + " falsely_refused=" + std::to_string(falselyRefused);
    record.line(summary);
    std::cout << summary << std::endl;
    if (served == 0)
        return 2;
    return twice + falselyRefused > 0 ? 1 : 0;
}

std::uint16_t findFreePorts(const std::vector<std::string>& hosts, unsigned count)
{
    constexpr unsigned first = 12000; // below the range of the ports of outgoing connections
    constexpr unsigned last = 32000;
    constexpr unsigned portsPerProcess = 97;
    auto base = first + static_cast<unsigned>(::getpid()) * portsPerProcess % (last - first);
    auto isFree = [](const std::string& host, unsigned port) {
        tcp::acceptor acceptor(loop());
        acceptor.open(tcp::v4());
        boost::system::error_code error;
        acceptor.bind(endpointOf({host, static_cast<std::uint16_t>(port)}), error);
        return !error;
    };
    for (unsigned port = base; port + count < last + portsPerProcess; port += count) {
        bool areFree = true;
        for (unsigned offset = 0; offset < count && areFree; ++offset) {
            for (const auto& host : hosts)
                areFree = areFree && isFree(host, port + offset);
        }
        if (areFree)
            return static_cast<std::uint16_t>(port);
    }
    std::cerr << "no free ports" << std::endl;
    finish(2);
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// Keeps the lock until the process has ended.
void finish(int status)
{
    processesMutex.lock();
    for (auto process : processes) {
        ::kill(process, SIGCONT);
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    std::_Exit(status);
}

} // namespace balsamreel::Review
