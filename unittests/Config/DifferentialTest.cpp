// Compares the merge and the route index with simple reference implementations.
#include "balsamreel/Config/Files.h"
#include "balsamreel/Config/RouteIndex.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>

namespace balsamreel::Config {
namespace {

// One assignment in one file: file, service, key, value.
using Assignment = std::tuple<int, int, int, int>;

std::string fileName(int file) { return std::to_string(file) + ".toml"; }

void assign(Service& service, int key, int value)
{
    if (key == 0)
        service.deadline = std::chrono::milliseconds(value);
    else if (key == 1)
        service.probesPerSecond = value;
    else
        service.maximumQueueWait = std::chrono::milliseconds(value);
}

RC_GTEST_PROP(MergeFiles, AgreesWithAssigningOneKeyAtATime, ())
{
    constexpr const char* keys[] = {"deadline_ms", "probes_per_s", "queue_ms"};
    auto assignments = *rc::gen::container<std::map<std::tuple<int, int, int>, int>>(
        rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 4), rc::gen::inRange(0, 3)), rc::gen::inRange(1, 1000));
    Configuration expected;
    std::map<std::string, std::string> texts;
    for (const auto& [place, value] : assignments) {
        auto [file, service, key] = place;
        auto name = "s" + std::to_string(service);
        expected.services[name].name = name;
        assign(expected.services[name], key, value);
        texts[fileName(file)] += "service." + name + "." + keys[key] + " = " + std::to_string(value) + "\n";
    }
    std::vector<File> files;
    for (const auto& [name, text] : texts)
        files.insert(files.begin(), {name, text, 1});
    auto result = mergeFiles(files);
    RC_ASSERT(result.diagnostics.empty());
    RC_ASSERT(result.configuration == expected);
    auto again = mergeFiles({{"accepted", result.mergedText, 0}});
    RC_ASSERT(again.diagnostics.empty());
    RC_ASSERT(again.configuration == expected);
    RC_ASSERT(again.mergedText == result.mergedText);
}

RC_GTEST_PROP(RouteIndex, AgreesWithLinearSearch, ())
{
    using Methods = std::vector<std::string>;
    auto path = rc::gen::map(rc::gen::container<std::string>(rc::gen::element('a', '/')), [](const std::string& rest) { return "/" + rest; });
    auto methods = rc::gen::element(Methods{}, Methods{"GET"}, Methods{"POST"}, Methods{"GET", "PUT"});
    Configuration configuration;
    auto routes = *rc::gen::container<std::vector<std::pair<std::string, Methods>>>(rc::gen::pair(path, methods));
    for (const auto& [routePath, routeMethods] : routes) {
        Route route;
        route.name = "r" + std::to_string(configuration.routes.size());
        route.path = routePath;
        route.methods = routeMethods;
        configuration.routes[route.name] = route;
    }
    RouteIndex index(configuration);
    auto requests = *rc::gen::container<std::vector<std::string>>(path);
    for (const auto& request : requests) {
        for (const std::string method : {"GET", "POST", "DELETE"})
            RC_ASSERT(index.find(method, request) == findRoute(configuration, method, request));
    }
}

} // namespace
} // namespace balsamreel::Config
