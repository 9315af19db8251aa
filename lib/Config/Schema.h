// Schema of the configuration: the keys of each table, with their types and ranges.
#pragma once

#include "balsamreel/Config/Files.h"

#include "Toml.h"
#include <span>
#include <string>
#include <string_view>

namespace balsamreel::Config {

/// One key of a table. read stores the node's value in the entity and returns an error message, or an empty string.
template <typename Entity>
struct KeySchema {
    std::string_view name;
    std::string (*read)(const toml::node&, Entity&);
};

std::span<const KeySchema<Service>> serviceKeys();
std::span<const KeySchema<Route>> routeKeys();

/// Returns the entry of names that is most similar to a misspelled name, or an empty string if none is similar.
std::string nearestName(std::string_view name, const std::vector<std::string>& names);

} // namespace balsamreel::Config
