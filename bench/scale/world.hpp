// A deployment drawn by seed, in the words of its wire: discovery's lists, collectors' reports,
// proxies' messages.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "micaroad/planner.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad::scale {

// The text names the parameter that can't be used, and what it may be.
struct BadWorld : std::runtime_error {
    using std::runtime_error::runtime_error;
};

enum class Workload {
    core,    // one planner's core with its module, update_builder and push writer
    routing  // a route index and one limiter a tenant
};
enum class Scenario {
    steady,
    burst,      // a hundred servers are replaced at once
    zone_loss,  // all servers of one zone leave at once and come back cold
    release,    // a hundredth of the servers drains each second, and is replaced
    mass_join   // all proxies end their streams and join again at once
};

NLOHMANN_JSON_SERIALIZE_ENUM(Workload, {{Workload::core, "core"}, {Workload::routing, "routing"}})
NLOHMANN_JSON_SERIALIZE_ENUM(Scenario, {{Scenario::steady, "steady"},
                                        {Scenario::burst, "burst"},
                                        {Scenario::zone_loss, "zone_loss"},
                                        {Scenario::release, "release"},
                                        {Scenario::mass_join, "mass_join"}})

// Everything that a measured point depends on, beside the build and the machine.
struct WorldSpec {
    Workload workload = Workload::core;
    Scenario scenario = Scenario::steady;
    std::uint64_t seed = 1;
    int proxies = 16;  // of this planner; all of them join
    int planners = 1;  // the deployment has so many times as many proxies
    int servers = 1'000;
    int services = 10;
    int pools = 0;      // services share so many; 0: each has its own
    double skew = 0.9;  // Zipf exponent of the services' numbers of servers, and of their routes
    int zones = 3;      // servers and proxies are spread evenly over them
    double changes_per_second = 1;      // servers replaced: one leaves for good, a fresh one comes
    double reports_per_second = 1'000;  // by collectors, on one server each; 0: nothing is heard
    bool demand = true;  // where reports come: demand of each service is told once a second
    double lines_per_second =
        700;  // the planner's channel; 20 bytes each: half of a budget of 28 KB/s
    int routes = 0;
    int tenants = 0;
    // Of world time. Quiet: proxies are given their tables, nothing changes or is heard. Warm-up:
    // all goes on, nothing is measured. A step of the module's weights takes 4 s.
    int quiet_seconds = 20;
    int warmup_seconds = 4;
    int seconds = 8;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorldSpec, workload, scenario, seed, proxies,
                                                planners, servers, services, pools, skew, zones,
                                                changes_per_second, reports_per_second, demand,
                                                lines_per_second, routes, tenants, quiet_seconds,
                                                warmup_seconds, seconds)

// Throws BadWorld.
void check(const WorldSpec& spec);

// How many of `all` each of `parts` gets, by Zipf's law with this exponent; at least one each,
// `all` in sum. `all` must be no less than `parts`.
std::vector<int> zipf_sizes(int all, int parts, double exponent);

// What a core is expected to need at most, in bytes: rows over all pools for each server in six
// places of the module, entries by name, and messages on their way.
double expected_memory(const WorldSpec& spec);

class World {
 public:
    static constexpr double kTriesPerServer = 12;  // a second
    struct Change {
        std::string list;               // discovery's line
        std::vector<std::string> gone;  // ids of the servers that must get no more RPCs
    };

    explicit World(const WorldSpec& spec);  // throws BadWorld

    DeploymentSettings terms() const;
    SymbolTable names() const;
    std::string whole_list();
    std::string join_line(int proxy) const;
    static std::string answer_line(int proxy, int nonce);
    // The collectors' next reports, on servers in turn.
    std::vector<std::string> report_lines(int number);
    // What came in a second for one service, told by one proxy; services and proxies in turn.
    std::vector<std::string> demand_lines(int number);

    Change replace(int number, TimePoint now);
    Change drain(int number);  // those that drain leave with replace_draining()
    Change replace_draining(TimePoint now);
    Change lose_zone(int zone);
    Change restore_zone(TimePoint now);

 private:
    struct Server {
        std::string id;
        int zone = 0, kind = 0, cell = 0;
        EndpointPhase phase = EndpointPhase::ready;
        std::optional<TimePoint> started;
    };

    Server fresh(int zone, int kind, std::optional<TimePoint> started);
    std::string entry(const Server& server) const;
    std::string list_of(const std::vector<Server>& changed, bool complete);
    std::size_t any_ready();

    WorldSpec spec_;
    std::minstd_rand random_;
    std::vector<int> sizes_;  // servers of each kind at the start
    std::vector<Server> servers_;
    std::vector<Server> lost_;
    int made_ = 0;
    std::int64_t version_ = 0;
    std::size_t next_reported_ = 0, next_demanded_ = 0;
};

}  // namespace micaroad::scale
