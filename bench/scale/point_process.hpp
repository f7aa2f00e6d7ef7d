// One measured point in a process of its own, so that memory and processor time are that point's
// alone.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "world.hpp"

namespace micaroad::scale {

struct PointLimits {
    double processor_seconds =
        25;  // a point stops by itself after it, and is ended at twice as much
    std::int64_t memory_bytes = 0;  // address space of the process
};

// Runs this program again with `point`, and returns what it printed, with "status":
//   done       all of its world time was played
//   stopped    the processor time was used up before: "measured" stands on less world time
//   killed     it did not end by itself within twice the time: nothing was measured
//   failed     it ended otherwise, most likely out of memory: "why" tells its exit code or signal
nlohmann::json run_point_process(const WorldSpec& spec, const PointLimits& limits);

// What the new process does: limits itself, runs the point and prints one line of JSON. Returns its
// exit code.
int point_main(const std::string& spec_json, const PointLimits& limits);

}  // namespace micaroad::scale
