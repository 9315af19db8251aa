// Looks up a request's route without a linear search.
#pragma once

#include "balsamreel/Config/Model.h"

#include <string_view>
#include <unordered_map>

namespace balsamreel::Config {

/// Index of routes by path, built once when a configuration becomes active. Returns the same results as findRoute.
class RouteIndex {
public:
    RouteIndex() = default;

    /// The configuration must outlive the index and must not move: the index points into it.
    explicit RouteIndex(const Configuration&);

    const Route* find(std::string_view method, std::string_view path) const;

private:
    std::unordered_map<std::string_view, std::vector<const Route*>> routesByPath_; ///< routes that name methods come first
    std::vector<std::size_t> pathLengths_; ///< distinct lengths in bytes, longest first
};

} // namespace balsamreel::Config
