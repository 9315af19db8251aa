#include "balsamreel/Load/Profile.h"

#include <algorithm>
#include <sstream>

namespace balsamreel::Load {

namespace {

using std::chrono::milliseconds;

// Shares and work times follow the daily calls of the two deployments. Long kinds take about 50 times as long as short ones.
std::vector<Profile> makeProfiles()
{
    return {
        {"idle", std::vector{CallKind{.name = "specs", .path = "/catalog/specs"}}},
        // Short calls nested nine layers deep through the three services.
        {"chain", std::vector{CallKind{.name = "chain", .path = "/catalog/specs", .work = milliseconds(2), .chain = "/batch/fixtures,/metrology/readings,/catalog/specs,/batch/fixtures,/metrology/readings,/catalog/specs,/batch/fixtures,/metrology/readings"}}},
        {"steady", {{.name = "specs", .path = "/catalog/specs", .work = milliseconds(4)}}},
        {"orders",
            {
                {.name = "release", .method = "POST", .path = "/batch/release", .share = 25, .work = milliseconds(6), .isAtMostOnce = true, .requestBytes = 256},
                {.name = "booking", .method = "POST", .path = "/batch/coating", .share = 25, .work = milliseconds(6), .isAtMostOnce = true, .isKeyed = true, .requestBytes = 256},
                {.name = "coating", .method = "POST", .path = "/batch/coating", .share = 2, .work = milliseconds(300), .isLong = true, .isAtMostOnce = true, .responseBytes = 128 * 1024, .requestBytes = 128 * 1024},
                {.name = "fixtures", .path = "/batch/fixtures", .share = 48, .work = milliseconds(4)},
            }},
        {"tengri",
            {
                {.name = "specs", .path = "/catalog/specs", .share = 45, .work = milliseconds(4)},
                {.name = "fixtures", .path = "/batch/fixtures", .share = 25, .work = milliseconds(4)},
                {.name = "release", .method = "POST", .path = "/batch/release", .share = 5, .work = milliseconds(6), .isAtMostOnce = true, .requestBytes = 256},
                {.name = "readings", .path = "/metrology/readings", .share = 24, .work = milliseconds(4)},
                {.name = "scan", .path = "/metrology/scan", .share = 1, .work = milliseconds(200), .isLong = true},
            }},
        // 3% of the calls take 50 times as long as the others.
        {"hol",
            {
                {.name = "readings", .path = "/metrology/readings", .share = 97, .work = milliseconds(8)},
                {.name = "scan", .path = "/metrology/scan", .share = 3, .work = milliseconds(400), .isLong = true},
            }},
        // Shares are proportional to the number of servers of each service, so that all services saturate together.
        {"crest",
            {
                {.name = "rules", .path = "/rulebook/rules", .share = 4, .work = milliseconds(100)},
                {.name = "plots", .path = "/plots/list", .share = 4, .work = milliseconds(100)},
                {.name = "scores", .path = "/entries/scores", .share = 2, .work = milliseconds(100)},
                {.name = "fees", .method = "POST", .path = "/entries/fees", .share = 1, .work = milliseconds(100), .isAtMostOnce = true, .requestBytes = 256},
            }},
        {"association",
            {
                {.name = "rules", .path = "/rulebook/rules", .share = 40, .work = milliseconds(4)},
                {.name = "plots", .path = "/plots/list", .share = 30, .work = milliseconds(4)},
                {.name = "map", .path = "/plots/map", .share = 1, .work = milliseconds(200), .isLong = true, .responseBytes = 256 * 1024},
                {.name = "scores", .path = "/entries/scores", .share = 19, .work = milliseconds(4)},
                {.name = "fees", .method = "POST", .path = "/entries/fees", .share = 10, .work = milliseconds(6), .isAtMostOnce = true, .requestBytes = 256},
            }},
    };
}

} // namespace

std::optional<Profile> findProfile(std::string_view name)
{
    for (auto& profile : makeProfiles()) {
        if (profile.name == name)
            return profile;
    }
    return std::nullopt;
}

std::optional<std::vector<Phase>> parsePhases(std::string_view text)
{
    std::vector<Phase> phases;
    std::istringstream stream{std::string(text)};
    std::string part;
    while (std::getline(stream, part, ',')) {
        std::istringstream fields(part);
        Phase phase;
        char colon = 0;
        if (!(fields >> phase.callsPerSecond >> colon >> phase.seconds) || colon != ':' || !fields.eof())
            return std::nullopt;
        if (phase.callsPerSecond < 0 || phase.seconds <= 0)
            return std::nullopt;
        phases.push_back(phase);
    }
    return phases.empty() ? std::nullopt : std::optional(phases);
}

} // namespace balsamreel::Load
