// Options of the socket part of the scale run: the world, the sizes to vary and the limits of a
// run.
#pragma once

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace micaroad::scale {

// An invalid world or flag, which the message names. The program then exits with kExitBadUsage.
struct BadWireOptions : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr int kExitBadUsage = 64;    // sysexits.h: EX_USAGE
inline constexpr int kExitCheckFailed = 1;  // a check failed, or a point could not be completed
inline constexpr int kMaxPlanners = 400;
inline constexpr int kMaxProcesses = 200;
inline constexpr int kMaxStreams = 8'000;  // proxies of all planners
inline constexpr int kMaxServers = 60'000;
inline constexpr int kMaxMethods = 64;
inline constexpr int kMaxSizes = 64;  // measured in one run

enum class WireEvent { burst, rack, zone, dial, discovery };
const char* name_of(WireEvent event);
WireEvent wire_event_of(const std::string& name);  // throws BadWireOptions

// One size of the deployment. Counts are at least one unless noted otherwise.
struct WireWorld {
    int real_planners = 2;    // processes of `micaroad`
    int hollow_planners = 6;  // may be 0
    int proxies = 16;         // per planner
    int servers = 500;
    int zones = 3;
    int methods = 2;
    double changes_per_second = 1;  // each drains a server and adds a new one; may be 0
    std::chrono::milliseconds report_interval{
        1'000};  // of load reports on each server, and demand reports of each proxy
    double lines_per_proxy = 100;  // per second: the channel rate in the start file
    int planners() const { return real_planners + hollow_planners; }
};

struct WireOptions {
    std::string planner_program;       // path of `micaroad`
    std::string revision = "unknown";  // git revision of the program that is measured
    std::string output;                // path of the JSON object; empty: standard output
    std::uint32_t seed = 1;
    WireWorld base;
    // Values that replace the one of `base`, one size each. `planners` counts real and hollow ones.
    std::vector<int> planners, proxies, servers;
    std::vector<double> changes;
    std::vector<std::chrono::milliseconds> reports;
    std::vector<WireEvent> events;  // run on `base`, after its window
    int burst = 100;                // servers that drain together
    // Largest relative difference between a hollow planner's traffic and a real one's.
    double hollow_bound = 0.10;
    int hollow_per_process = 64;
    std::chrono::milliseconds start_limit{60'000};  // for each proxy to get its first message
    std::chrono::milliseconds settle{5'000}, window{10'000};
    std::chrono::milliseconds event_limit{20'000};  // for all announced changes to be in force
};

// One size to measure. `varied` is the parameter that differs from the base, or "base".
struct WireSize {
    std::string varied;
    WireWorld world;
    std::vector<WireEvent> events;
};
std::vector<WireSize> sizes_of(const WireOptions& options);

// Selects several sizes of each parameter and all events. The run takes some minutes.
void vary_all(WireOptions& options);

// Throws BadWireOptions if an option is out of bounds.
void check(const WireOptions& options);

}  // namespace micaroad::scale
