// Which points a preset measures, one after the other, and the results file made of them.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "point_process.hpp"

namespace micaroad::scale {

// A row of points in which one parameter is varied, or two.
struct Sweep {
    std::string name;
    std::string varied;  // the parameter's key in WorldSpec; empty: a line is not fitted
    std::vector<WorldSpec> points;
};

std::vector<Sweep> small_sweeps(std::uint64_t seed);
std::vector<Sweep> standard_sweeps(std::uint64_t seed);

struct SweepOptions {
    std::string preset;
    std::string revision;  // of the text, as the caller knows it
    std::uint64_t seed = 1;
    PointLimits limits;
    bool twice = false;  // each point is run again, and both runs must count the same
};

// Throws BadWorld before anything is run. Tells its progress on standard error.
nlohmann::json run_sweeps(const std::vector<Sweep>& sweeps, const SweepOptions& options);

// True if no point failed, and no second run counted otherwise than the first.
bool sound(const nlohmann::json& results);

}  // namespace micaroad::scale
