// micaroad_scale measures how the cost of a planner depends on the size of its world. It is a
// development tool, not installed and never loaded by the daemon. `micaroad_scale core --standard`
// measures all sweeps; docs/CAPACITY.md is based on its output.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "measure.hpp"
#include "sweep.hpp"

using namespace micaroad::scale;
using nlohmann::json;

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 64;  // EX_USAGE of sysexits.h

struct CoreOptions {
    SweepOptions sweep;
    WorldSpec world;
    bool small = false, standard = false;
    std::string scenario = "steady", out;
};

std::int64_t half_of_memory() {
    return machine_memory() / 2;
}

void add_world_options(CLI::App& app, CoreOptions& options) {
    WorldSpec& world = options.world;
    app.add_option("--proxies", world.proxies, "proxies of this planner")->capture_default_str();
    app.add_option("--planners", world.planners, "planners with so many proxies each")
        ->capture_default_str();
    app.add_option("--servers", world.servers, "servers")->capture_default_str();
    app.add_option("--services", world.services, "services")->capture_default_str();
    app.add_option("--pools", world.pools, "pools that services share; 0: each has its own")
        ->capture_default_str();
    app.add_option("--skew", world.skew, "Zipf exponent of the services' sizes")
        ->capture_default_str();
    app.add_option("--zones", world.zones, "zones")->capture_default_str();
    app.add_option("--changes", world.changes_per_second, "servers replaced a second")
        ->capture_default_str();
    app.add_option("--reports", world.reports_per_second, "reports a second; 0: none")
        ->capture_default_str();
    app.add_flag("!--without-demand", world.demand, "demand of the services is not told");
    app.add_option("--lines", world.lines_per_second, "the channel's pace, lines a second")
        ->capture_default_str();
    app.add_option("--routes", world.routes, "routes; these and tenants are measured alone")
        ->capture_default_str();
    app.add_option("--tenants", world.tenants, "tenants")->capture_default_str();
    app.add_option("--scenario", options.scenario, "steady, burst, zone_loss, release or mass_join")
        ->check(CLI::IsMember({"steady", "burst", "zone_loss", "release", "mass_join"}))
        ->capture_default_str();
    app.add_option("--quiet", world.quiet_seconds, "seconds of world time for the first tables")
        ->capture_default_str();
    app.add_option("--warmup", world.warmup_seconds, "seconds of world time before")
        ->capture_default_str();
    app.add_option("--seconds", world.seconds, "seconds of world time measured")
        ->capture_default_str();
}

void add_core_options(CLI::App& app, CoreOptions& options) {
    auto* const small =
        app.add_flag("--small", options.small, "small worlds, each run twice; counts must agree");
    app.add_flag("--standard", options.standard, "all sweeps")->excludes(small);
    app.add_option("--seed", options.sweep.seed, "of the worlds")->capture_default_str();
    app.add_option("--out", options.out, "results file; standard output if absent");
    app.add_option("--revision", options.sweep.revision,
                   "of the text that was built, for the results");
    app.add_option("--point-seconds", options.sweep.limits.processor_seconds,
                   "processor time for a point")
        ->check(CLI::Range(0.1, 3'600.0))
        ->capture_default_str();
    add_world_options(app, options);
}

std::vector<Sweep> sweeps_of(CoreOptions& options) {
    if (options.small) {
        return small_sweeps(options.sweep.seed);
    }
    if (options.standard) {
        return standard_sweeps(options.sweep.seed);
    }
    WorldSpec world = options.world;
    world.seed = options.sweep.seed;
    world.scenario = json(options.scenario).get<Scenario>();
    if (world.routes > 0 || world.tenants > 0) {
        world.workload = Workload::routing;
    }
    return {Sweep{"one point", "", {world}}};
}

int run_core_command(CoreOptions& options) {
    options.sweep.preset = options.small ? "small" : options.standard ? "standard" : "one point";
    options.sweep.run_twice = options.small;
    options.sweep.limits.memory_bytes = half_of_memory();
    const json results = run_sweeps(sweeps_of(options), options.sweep);
    if (options.out.empty()) {
        std::cout << results.dump(1) << std::endl;
    } else {
        std::ofstream file(options.out);
        file << results.dump(1) << std::endl;
        if (!file) {
            std::cerr << "micaroad_scale: " << options.out << " can't be written" << std::endl;
            return kExitFailed;
        }
    }
    return all_succeeded(results) ? 0 : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Measures what a planner costs by the size of its world.");
    app.require_subcommand(1);
    CoreOptions core;
    CLI::App* const core_command =
        app.add_subcommand("core", "one planner's core, without sockets, in virtual time");
    add_core_options(*core_command, core);
    std::string spec;
    PointLimits limits;
    CLI::App* const point_command =
        app.add_subcommand("point", "one point, as the other commands run it");
    point_command->group("");
    point_command->add_option("--spec", spec)->required();
    point_command->add_option("--point-seconds", limits.processor_seconds);
    point_command->add_option("--memory-bytes", limits.memory_bytes);
    try {
        app.parse(argc, argv);
        return point_command->parsed() ? point_main(spec, limits) : run_core_command(core);
    } catch (const CLI::CallForHelp& help) {
        return app.exit(help);
    } catch (const CLI::ParseError& bad) {
        std::cerr << "micaroad_scale: " << bad.what() << std::endl;
        return kExitUsage;
    } catch (const BadWorld& bad) {
        std::cerr << "micaroad_scale: bad world: " << bad.what() << std::endl;
        return kExitUsage;
    } catch (const std::exception& bad) {
        std::cerr << "micaroad_scale: " << bad.what() << std::endl;
        return kExitFailed;
    }
}
