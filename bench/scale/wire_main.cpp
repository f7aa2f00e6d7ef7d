// micaroad_scale_wire: runs the socket part of the scale run.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "wire_run.hpp"

namespace {

using micaroad::scale::WireOptions;

struct Milliseconds {
    std::int64_t start_limit, settle, window, event_limit, report_interval;
    std::vector<std::int64_t> reports;
    explicit Milliseconds(const WireOptions& options)
        : start_limit(options.start_limit.count()),
          settle(options.settle.count()),
          window(options.window.count()),
          event_limit(options.event_limit.count()),
          report_interval(options.base.report_interval.count()) {}
    void apply_to(WireOptions& options) const {
        options.start_limit = std::chrono::milliseconds(start_limit);
        options.settle = std::chrono::milliseconds(settle);
        options.window = std::chrono::milliseconds(window);
        options.event_limit = std::chrono::milliseconds(event_limit);
        options.base.report_interval = std::chrono::milliseconds(report_interval);
        for (const std::int64_t report : reports) {
            options.reports.push_back(std::chrono::milliseconds(report));
        }
    }
};

void add_world(CLI::App& app, micaroad::scale::WireWorld& world) {
    app.add_option("--real", world.real_planners, "real planners, a process each")
        ->capture_default_str();
    app.add_option("--hollow", world.hollow_planners, "hollow planners")->capture_default_str();
    app.add_option("--proxies", world.proxies, "proxies of each planner")->capture_default_str();
    app.add_option("--servers", world.servers, "servers")->capture_default_str();
    app.add_option("--zones", world.zones, "zones")->capture_default_str();
    app.add_option("--methods", world.methods, "methods")->capture_default_str();
    app.add_option("--changes", world.changes_per_second, "changes a second")
        ->capture_default_str();
    app.add_option("--lines-per-proxy", world.lines_per_proxy,
                   "pace of the channel, lines a second and proxy")
        ->capture_default_str();
}

void add_run(CLI::App& app, WireOptions& options, Milliseconds& times,
             std::vector<std::string>& events) {
    app.add_option("--planner", options.planner_program, "path of the program micaroad")
        ->required();
    app.add_option("--text", options.revision, "git revision of what is measured")
        ->capture_default_str();
    app.add_option("--output", options.output,
                   "path of the JSON object; standard output if left out");
    app.add_option("--seed", options.seed, "seed of the world")->capture_default_str();
    app.add_option("--vary-planners", options.planners, "sizes, real and hollow ones together")
        ->delimiter(',');
    app.add_option("--vary-proxies", options.proxies, "sizes, proxies of each planner")
        ->delimiter(',');
    app.add_option("--vary-servers", options.servers, "sizes, servers")->delimiter(',');
    app.add_option("--vary-changes", options.changes, "sizes, changes a second")->delimiter(',');
    app.add_option("--vary-report-ms", times.reports,
                   "sizes, milliseconds between two reports on a server")
        ->delimiter(',');
    app.add_option("--events", events, "burst, rack, zone, dial, discovery: on the base, in order")
        ->delimiter(',');
    app.add_option("--burst", options.burst, "servers that drain at once")->capture_default_str();
    app.add_option("--bound", options.hollow_bound,
                   "part by which a hollow planner's traffic may differ")
        ->capture_default_str();
    app.add_option("--hollow-per-process", options.hollow_per_process,
                   "hollow planners of a process")
        ->capture_default_str();
    app.add_option("--start-limit-ms", times.start_limit, "until each proxy has a message")
        ->capture_default_str();
    app.add_option("--settle-ms", times.settle, "before the window")->capture_default_str();
    app.add_option("--window-ms", times.window, "that is measured")->capture_default_str();
    app.add_option("--event-limit-ms", times.event_limit, "until all is in force")
        ->capture_default_str();
    app.add_option("--report-ms", times.report_interval, "between two reports on a server")
        ->capture_default_str();
}

}  // namespace

int main(int argc, char** argv) {
    WireOptions options;
    Milliseconds times(options);
    std::vector<std::string> events;
    bool all = false;
    CLI::App app("Real and hollow planners on loopback sockets, measured by size and event.");
    add_world(app, options.base);
    add_run(app, options, times, events);
    app.add_flag("--all", all, "four sizes of each kind, and all events")
        ->excludes("--vary-planners", "--vary-proxies", "--vary-servers", "--vary-changes",
                   "--vary-report-ms", "--events");
    try {
        app.parse(argc, argv);
        times.apply_to(options);
        if (all) {
            vary_all(options);
        }
        for (const std::string& event : events) {
            options.events.push_back(micaroad::scale::wire_event_of(event));
        }
        return micaroad::scale::run_wire(options);
    } catch (const CLI::ParseError& parse) {
        return app.exit(parse) == 0 ? 0 : micaroad::scale::kExitBadUsage;
    } catch (const micaroad::scale::BadWireOptions& bad) {
        std::fprintf(stderr, "micaroad_scale_wire: %s\n", bad.what());
        return micaroad::scale::kExitBadUsage;
    } catch (const std::exception& failed) {
        std::fprintf(stderr, "micaroad_scale_wire: %s\n", failed.what());
        return micaroad::scale::kExitCheckFailed;
    }
}
