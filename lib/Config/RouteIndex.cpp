#include "balsamreel/Config/RouteIndex.h"

#include <algorithm>
#include <functional>
#include <set>

namespace balsamreel::Config {

RouteIndex::RouteIndex(const Configuration& configuration)
{
    std::set<std::size_t, std::greater<>> lengths;
    for (const auto& [name, route] : configuration.routes) {
        routesByPath_[route.path].push_back(&route);
        lengths.insert(route.path.size());
    }
    for (auto& [path, routes] : routesByPath_)
        std::stable_partition(routes.begin(), routes.end(), [](const Route* route) { return !route->methods.empty(); });
    pathLengths_.assign(lengths.begin(), lengths.end());
}

const Route* RouteIndex::find(std::string_view method, std::string_view path) const
{
    for (auto length : pathLengths_) {
        if (length > path.size())
            continue;
        auto found = routesByPath_.find(path.substr(0, length));
        if (found == routesByPath_.end())
            continue;
        for (const auto* route : found->second) {
            if (route->methods.empty() || std::ranges::find(route->methods, method) != route->methods.end())
                return route;
        }
    }
    return nullptr;
}

} // namespace balsamreel::Config
