// Defines the points that each preset measures, runs them one after the other, and builds the
// results file.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "point_process.hpp"

namespace micaroad::scale {

// A series of points in which one or two parameters vary.
struct Sweep {
    std::string name;
    std::string varied;  // the parameter's JSON key in WorldSpec; empty: no line is fitted
    std::vector<WorldSpec> points;
};

std::vector<Sweep> small_sweeps(std::uint64_t seed);
std::vector<Sweep> standard_sweeps(std::uint64_t seed);

struct SweepOptions {
    std::string preset;
    std::string revision;  // git revision of the sources, as given by the caller
    std::uint64_t seed = 1;
    PointLimits limits;
    bool run_twice = false;  // run each point a second time; the counts of both runs must be equal
};

// Throws BadWorld before the first run if a point is invalid. Prints its progress to standard
// error.
nlohmann::json run_sweeps(const std::vector<Sweep>& sweeps, const SweepOptions& options);

// True if no point failed, and the counts of each second run equal those of the first.
bool all_succeeded(const nlohmann::json& results);

}  // namespace micaroad::scale
