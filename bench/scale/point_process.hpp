// Runs each measured point in a process of its own, so that its memory and processor time are not
// mixed with those of other points.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "world.hpp"

namespace micaroad::scale {

struct PointLimits {
    double processor_seconds =
        25;  // a point stops itself after this time, and is killed after twice as long
    std::int64_t memory_bytes = 0;  // address space of the process; 0: no limit
};

// Runs this program with the command `point` and returns the JSON that it printed, with a "status":
//   done       the whole world time was simulated
//   stopped    the processor time was used up before: "measured" covers less world time
//   killed     it did not exit within twice the time: nothing was measured
//   failed     it exited otherwise, most likely out of memory: "why" has its exit code or signal
nlohmann::json run_point_process(const WorldSpec& spec, const PointLimits& limits);

// The command `point`: sets its own memory limit, runs the point and prints one line of JSON.
// Returns the exit code.
int point_main(const std::string& spec_json, const PointLimits& limits);

}  // namespace micaroad::scale
