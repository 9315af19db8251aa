#include "balsamreel/Config/Model.h"

#include <algorithm>

namespace balsamreel::Config {

const Route* findRoute(const Configuration& configuration, const std::string& method, const std::string& path)
{
    const Route* best = nullptr;
    for (const auto& [name, route] : configuration.routes) {
        if (!path.starts_with(route.path))
            continue;
        if (!route.methods.empty() && std::ranges::find(route.methods, method) == route.methods.end())
            continue;
        bool isLonger = !best || route.path.size() > best->path.size();
        bool isMoreExact = best && route.path.size() == best->path.size() && best->methods.empty() && !route.methods.empty();
        if (isLonger || isMoreExact)
            best = &route;
    }
    return best;
}

} // namespace balsamreel::Config
