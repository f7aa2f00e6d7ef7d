#include "sweep.hpp"

#include <fmt/format.h>
#include <stdlib.h>

#include <array>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <thread>

#include "measure.hpp"
#include "slope.hpp"

namespace micaroad::scale {
namespace {

using nlohmann::json;

constexpr int kResultsFormat = 1;
constexpr int kTargetServers = 56'000, kTargetServices = 1'100;

template <class Value>
Sweep vary(const WorldSpec& base, const char* name, Value WorldSpec::* parameter, const char* key,
           const std::vector<Value>& values) {
    Sweep sweep{name, key, {}};
    for (const Value value : values) {
        WorldSpec spec = base;
        spec.*parameter = value;
        sweep.points.push_back(spec);
    }
    return sweep;
}

// Sets the report rate to one report per server and second.
Sweep with_report_each_second(Sweep sweep) {
    for (WorldSpec& spec : sweep.points) {
        spec.reports_per_second = spec.servers;
    }
    return sweep;
}

WorldSpec core_world(std::uint64_t seed, int proxies, int servers, int services,
                     bool with_reports) {
    WorldSpec spec;
    spec.seed = seed;
    spec.proxies = proxies;
    spec.servers = servers;
    spec.services = services;
    spec.reports_per_second = with_reports ? servers : 0;
    return spec;
}

// Shortens the unmeasured phases of an expensive world to one 4 s step of the decision module.
WorldSpec shortened(WorldSpec spec) {
    spec.quiet_seconds = 4;
    spec.warmup_seconds = 0;
    return spec;
}

WorldSpec routing_world(std::uint64_t seed, int routes, int tenants) {
    WorldSpec spec;
    spec.workload = Workload::routing;
    spec.seed = seed;
    spec.servers = kTargetServers;
    spec.services = kTargetServices;
    spec.reports_per_second = 0;
    spec.routes = routes;
    spec.tenants = tenants;
    return spec;
}

Sweep scenarios(WorldSpec base) {
    Sweep sweep{"scenarios", "", {}};
    for (const Scenario scenario : {Scenario::steady, Scenario::burst, Scenario::zone_loss,
                                    Scenario::release, Scenario::mass_join}) {
        base.scenario = scenario;
        sweep.points.push_back(base);
    }
    return sweep;
}

Sweep cross_servers_services(std::uint64_t seed, const std::vector<int>& servers,
                             const std::vector<int>& services) {
    Sweep sweep{"servers x services", "", {}};
    for (const int some_servers : servers) {
        for (const int some_services : services) {
            sweep.points.push_back(core_world(seed, 16, some_servers, some_services, true));
        }
    }
    return sweep;
}

Sweep cross_proxies_changes(std::uint64_t seed, const std::vector<int>& proxies,
                            const std::vector<double>& changes) {
    Sweep sweep{"proxies x changes", "", {}};
    for (const int some_proxies : proxies) {
        for (const double some_changes : changes) {
            WorldSpec spec = core_world(seed, some_proxies, 1'000, 5, true);
            spec.changes_per_second = some_changes;
            sweep.points.push_back(spec);
        }
    }
    return sweep;
}

std::string load_average() {
    std::array<double, 3> loads{};
    ::getloadavg(loads.data(), 3);
    return fmt::format("{:.2f} {:.2f} {:.2f}", loads[0], loads[1], loads[2]);
}

std::string processor_name() {
    std::ifstream file("/proc/cpuinfo");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("model name")) {
            return line.substr(line.find(':') + 2);
        }
    }
    return "unknown";
}

std::string utc_time() {
    const std::time_t now = std::time(nullptr);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%MZ", std::gmtime(&now));
    return text.data();
}

json assumptions() {
    return json::array(
        {"services' numbers of servers, and of routes, follow Zipf's law with the exponent `skew`: "
         "at 0.9 "
         "the "
         "largest of 1,100 services has 5,227 of 56,000 servers",
         "each service has a kind, and so a pool, of its own unless `pools` says otherwise",
         "each server gets 12 RPCs a second, answers in 300 to 389 ms, and never fails; a report "
         "tells of "
         "all RPCs "
         "since the last one on that server, from one zone",
         "time is virtual: a turn each 100 ms, however long it takes; delivery times are world "
         "time plus the "
         "processor time of the turn that writes",
         "proxies answer each nonce in the next turn; demand of each service is told once a second",
         "channel: 700 lines a second for all proxies of a planner, 22 s of it may wait; 22.4 s of "
         "grace, "
         "servers "
         "warm after 18 s",
         "before the measured time there are `quiet_seconds` in which proxies are given tables and "
         "nothing "
         "else happens, then "
         "`warmup_seconds` of the world as it is measured",
         "delivery: of a server that some table held, from the list's word that it is gone or "
         "drains to the "
         "line "
         "that withdraws it, for each proxy that is told"});
}

json describe(const SweepOptions& options) {
    return {{"format", kResultsFormat},
            {"tool", "micaroad_scale core"},
            {"preset", options.preset},
            {"revision", options.revision},
            {"seed", options.seed},
            {"started", utc_time()},
            {"machine",
             {{"processor", processor_name()},
              {"cores", std::thread::hardware_concurrency()},
              {"memory_mb", static_cast<double>(machine_memory()) / 1e6},
              {"load_before", load_average()}}},
            {"limits",
             {{"processor_seconds", options.limits.processor_seconds},
              {"memory_mb", static_cast<double>(options.limits.memory_bytes) / 1e6}}},
            {"assumed", assumptions()}};
}

// The reason why a point is not run; empty if it is run.
std::string skip_reason(const WorldSpec& spec, const PointLimits& limits) {
    const double expected = expected_memory(spec);
    const double available =
        std::min(static_cast<double>(limits.memory_bytes), static_cast<double>(available_memory()));
    if (expected <= available) {
        return "";
    }
    return fmt::format("left out: may need {:.0f} MB, {:.0f} MB are free for it", expected / 1e6,
                       available / 1e6);
}

std::string describe_point(const WorldSpec& spec) {
    if (spec.workload == Workload::routing) {
        return fmt::format("{} routes, {} tenants", spec.routes, spec.tenants);
    }
    return fmt::format("{} proxies, {} servers, {} services, {} changes/s, {} reports/s{}, {}",
                       spec.proxies, spec.servers, spec.services, spec.changes_per_second,
                       spec.reports_per_second, spec.demand ? "" : " without demand",
                       json(spec.scenario).get<std::string>());
}

std::string summary(const json& result) {
    const json measured = result.value("measured", json::object());
    std::string text = result.at("status").get<std::string>();
    if (measured.contains("processor_share")) {
        text += fmt::format(", {:.2f}% of a core, longest turn {:.1f} ms, {:.0f} MB",
                            100 * measured["processor_share"].get<double>(),
                            measured["turn_ms_100"].get<double>(),
                            measured["resident_mb"].get<double>());
    }
    return text;
}

json run_point(const Sweep& sweep, const WorldSpec& spec, const SweepOptions& options) {
    json point{{"sweep", sweep.name}, {"world", spec}};
    if (const std::string reason = skip_reason(spec, options.limits); !reason.empty()) {
        point.update(json{{"status", "left out"}, {"why", reason}});
        return point;
    }
    point.update(run_point_process(spec, options.limits));
    point["load"] = load_average();
    if (options.run_twice) {
        const json second_run = run_point_process(spec, options.limits);
        point["same_counts"] = second_run.value("counts", json()) == point.value("counts", json());
    }
    return point;
}

json to_json(const Fit& fit) {
    const Line& line = fit.line;
    json object{{"intercept", line.intercept},
                {"intercept_error", line.intercept_error},
                {"slope", line.slope},
                {"slope_error", line.slope_error},
                {"largest_residual", line.largest_residual},
                {"residual_deviation", line.residual_deviation},
                {"mean_x", line.mean_x},
                {"squares_x", line.squares_x},
                {"points", line.points},
                {"straight", fit.straight}};
    if (fit.power) {
        object["exponent"] = fit.power->exponent;
        object["exponent_error"] = fit.power->exponent_error;
    }
    return object;
}

// Points that stopped early cover less world time, so they are reported but not used for the fit.
std::vector<Sample> samples_of(const Sweep& sweep, const json& points, const std::string& measure) {
    std::vector<Sample> samples;
    for (const json& point : points) {
        if (point.at("sweep") != sweep.name || point.at("status") != "done") {
            continue;
        }
        const json& measured = point.at("measured");
        if (!measured.contains(measure)) {
            continue;
        }
        samples.push_back(
            {point.at("world").at(sweep.varied).get<double>(), measured.at(measure).get<double>()});
    }
    return samples;
}

json slopes_of(const std::vector<Sweep>& sweeps, const json& points) {
    constexpr std::array kMeasures{"processor_share",
                                   "start_seconds",
                                   "core_mb",
                                   "turn_ms_100",
                                   "bytes_in_per_second",
                                   "bytes_out_per_second",
                                   "messages_out_per_second",
                                   "delivery_ms_99",
                                   "index_build_seconds",
                                   "index_mb",
                                   "lookup_us_50",
                                   "limiters_mb",
                                   "limiter_us_50"};
    json slopes = json::array();
    for (const Sweep& sweep : sweeps) {
        for (const char* measure : kMeasures) {
            if (sweep.varied.empty()) {
                continue;
            }
            const auto fitted = fit(samples_of(sweep, points, measure));
            if (!fitted) {
                continue;
            }
            json slope{{"sweep", sweep.name}, {"varied", sweep.varied}, {"measure", measure}};
            slope.update(to_json(*fitted));
            slopes.push_back(std::move(slope));
        }
    }
    return slopes;
}

}  // namespace

