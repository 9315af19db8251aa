// A node is stopped while answers of its server are on their way to callers over a slow link. The answers arrive well before the
// end of the grace period and before their deadlines, if the node sends them on until they are complete.
#include "../standins/Standins.h"

#include <csignal>
#include <iostream>
#include <thread>

using namespace balsamreel::Review;
using namespace std::chrono_literals;

namespace {

constexpr auto requestTimeout = 6000ms;
constexpr double linkMegabits = 10;
constexpr unsigned callers = 1;
constexpr std::size_t answerBytes = 5'200'000;
constexpr auto timeUntilStop = 200ms;
const std::string config = R"({"version":"0000000c","limits":{"max_header_bytes":8192,"max_body_bytes":100000,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"a.example","rules":[{"name":"r-view","kind":"idempotent","target_latency":"1200ms","priority":1,"match":{"path_prefix":"/view/"},"action":{"service":"plots","timeout":"6000ms","attempts":2}}]}],"clusters":[{"name":"plots","health_path":"/health","max_conns":260}]})";

} // namespace

int main(int /*argumentCount*/, char** arguments)
{
    std::string program = arguments[1];
    std::string folder = arguments[2];
    Record record(arguments[3]);
    std::vector<std::string> hosts{"127.0.0.11", "127.0.0.12"};
    auto port = findFreePorts(hosts, 9);
    Address storeAddress{hosts.front(), static_cast<std::uint16_t>(port + 7)};
    Store store(storeAddress);
    store.put("config", "main", config);
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Server>> servers;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        auto name = "sidecar-digha-" + std::to_string(index + 1);
        nodes.push_back(std::make_unique<Node>(Node::Options{name, "plots", "digha", hosts[index], port, storeAddress, folder + "/" + name, program}));
        auto& node = *nodes.back();
        servers.push_back(std::make_unique<Server>(Server::Options{"i-" + std::to_string(index + 1), "plots", "digha", node.server(), node.control(), 16}, record));
        servers.back()->bodyBytes = answerBytes;
        node.start();
    }
    for (const auto& node : nodes) {
        if (!node->waitUntilReady(10s)) {
            std::cerr << node->options().name << " is not ready" << std::endl;
            finish(2);
        }
    }
    std::this_thread::sleep_for(4s);

    auto& node = *nodes.front();
    Address linkAddress{hosts.front(), static_cast<std::uint16_t>(port + 8)};
    CallerLink link(linkAddress, node.caller(), linkMegabits);
    std::atomic<unsigned> served{0};
    std::atomic<unsigned> refused{0};
    std::atomic<unsigned> cut{0};
    auto sentAt = record.now();
    std::vector<std::thread> threads;
    for (unsigned number = 1; number <= callers; ++number) {
        threads.emplace_back([&, number] {
            auto id = "view-" + std::to_string(number);
            record.line("sent id=" + id + " timeout_ms=6000");
            auto answer = sendAndReceive(linkAddress, makeRequest(boost::beast::http::verb::get, "/view/50", id, requestTimeout));
            auto took = record.now() - sentAt;
            bool isWhole = answer.status == 200 && answer.message.body().size() == answerBytes;
            record.line("answered id=" + id + " status=" + std::to_string(answer.status) + " body_bytes=" + std::to_string(answer.message.body().size()) + " whole=" + (isWhole ? "yes" : "no") + " took_ms=" + std::to_string(took.count()));
            (isWhole ? served : answer.status != 0 ? refused
                                                   : cut)
                += 1;
            if (answer.status == 0 && took < requestTimeout)
                record.line("broken rule=LOST id=" + id + " the connection ended before the answer was complete");
        });
    }
    std::this_thread::sleep_for(timeUntilStop);
    if (hasTrouble()) {
        record.line("SIGTERM node=" + node.options().name);
        node.signal(SIGTERM);
    }
    for (auto& thread : threads)
        thread.join();
    auto summary = "requests=" + std::to_string(callers) + " served=" + std::to_string(served) + " refused_or_failed=" + std::to_string(refused) + " cut=" + std::to_string(cut);
    record.line(summary);
    std::cout << summary << std::endl;
    if (served + cut == 0)
        finish(2);
    finish(cut > 0 ? 1 : 0);
}
