// Keys of the configuration: their types, ranges and where their values go.
#pragma once

#include "balsamreel/Config/Files.h"

#include "Toml.h"
#include <span>
#include <string>
#include <string_view>

namespace balsamreel::Config {

/// One key of a table: reads the node's value into the entity; gives an error text, or an empty one.
template <typename Entity>
struct KeySchema {
    std::string_view name;
    std::string (*read)(const toml::node&, Entity&);
};

std::span<const KeySchema<Service>> serviceKeys();
std::span<const KeySchema<Route>> routeKeys();

/// The name nearest to a misspelt one; empty if none is near.
std::string nearestName(std::string_view name, const std::vector<std::string>& names);

} // namespace balsamreel::Config
