// Routes and tenants as far as the text has them: a route index, and one limiter a tenant. No
// mechanism spreads a tenant's limit over planners; src/routing/limiter.hpp, made for a pool,
// stands for one tenant's limit in one process.
#pragma once

#include <nlohmann/json.hpp>

#include "world.hpp"

namespace micaroad::scale {

// Runs one point, as run_core() does. A change of configuration is taken by making the index anew.
nlohmann::json run_routing(const WorldSpec& spec, double processor_limit);

}  // namespace micaroad::scale
