// A deployment generated from a seed. Its events are produced as wire messages: discovery's lists,
// collectors' reports and proxies' messages.
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

// An invalid parameter. The message names it and the values that are allowed.
struct BadWorld : std::runtime_error {
    using std::runtime_error::runtime_error;
};

enum class Workload {
    core,    // one planner's core with its decision module, update_builder and push writer
    routing  // a route index, and one limiter per tenant
};
enum class Scenario {
    steady,
    burst,      // a hundred servers are replaced at the same time
    zone_loss,  // all servers of one zone leave together and later return cold
    release,    // 1% of the servers drain each second and are then replaced
    mass_join   // all proxies close their streams and join again together
};

NLOHMANN_JSON_SERIALIZE_ENUM(Workload, {{Workload::core, "core"}, {Workload::routing, "routing"}})
NLOHMANN_JSON_SERIALIZE_ENUM(Scenario, {{Scenario::steady, "steady"},
                                        {Scenario::burst, "burst"},
                                        {Scenario::zone_loss, "zone_loss"},
                                        {Scenario::release, "release"},
                                        {Scenario::mass_join, "mass_join"}})

// All parameters of a measured point. Beyond these it depends on the build and the machine only.
struct WorldSpec {
    Workload workload = Workload::core;
    Scenario scenario = Scenario::steady;
    std::uint64_t seed = 1;
    int proxies = 16;  // proxies of this planner; all of them join
    int planners = 1;  // with `proxies` proxies each
    int servers = 1'000;
    int services = 10;
    int pools = 0;                  // number of pools that the services share; 0: one per service
    double skew = 0.9;              // Zipf exponent of the number of servers and routes per service
    int zones = 3;                  // servers and proxies are distributed evenly over the zones
    double changes_per_second = 1;  // servers replaced: one is removed and a new one is added
    double reports_per_second = 1'000;  // from collectors, one server each; 0: no reports
    bool demand = true;  // with reports: also report each service's demand once a second
    double lines_per_second =
        700;  // the planner's channel; at 20 bytes each, half of a budget of 28 KB/s
    int routes = 0;
    int tenants = 0;
    // Phases, in seconds of virtual time. In the quiet phase the proxies get their tables, and
    // there are no changes or reports. In the warm-up phase changes and reports arrive but nothing
    // is measured. The decision module updates its weights every 4 s.
    int quiet_seconds = 20;
    int warmup_seconds = 4;
    int seconds = 8;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorldSpec, workload, scenario, seed, proxies,
                                                planners, servers, services, pools, skew, zones,
                                                changes_per_second, reports_per_second, demand,
                                                lines_per_second, routes, tenants, quiet_seconds,
                                                warmup_seconds, seconds)

// Throws BadWorld if a parameter is out of bounds.
void check(const WorldSpec& spec);

// Divides `total` items into `parts` sizes by Zipf's law with this exponent. Each size is at least
// one, and the sizes add up to `total`, which must be at least `parts`.
std::vector<int> zipf_sizes(int total, int parts, double exponent);

// Upper estimate of the memory that the workload needs, in bytes. For a core: six tables of the
// decision module with a value per server and pool, entries by name, and messages in flight.
double expected_memory(const WorldSpec& spec);

class World {
 public:
    static constexpr double kAttemptsPerServerPerSecond = 12;
    struct Change {
        std::string list;               // discovery's message
        std::vector<std::string> gone;  // ids of the servers that must receive no more RPCs
    };

    explicit World(const WorldSpec& spec);  // throws BadWorld

    DeploymentSettings deployment_settings() const;
    SymbolTable names() const;
    std::string complete_list();
    std::string join_line(int proxy) const;
    static std::string acknowledgement_line(int proxy, int nonce);
    // The collectors' next reports, on the servers in rotation.
    std::vector<std::string> report_lines(int number);
    // The next demand reports. Each is for one second, one service and one proxy, in rotation.
    std::vector<std::string> demand_lines(int number);

    Change replace(int number, TimePoint now);
    Change drain(int number);  // replace_draining() replaces the drained servers
    Change replace_draining(TimePoint now);
    Change remove_zone(int zone);
    Change restore_zone(TimePoint now);

 private:
    struct Server {
        std::string id;
        int zone = 0, kind = 0, cell = 0;
        EndpointPhase phase = EndpointPhase::ready;
        std::optional<TimePoint> started;
    };

    Server make_server(int zone, int kind, std::optional<TimePoint> started);
    std::string endpoint_json(const Server& server) const;
    std::string list_message(const std::vector<Server>& changed, bool complete);
    std::size_t pick_ready_server();

    WorldSpec spec_;
    std::minstd_rand random_;
    std::vector<int> servers_per_kind_;  // at the start
    std::vector<Server> servers_;
    std::vector<Server> lost_servers_;
    int servers_made_ = 0;
    std::int64_t version_ = 0;
    std::size_t next_reported_ = 0, next_demand_ = 0;
};

}  // namespace micaroad::scale
