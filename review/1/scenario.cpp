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
const std::string config = R"({"version":"0000000c","limits":{"max_header_bytes":8192,"max_body_bytes":100000,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"a.example","rules":[{"name":"r-release","kind":"non_idempotent","target_latency":"1500ms","priority":1,"match":{"path_prefix":"/once/"},"action":{"service":"batch","timeout":"15000ms","attempts":2}}]}],"clusters":[{"name":"batch","health_path":"/health","max_conns":260},{"name":"catalog","health_path":"/health","max_conns":260}]})";

/// Tells which server runs the first of the long requests.
class FirstRun {
public:
    explicit FirstRun(Deployment& deployment)
    {
        for (std::size_t index : {1, 2})
            deployment.server(index).onRun = [this, index](const std::string& id) { onRun(index, id); };
    }

    /// Returns the index of the server; 0 if none runs within some seconds.
    std::size_t wait()
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, 5s, [this] { return server_ != 0; });
        return server_;
    }

private:
    void onRun(std::size_t server, const std::string& id)
    {
        std::scoped_lock lock(mutex_);
        if (!id.starts_with("long") || server_ != 0)
            return;
        server_ = server;
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t server_ = 0;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    Deployment deployment(readArguments(argumentCount, arguments), config, {{"catalog", "almaty-a"}, {"batch", "almaty-b"}, {"batch", "almaty-c"}}, 9, true);
    deployment.waitUntilReady();
    FirstRun firstRun(deployment);
    Callers callers(deployment);
    std::vector<std::thread> threads;
    // Ordinary work: callers on the VMs of both servers.
    auto end = std::chrono::steady_clock::now() + cutLength + 6s;
    for (std::size_t index : {1, 2}) {
        threads.emplace_back([&, index] {
            for (unsigned number = 1; std::chrono::steady_clock::now() < end; ++number) {
                callers.send(deployment.node(index), "ordinary-" + std::to_string(index) + "-" + std::to_string(number), 20ms, requestTimeout);
                std::this_thread::sleep_for(ordinaryInterval);
            }
        });
    }
    for (unsigned number = 1; number <= longRequests; ++number)
        threads.emplace_back([&, number] { callers.send(deployment.node(0), "long-" + std::to_string(number), 600ms, requestTimeout); });
    auto server = firstRun.wait();
    if (server == 0) {
        std::cerr << "no request has run" << std::endl;
        finish(2);
    }
    std::this_thread::sleep_for(100ms);
    if (hasTrouble()) {
        deployment.links().cut(deployment.node(server).options().name);
        std::this_thread::sleep_for(cutLength);
        deployment.links().heal();
    }
    for (auto& thread : threads)
        thread.join();
    std::this_thread::sleep_for(1s);
    finish(callers.check());
}
