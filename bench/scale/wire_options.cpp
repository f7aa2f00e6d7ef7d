#include "wire_options.hpp"

#include <fmt/format.h>
#include <unistd.h>

namespace micaroad::scale {
namespace {

constexpr std::pair<const char*, WireEvent> kEvents[] = {{"burst", WireEvent::burst},
                                                         {"rack", WireEvent::rack},
                                                         {"zone", WireEvent::zone},
                                                         {"dial", WireEvent::dial},
                                                         {"discovery", WireEvent::discovery}};

template <class Number>
void expect_between(const char* name, Number value, Number minimum, Number maximum) {
    if (value >= minimum && value <= maximum) {
        return;
    }
    throw BadWireOptions(
        fmt::format("{} is {}: it has to be from {} to {}", name, value, minimum, maximum));
}

void expect_time(const char* name, std::chrono::milliseconds value, int minimum, int maximum) {
    expect_between(name, value.count(), std::int64_t{minimum}, std::int64_t{maximum});
}

void check_world(const WireWorld& world) {
    expect_between("--real", world.real_planners, 1, 64);
    expect_between("--hollow", world.hollow_planners, 0, kMaxPlanners);
    expect_between("planners", world.planners(), 1, kMaxPlanners);
    expect_between("--proxies", world.proxies, 1, 4'096);
    expect_between("proxies of all planners", world.proxies * world.planners(), 1, kMaxStreams);
    expect_between("--zones", world.zones, 1, 100);
    expect_between("--servers", world.servers, 2 * world.zones, kMaxServers);
    expect_between("--methods", world.methods, 1, kMaxMethods);
    expect_between("--changes", world.changes_per_second, 0.0, 100.0);
    expect_time("--report-ms", world.report_interval, 100, 60'000);
    expect_between("--lines-per-proxy", world.lines_per_proxy, 0.1, 100'000.0);
}

}  // namespace

const char* name_of(WireEvent event) {
    for (const auto& [name, known] : kEvents) {
        if (known == event) {
            return name;
        }
    }
    return "?";
}

WireEvent wire_event_of(const std::string& name) {
    for (const auto& [known, event] : kEvents) {
        if (name == known) {
            return event;
        }
    }
    throw BadWireOptions("no event is named '" + name +
                         "': burst, rack, zone, dial and discovery are");
}

void vary_all(WireOptions& options) {
    options.planners = {4, 16, 32, 64};
    options.proxies = {8, 32, 64, 128};
    options.servers = {250, 1'000, 2'000, 4'000};
    options.changes = {0.5, 2, 5, 10};
    options.reports = {std::chrono::milliseconds(250), std::chrono::milliseconds(500),
                       std::chrono::milliseconds(2'000), std::chrono::milliseconds(4'000)};
    options.events = {WireEvent::burst, WireEvent::rack, WireEvent::zone, WireEvent::dial,
                      WireEvent::discovery};
}

std::vector<WireSize> sizes_of(const WireOptions& options) {
    std::vector<WireSize> sizes{{"base", options.base, options.events}};
    const auto add = [&](const char* varied) -> WireWorld& {
        return sizes.emplace_back(WireSize{varied, options.base, {}}).world;
    };
    for (const int planners : options.planners) {
        add("planners").hollow_planners = planners - options.base.real_planners;
    }
    for (const int proxies : options.proxies) {
        add("proxies").proxies = proxies;
    }
    for (const int servers : options.servers) {
        add("servers").servers = servers;
    }
    for (const double changes : options.changes) {
        add("changes").changes_per_second = changes;
    }
    for (const auto report_interval : options.reports) {
        add("reports").report_interval = report_interval;
    }
    return sizes;
}

void check(const WireOptions& options) {
    if (access(options.planner_program.c_str(), X_OK) != 0) {
        throw BadWireOptions("--planner '" + options.planner_program +
                             "' is no program that can be run");
    }
    if (options.seed == 0) {
        throw BadWireOptions("--seed is 0: it has to be at least 1");
    }
    expect_between("sizes", static_cast<int>(sizes_of(options).size()), 1, kMaxSizes);
    for (const WireSize& size : sizes_of(options)) {
        check_world(size.world);
    }
    if (!options.events.empty()) {
        expect_between("--burst", options.burst, 1, options.base.servers / 4);
    }
    expect_between("--bound", options.hollow_bound, 0.0, 1.0);
    expect_between("--hollow-per-process", options.hollow_per_process, 1, kMaxPlanners);
    const int hollow_processes = kMaxPlanners / options.hollow_per_process + 1;
    expect_between("processes", options.base.real_planners + hollow_processes, 1, kMaxProcesses);
    expect_time("--start-limit-ms", options.start_limit, 1'000, 600'000);
    expect_time("--settle-ms", options.settle, 0, 600'000);
    expect_time("--window-ms", options.window, 1'000, 600'000);
    expect_time("--event-limit-ms", options.event_limit, 1'000, 600'000);
}

}  // namespace micaroad::scale
