/// Former name of scenario_runner.hpp, kept for golden_orders_test.cpp alone; goes with its last
/// use.
#pragma once

#include "scenario_runner.hpp"

namespace micaroad::test {

template <class AnyPlanner>
std::string play(const std::filesystem::path& file) {
    return run_scenario<AnyPlanner>(file);
}

}  // namespace micaroad::test
