// Finds a request's route without a look at every route.
#pragma once

#include "balsamreel/Config/Model.h"

#include <string_view>
#include <unordered_map>

namespace balsamreel::Config {

/// Routes by path, built once when a configuration comes into force. Gives the answers of findRoute.
class RouteIndex {
public:
    RouteIndex() = default;

    /// The configuration must outlive the index and stay where it is.
    explicit RouteIndex(const Configuration&);

    const Route* find(std::string_view method, std::string_view path) const;

private:
    std::unordered_map<std::string_view, std::vector<const Route*>> routesByPath_; ///< those that name methods first
    std::vector<std::size_t> pathLengths_; ///< of the paths, longest first
};

} // namespace balsamreel::Config
