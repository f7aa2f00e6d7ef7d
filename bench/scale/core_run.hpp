// One planner's core, with module, update_builder and push writer, in a world by seed. No sockets;
// time is virtual: a turn each 100 ms of world time, whatever it takes.
#pragma once

#include <nlohmann/json.hpp>

#include "world.hpp"

namespace micaroad::scale {

// Runs one point and returns what was measured:
//   counts       depends on the world and the decisions alone: the same on every run of one build
//   measured     processor time, memory and times
// Stops early once `processor_limit` seconds were used: "stopped" is then true, and
// "measured_seconds" tells how much world time the figures stand on.
nlohmann::json run_core(const WorldSpec& spec, double processor_limit);

}  // namespace micaroad::scale
