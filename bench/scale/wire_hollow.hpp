// Hollow planners, many per process. They keep their connections and discovery's list like a real
// planner and write to their proxies at the rate measured on the real planners, but make no
// decisions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire_channel.hpp"
#include "wire_options.hpp"

namespace micaroad::scale::wire {

// The amount that a hollow planner writes to all its proxies: the mean that a real one wrote in the
// last interval.
struct Pace {
    double messages = 0, bytes = 0, nonces = 0;
};

// The sums over all planners of one process, and minima where noted.
struct HollowStatus {
    std::int64_t streams = 0;           // proxies that have joined
    std::int64_t messages_written = 0;  // to proxies
    std::int64_t unanswered_nonces = 0;
    std::int64_t listed = 0;   // servers in the list, minimum over the planners
    std::int64_t version = 0;  // of discovery's list, minimum over the planners
};

// The lines of the control connection, with LF. The parsers return nullopt for an invalid line.
std::string line_of(const Pace& pace);
std::optional<Pace> parse_pace(std::string_view line);
std::string line_of(const HollowStatus& status);
std::optional<HollowStatus> parse_status(std::string_view line);

struct HollowPlanner {
    Descriptor listener;
    LoopbackAddress discovery;
};

// Runs the planners until the other end of `control` is closed. Each pace line received on
// `control` is answered with a status line. Runs in a process of its own; returns its exit code.
int serve_hollow(std::vector<HollowPlanner> planners, Descriptor control, const WireWorld& sizes);

}  // namespace micaroad::scale::wire
