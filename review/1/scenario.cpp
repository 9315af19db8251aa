// A node is cut from the others for 12 s while its server runs requests that may not be repeated and have 15 s. Each of them
// may run once at most, and none of those that have run may be answered as not run.
#include "../standins/Standins.h"

#include <iostream>
#include <thread>

using namespace balsamreel::Review;
using namespace std::chrono_literals;

namespace {

constexpr auto cutLength = 12s;
constexpr auto requestTimeout = 15'000ms;
constexpr auto ordinaryInterval = 200ms;
constexpr unsigned longRequests = 4;
const std::string config = R"({"version":"0000000c","limits":{"max_header_bytes":8192,"max_body_bytes":100000,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"a.example","rules":[{"name":"r-release","kind":"non_idempotent","target_latency":"1500ms","priority":1,"match":{"path_prefix":"/release/"},"action":{"service":"batch","timeout":"15000ms","attempts":2}}]}],"clusters":[{"name":"batch","health_path":"/health","max_conns":260},{"name":"catalog","health_path":"/health","max_conns":260}]})";

/// What became of all requests.
class Callers {
public:
    explicit Callers(Record& record)
        : record_(record)
    {
    }

    void send(const Node& node, const std::string& id, unsigned workMillis)
    {
        record_.line("sent id=" + id + " node=" + node.options().name + " timeout_ms=15000");
        auto answer = sendAndReceive(node.caller(), makeRequest(boost::beast::http::verb::post, "/release/" + std::to_string(workMillis), id, requestTimeout));
        record_.line("answered id=" + id + " status=" + std::to_string(answer.status));
        std::scoped_lock lock(mutex_);
        statuses_[id] = answer.status;
    }

    std::map<std::string, unsigned> statuses()
    {
        std::scoped_lock lock(mutex_);
        return statuses_;
    }

private:
    Record& record_;
    std::mutex mutex_;
    std::map<std::string, unsigned> statuses_;
};

bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

int main(int /*argumentCount*/, char** arguments)
{
    std::string program = arguments[1];
    std::string folder = arguments[2];
    Record record(arguments[3]);
    std::vector<std::string> hosts{"127.0.0.11", "127.0.0.12", "127.0.0.13"};
    std::vector<std::string> services{"catalog", "batch", "batch"};
    std::vector<std::string> zones{"almaty-a", "almaty-b", "almaty-c"};
    auto port = findFreePorts(hosts, 8);
    Address storeAddress{hosts.front(), static_cast<std::uint16_t>(port + 7)};
    Store store(storeAddress);
    store.put("config", "main", config);
    Links links(record);
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Server>> servers;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        auto name = "sidecar-" + zones[index] + "-1";
        nodes.push_back(std::make_unique<Node>(Node::Options{name, services[index], zones[index], hosts[index], port, storeAddress, folder + "/" + name, program}));
        auto& node = *nodes.back();
        links.add(name, node.announcedPeer(), node.actualPeer());
        servers.push_back(std::make_unique<Server>(Server::Options{"i-" + std::to_string(index + 1), services[index], zones[index], node.server(), node.control()}, record));
        node.start();
    }
    for (const auto& node : nodes) {
        if (!node->waitUntilReady(10s)) {
            std::cerr << node->options().name << " is not ready" << std::endl;
            finish(2);
        }
    }
    std::this_thread::sleep_for(4s);

    Callers callers(record);
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::condition_variable changed;
    std::string runner; // node beside the server that runs the first long request
    for (std::size_t index = 1; index < servers.size(); ++index) {
        servers[index]->onRun = [&, index](const std::string& id) {
            std::scoped_lock lock(mutex);
            if (!id.starts_with("long") || !runner.empty())
                return;
            runner = nodes[index]->options().name;
            changed.notify_all();
        };
    }
    // Ordinary work: callers on the VMs of both servers.
    auto end = std::chrono::steady_clock::now() + cutLength + 6s;
    for (std::size_t index = 1; index < nodes.size(); ++index) {
        threads.emplace_back([&, index] {
            for (unsigned number = 1; std::chrono::steady_clock::now() < end; ++number) {
                callers.send(*nodes[index], "ordinary-" + std::to_string(index) + "-" + std::to_string(number), 20);
                std::this_thread::sleep_for(ordinaryInterval);
            }
        });
    }
    for (unsigned number = 1; number <= longRequests; ++number)
        threads.emplace_back([&, number] { callers.send(*nodes[0], "long-" + std::to_string(number), 600); });
    {
        std::unique_lock lock(mutex);
        if (!changed.wait_for(lock, 5s, [&] { return !runner.empty(); })) {
            std::cerr << "no request has run" << std::endl;
            finish(2);
        }
    }
    std::this_thread::sleep_for(100ms);
    if (hasTrouble()) {
        links.cut(runner);
        std::this_thread::sleep_for(cutLength);
        links.heal();
    }
    for (auto& thread : threads)
        thread.join();
    std::this_thread::sleep_for(1s);

    std::map<std::string, unsigned> runs;
    for (const auto& server : servers) {
        for (const auto& [id, count] : server->runs())
            runs[id] += count;
    }
    unsigned twice = 0;
    unsigned falselyRefused = 0;
    unsigned served = 0;
    for (const auto& [id, status] : callers.statuses()) {
        served += status == 200 ? 1 : 0;
        if (runs[id] > 1) {
            ++twice;
            record.line("broken rule=TWICE id=" + id + " runs=" + std::to_string(runs[id]) + " status=" + std::to_string(status));
        }
        if (promisesNotRun(status) && runs[id] > 0) {
            ++falselyRefused;
            record.line("broken rule=REFUSED id=" + id + " runs=" + std::to_string(runs[id]) + " status=" + std::to_string(status));
        }
    }
    auto summary = "requests=" + std::to_string(callers.statuses().size()) + " served=" + std::to_string(served) + " twice=" + std::to_string(twice) + " falsely_refused=" + std::to_string(falselyRefused);
    record.line(summary);
    std::cout << summary << std::endl;
    if (served == 0)
        finish(2);
    finish(twice + falselyRefused > 0 ? 1 : 0);
}
