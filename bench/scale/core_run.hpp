// Runs one planner's core, with its decision module, update_builder and push writer, in a world
// generated from a seed. There are no sockets, and time is virtual: the core runs one turn for each
// 100 ms of world time, however long the turn takes.
#pragma once

#include <nlohmann/json.hpp>

#include "world.hpp"

namespace micaroad::scale {

// Runs one point and returns what was measured:
//   counts       depends on the world and the decisions only: the same on every run of one build
//   measured     processor time, memory and delays
// Stops early once `max_processor_seconds` of processor time were used: "stopped" is then true, and
// "measured_seconds" is the world time that the figures cover.
nlohmann::json run_core(const WorldSpec& spec, double max_processor_seconds);

}  // namespace micaroad::scale
