// Measures routes and tenants as far as they are implemented: a route index, and one limiter per
// tenant. A tenant's limit is not distributed over planners; src/routing/limiter.hpp, which is
// the limiter of a pool, stands in for one tenant's limit in one process.
#pragma once

#include <nlohmann/json.hpp>

#include "world.hpp"

namespace micaroad::scale {

// Runs one point, as run_core() does. A configuration change is measured as a rebuild of the index.
nlohmann::json run_routing(const WorldSpec& spec, double max_processor_seconds);

}  // namespace micaroad::scale