std::vector<Sweep> small_sweeps(std::uint64_t seed) {
    WorldSpec base = core_world(seed, 8, 120, 4, true);
    base.quiet_seconds = 2;
    base.warmup_seconds = 2;
    base.seconds = 7;
    std::vector<Sweep> sweeps{
        vary(base, "proxies", &WorldSpec::proxies, "proxies", {2, 4, 8, 16}),
        with_report_each_second(
            vary(base, "servers", &WorldSpec::servers, "servers", {60, 120, 240, 480})),
        vary(base, "services", &WorldSpec::services, "services", {1, 2, 4, 8}),
        vary(base, "changes", &WorldSpec::changes_per_second, "changes_per_second",
             {0.0, 1.0, 2.0, 4.0}),
        vary(base, "reports", &WorldSpec::reports_per_second, "reports_per_second",
             {0.0, 30.0, 60.0, 120.0}),
        vary(routing_world(seed, 0, 0), "routes", &WorldSpec::routes, "routes",
             {100, 200, 400, 800}),
        vary(routing_world(seed, 0, 0), "tenants", &WorldSpec::tenants, "tenants",
             {100, 200, 400, 800}),
        scenarios(base)};
    return sweeps;
}

std::vector<Sweep> standard_sweeps(std::uint64_t seed) {
    const WorldSpec base = core_world(seed, 16, 1'000, 10, true);
    const WorldSpec without_reports = core_world(seed, 16, 1'000, 10, false);
    WorldSpec without_demand = core_world(seed, 16, 2'000, 40, true);
    without_demand.demand = false;
    Sweep sizes{
        "named sizes",
        "",
        {without_reports, core_world(seed, 16, 2'000, 40, true), without_demand,
         core_world(seed, 64, 1'000, 50, true), shortened(core_world(seed, 16, 8'000, 160, false)),
         shortened(core_world(seed, 16, kTargetServers, 1, false)),
         shortened(core_world(seed, 16, kTargetServers, kTargetServices, false))}};
    return {vary(base, "proxies", &WorldSpec::proxies, "proxies", {4, 16, 64, 256, 1'024}),
            with_report_each_second(vary(base, "servers", &WorldSpec::servers, "servers",
                                         {250, 500, 1'000, 2'000, 4'000})),
            vary(base, "services", &WorldSpec::services, "services", {1, 5, 10, 20, 40}),
            vary(base, "changes", &WorldSpec::changes_per_second, "changes_per_second",
                 {0.0, 1.0, 2.0, 4.0, 8.0}),
            vary(base, "skew", &WorldSpec::skew, "skew", {0.0, 0.5, 0.9, 1.2}),
            vary(base, "reports", &WorldSpec::reports_per_second, "reports_per_second",
                 {100.0, 300.0, 1'000.0, 3'000.0, 6'000.0}),
            vary(routing_world(seed, 0, 0), "routes", &WorldSpec::routes, "routes",
                 {5'000, 15'000, 30'000, 45'000}),
            vary(routing_world(seed, 0, 0), "tenants", &WorldSpec::tenants, "tenants",
                 {45'000, 90'000, 180'000, 360'000}),
            scenarios(core_world(seed, 64, 1'000, 5, true)),
            cross_servers_services(seed, {500, 1'000, 2'000, 4'000}, {5, 10, 20, 40}),
            cross_proxies_changes(seed, {16, 64, 256}, {0.0, 1.0, 8.0, 64.0}),
            sizes};
}

json run_sweeps(const std::vector<Sweep>& sweeps, const SweepOptions& options) {
    std::size_t total = 0, number = 0;
    for (const Sweep& sweep : sweeps) {
        for (const WorldSpec& spec : sweep.points) {
            check(spec);
        }
        total += sweep.points.size();
    }
    json results = describe(options);
    json points = json::array();
    for (const Sweep& sweep : sweeps) {
        for (const WorldSpec& spec : sweep.points) {
            std::cerr << fmt::format("{}/{} {}: {}: ", ++number, total, sweep.name,
                                     describe_point(spec))
                      << std::flush;
            points.push_back(run_point(sweep, spec, options));
            std::cerr << summary(points.back()) << std::endl;
        }
    }
    results["slopes"] = slopes_of(sweeps, points);
    results["points"] = std::move(points);
    results["machine"]["load_after"] = load_average();
    return results;
}

bool all_succeeded(const json& results) {
    for (const json& point : results.at("points")) {
        if (point.at("status") == "failed" || !point.value("same_counts", true)) {
            return false;
        }
    }
    return true;
}

}  // namespace micaroad::scale
