// Stand-ins of the users' platform for the scripts of the review: store, servers, callers, the links between nodes, and the
// start and end of nodes. They keep to the users' pages. Their threads run until the process ends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace balsamreel::Review {

using Socket = boost::asio::ip::tcp::socket;
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;
using Millis = std::chrono::milliseconds;

/// Loopback address.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
};

/// Writes what was sent, answered and run to record.txt, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
    {
    }

    void line(const std::string& text);

    /// Time since the start.
    Millis now() const;

private:
    std::ofstream file_;
    std::mutex mutex_;
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

/// Listens on an address and runs the handler on a thread of its own for each connection. Throws if the address is taken.
void serveConnections(const Address&, std::function<void(Socket)> handler);

/// Answers the requests of each connection one after the other.
void serveHttp(const Address&, std::function<HttpResponse(const HttpRequest&)> handler);

/// Status of an answer and its headers and body; status 0 if the connection ended without a whole answer.
struct Answer {
    unsigned status = 0;
    HttpResponse message;
};

/// Sends one request on a new connection and waits for the answer.
Answer sendAndReceive(const Address&, const HttpRequest&);

/// A connection that a caller keeps for many requests.
class KeptConnection {
public:
    explicit KeptConnection(const Address& address)
        : address_(address)
    {
    }

    /// Sends a request and waits for the answer. Connects first if the connection has ended.
    Answer send(const HttpRequest&);

    /// Whether the connection has brought an answer before.
    bool isKept() const { return isKept_; }

private:
    Address address_;
    std::unique_ptr<Socket> socket_;
    boost::beast::flat_buffer buffer_;
    bool isKept_ = false;
};

/// Makes a request of a caller.
HttpRequest makeRequest(boost::beast::http::verb, const std::string& target, const std::string& id, Millis timeout);

/// The platform's store: objects by kind and name, conditional updates and watches.
class Store {
public:
    explicit Store(const Address&);

    /// Creates or replaces an object, as the operator does.
    void put(const std::string& kind, const std::string& name, const std::string& spec);

private:
    struct Object {
        std::uint64_t revision = 0;
        std::string spec;
        bool isDeleted = false;
    };
    using Key = std::pair<std::string, std::string>;

    HttpResponse handle(const HttpRequest&);
    HttpResponse list(const std::string& kind);
    HttpResponse watch(const std::string& kind, std::uint64_t since, Millis wait);
    HttpResponse write(const HttpRequest&, const std::string& kind, const std::string& name);
    static std::string objectText(const Key&, const Object&);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Object> objects_;
    std::uint64_t revision_ = 1;
};

/// One start of a server: runs requests and announces itself to the node beside it. A request works for the number of
/// milliseconds that ends its path.
class Server {
public:
    struct Options {
        std::string instance;
        std::string service;
        std::string zone;
        Address address;
        Address control; ///< of the node beside it
        unsigned slots = 9;
    };

    Server(Options, Record&);

    /// Number of times that each request has started here.
    std::map<std::string, unsigned> runs();

    /// Faults of the server. Change them before requests arrive, or from the thread that made the server.
    struct Faults {
        double shedShare = 0; ///< share of the requests that it rejects as not run
        double lateCopyShare = 0; ///< share of the answers that it sends again where the next answer is expected
    };
    void setFaults(const Faults&);

    /// Other work on the VM makes work that starts in a share of the time take longer, for an interval each.
    struct Noise {
        double share = 0;
        unsigned factor = 1;
        Millis interval{150};
    };
    void startNoise(const Noise&);

    /// Size of the body of each answer, filled up with dots.
    std::size_t bodyBytes = 0;

    /// Called at the start of each run.
    std::function<void(const std::string& id)> onRun;

    const Options& options() const { return options_; }

private:
    void serve(Socket);
    HttpResponse handle(const HttpRequest&);
    HttpResponse run(const HttpRequest&, const std::string& id);
    void announce();
    std::string load();
    bool draw(double share);

    Options options_;
    Record& record_;
    std::mutex mutex_;
    std::condition_variable slotFreed_;
    unsigned running_ = 0;
    std::map<std::string, unsigned> runs_;
    std::int64_t bornMillis_;
    Faults faults_;
    std::mt19937 random_{std::random_device{}()};
    unsigned slowness_ = 1; ///< factor on the time that work takes that starts now
};

/// The links between the nodes: relays the connections to each node and knows which node has opened them.
class Links {
public:
    explicit Links(Record& record)
        : record_(record)
    {
    }

    /// Relays connections to the listening address of the node to the address at which it listens.
    void add(const std::string& node, const Address& announced, const Address& actual);

