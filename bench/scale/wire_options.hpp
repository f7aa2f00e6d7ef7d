// What the socket part of the scale run is told: the world, the sizes to vary and the bounds of the
// run.
#pragma once

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace micaroad::scale {

// Thrown for a world or a flag that can't be used; the text names it. The program exits with
// kExitBadUsage then.
struct BadWireOptions : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr int kExitBadUsage = 64;  // sysexits.h: EX_USAGE
inline constexpr int kExitCheckFailed =
    1;  // a check of the run failed, or a point could not be played
inline constexpr int kMostPlanners = 400;
inline constexpr int kMostProcesses = 200;
inline constexpr int kMostStreams = 8'000;  // of proxies, over all planners
inline constexpr int kMostServers = 60'000;
inline constexpr int kMostMethods = 64;
inline constexpr int kMostSizes = 64;  // played in one run

enum class WireEvent { burst, rack, zone, dial, discovery };
const char* name_of(WireEvent event);
WireEvent wire_event_of(const std::string& name);  // throws BadWireOptions

// One size of the deployment. Counts are whole and at least one unless said otherwise.
struct WireWorld {
    int real_planners = 2;    // processes of the program itself
    int hollow_planners = 6;  // may be zero
    int proxies = 16;         // of each planner
    int servers = 500;
    int zones = 3;
    int methods = 2;
    double changes_per_second = 1;  // a server drains and a fresh one comes; may be zero
    std::chrono::milliseconds report_every{
        1'000};                    // outcomes of each server, demand of each proxy and method
    double lines_per_proxy = 100;  // a second: the pace of the channel in the start file
    int planners() const { return real_planners + hollow_planners; }
};

struct WireOptions {
    std::string planner_program;   // path of `micaroad`
    std::string text = "unknown";  // git revision of what is measured
    std::string output;            // path of the JSON object; empty: standard output
    std::uint32_t seed = 1;
    WireWorld base;
    // Sizes played with all else as in `base`. `planners` counts real and hollow ones.
    std::vector<int> planners, proxies, servers;
    std::vector<double> changes;
    std::vector<std::chrono::milliseconds> reports;
    std::vector<WireEvent> events;  // played on `base`, after its window
    int burst = 100;                // servers that drain at once
    double hollow_bound =
        0.10;  // part by which a hollow planner's traffic may differ from a real one's
    int hollow_per_process = 64;
    std::chrono::milliseconds start_limit{60'000};  // until each proxy has its first message
    std::chrono::milliseconds settle{5'000}, window{10'000};
    std::chrono::milliseconds event_limit{20'000};  // until all that was told is in force
};

// One size to be played, and which kind differs from the base.
struct WireSize {
    std::string varied;
    WireWorld world;
    std::vector<WireEvent> events;
};
std::vector<WireSize> sizes_of(const WireOptions& options);

// Sizes of each kind beside the base, and all events: some minutes in all.
void vary_all(WireOptions& options);

// Throws BadWireOptions.
void check(const WireOptions& options);

}  // namespace micaroad::scale
