#include "balsamreel/Relay/RouteTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace balsamreel::Relay {

namespace {

Route route(std::string host, std::string prefix, std::vector<WeightedService> targets)
{
    Route route;
    route.name = prefix;
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    route.targets = std::move(targets);
    return route;
}

RoutingConfig config(std::vector<Route> routes)
{
    RoutingConfig config;
    config.version = 1;
    config.routes = std::move(routes);
    return config;
}

} // namespace

TEST(RouteTable, MatchesLongestPrefixOfHost)
{
    RouteTable table(config({route("a.example", "/x/", {{"one", 1}}), route("a.example", "/x/y/", {{"two", 1}}), route("b.example", "/x/y/z/", {{"three", 1}})}));
    EXPECT_EQ(table.match("a.example", "/x/y/z/1")->targets.front().service, "two");
    EXPECT_EQ(table.match("A.example:80", "/x/1?y=/x/y/")->targets.front().service, "one");
    EXPECT_EQ(table.match("a.example", "/xy/"), nullptr);
    EXPECT_EQ(table.match("a.example", "/x"), nullptr);
    EXPECT_EQ(table.match("c.example", "/x/"), nullptr);
}

RC_GTEST_PROP(RouteTable, SharesMatchWeights, ())
{
    auto weights = *rc::gen::resize(5, rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(1, 100))));
    std::vector<WeightedService> targets;
    std::uint64_t total = 0;
    for (auto weight : weights) {
        targets.push_back({std::to_string(targets.size()), weight});
        total += weight;
    }
    RouteTable table(config({route("a", "/", targets)}));
    const auto* chosen = table.match("a", "/");
    std::map<std::string, std::uint64_t> counts;
    for (std::uint64_t index = 0; index < 2 * total; ++index)
        ++counts[table.nextService(*chosen)];
    for (const auto& target : targets)
        RC_ASSERT(counts[target.service] == 2 * target.weight);
}

TEST(RouteTable, FindsAccountsByKeyAndOrdersThemBeforeRoutes)
{
    auto routes = config({route("a.example", "/x/", {{"one", 1}}), route("a.example", "/y/", {{"one", 1}})});
    routes.routes[0].priority = 3;
    routes.routes[1].priority = 7;
    EXPECT_EQ(RouteTable(routes).priority(routes.routes[0], nullptr), 3U) << "without accounts, that of the route";
    routes.accounts = {{"urgent", {"k1", "k2"}, 1}, {"patient", {"k3"}, 5}};
    RouteTable table(routes);
    EXPECT_EQ(table.account("k2")->name, "urgent");
    EXPECT_EQ(table.account("k3")->name, "patient");
    EXPECT_EQ(table.account(""), nullptr);
    const auto& first = *table.match("a.example", "/x/");
    const auto& second = *table.match("a.example", "/y/");
    EXPECT_LT(table.priority(first, table.account("k1")), table.priority(second, table.account("k1")));
    EXPECT_LT(table.priority(second, table.account("k1")), table.priority(first, table.account("k3")));
    EXPECT_LE(table.priority(first, nullptr), table.priority(first, table.account("k1")));
}

} // namespace balsamreel::Relay
