// Hollow planners: many in one process. They keep the state of the wire, write to their proxies at
// the pace that a real planner was measured at, and decide nothing.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire_channel.hpp"
#include "wire_options.hpp"

namespace micaroad::scale::wire {

// What a hollow planner is to write in all to its proxies: what a real one has written in the time
// just past.
struct Pace {
    double messages = 0, bytes = 0, nonces = 0;
};

// Of all planners in one process.
struct HollowStatus {
    std::int64_t streams = 0;           // proxies that are joined now
    std::int64_t messages_written = 0;  // to proxies
    std::int64_t nonces_open = 0;       // that nobody has answered yet
    std::int64_t listed = 0;            // servers held, least of the planners
    std::int64_t version = 0;           // of discovery's list, least of the planners
};

// One line each, LF included; absent: it can't be read.
std::string line_of(const Pace& pace);
std::optional<Pace> read_pace(std::string_view line);
std::string line_of(const HollowStatus& status);
std::optional<HollowStatus> read_status(std::string_view line);

struct HollowPlanner {
    Descriptor listener;
    LoopbackAddress discovery;
};

// Serves until the other end of `control` closes, which gives a line of a pace now and then and is
// told a status for each. For a process of its own: returns its exit code.
int serve_hollow(std::vector<HollowPlanner> planners, Descriptor control, const WireWorld& sizes);

}  // namespace micaroad::scale::wire