    /// Cuts a node from all others: resets its connections and refuses new ones.
    void cut(const std::string& node);
    void heal();

private:
    struct Link {
        std::string opener;
        std::string target;
        std::shared_ptr<Socket> near;
        std::shared_ptr<Socket> far;
    };

    void relay(Socket, const std::string& target, const Address& actual);
    std::string nodeNamedIn(std::string_view bytes);

    Record& record_;
    std::mutex mutex_;
    std::vector<std::string> nodes_;
    std::vector<std::weak_ptr<Link>> links_;
    std::string cutNode_;
};

/// The link of a VM to its callers: relays connections to the node and limits the rate of what the node sends on all of them.
class CallerLink {
public:
    CallerLink(const Address& listen, const Address& node, double megabitsPerSecond);

private:
    void relay(Socket) const;
    void copyLimited(Socket& from, Socket& to) const;

    struct Budget {
        std::mutex mutex;
        std::chrono::steady_clock::time_point freeAt;
    };

    Address node_;
    double bytesPerSecond_;
    std::shared_ptr<Budget> budget_ = std::make_shared<Budget>();
};

/// A VM: the addresses and the process of its node.
class Node {
public:
    struct Options {
        std::string name;
        std::string service;
        std::string zone;
        std::string host; ///< a loopback address of its own
        std::uint16_t firstPort = 0; ///< of the ports of all VMs
        Address store;
        std::string folder; ///< for its settings file and its log
        std::string program;
        bool isBehindLink = false; ///< Links relays its connections with the other nodes
    };

    explicit Node(Options);

    Address caller() const { return at(0); }
    Address readiness() const { return at(1); }
    Address control() const { return at(2); }
    Address server() const { return at(3); }
    Address announcedPeer() const { return at(4); }
    Address actualPeer() const { return at(options_.isBehindLink ? 6 : 4); } // the metrics are at the port between
    const Options& options() const { return options_; }

    void start();
    void signal(int number) const;

    /// The most memory that the process has used so far, in bytes.
    std::uint64_t peakMemory() const;

    /// Kills the process and starts it again after a short delay.
    void killAndRestart();

    /// Waits until it is ready. Returns false after the timeout.
    bool waitUntilReady(Millis timeout) const;

private:
    Address at(unsigned offset) const { return {options_.host, static_cast<std::uint16_t>(options_.firstPort + offset)}; }
    void writeSettings() const;

    Options options_;
    pid_t pid_ = -1;
};

/// Arguments of a scenario's program: the node's program, a folder for settings and logs, and the path of the record.
struct Arguments {
    std::string program;
    std::string folder;
    std::string record;
};
Arguments readArguments(int count, char** values);

/// A small deployment: VMs with a node and a server each, and the store. Starts all of it.
class Deployment {
public:
    struct Vm {
        std::string service;
        std::string zone;
    };

    /// With links, the connections between the nodes can be cut.
    Deployment(const Arguments&, const std::string& config, const std::vector<Vm>&, unsigned slots, bool hasLinks);

    /// Waits until all nodes are ready and know each other's servers. Ends the process with status 2 if they don't get ready.
    void waitUntilReady();

    Node& node(std::size_t index) { return *nodes_[index]; }
    Server& server(std::size_t index) { return *servers_[index]; }
    Links& links() { return links_; }
    Record& record() { return record_; }

    /// An address that nothing listens on.
    Address freeAddress() const { return freeAddress_; }

    /// Number of times that each request has started on all servers together.
    std::map<std::string, unsigned> runs();

private:
    Record record_;
    Links links_{record_};
    std::unique_ptr<Store> store_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::unique_ptr<Server>> servers_;
    Address freeAddress_;
};

/// Sends requests that may not be repeated, and checks afterwards what became of them.
class Callers {
public:
    explicit Callers(Deployment& deployment)
        : deployment_(deployment)
    {
    }

    /// Sends a request that works for some time and waits for the answer.
    void send(const Node&, const std::string& id, Millis work, Millis timeout);

    /// Checks that each request has run once at most and, if it was answered as not run, not at all. Returns the status of the
    /// script.
    int check();

private:
    Deployment& deployment_;
    std::mutex mutex_;
    std::map<std::string, unsigned> statuses_;
};

/// Returns the first of count ports in a row that are free on all hosts.
std::uint16_t findFreePorts(const std::vector<std::string>& hosts, unsigned count);

/// Whether the script runs with the disruption.
bool hasTrouble();

/// Kills all nodes and ends the process. Status 0: the rule held; 1: it was broken; 2: the case could not run.
[[noreturn]] void finish(int status);

} // namespace balsamreel::Review
