#include "wire_run.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <system_error>

#include "wire_deployment.hpp"
#include "wire_point.hpp"

namespace micaroad::scale {
namespace wire {
namespace {

using nlohmann::json;

constexpr double kMebibyte = 1024.0 * 1024.0;
// Upper estimates of the memory that a size needs, in bytes.
constexpr double kPlannerBytes = 24 * kMebibyte, kPlannerBytesPerServer = 4'096,
                 kPlannerBytesPerProxy = 65'536;
constexpr double kBytesPerTableEntry = 512;  // in the planner's copy of a proxy's table
constexpr double kHollowBytesPerServer = 512, kBytesPerStream = 32'768, kBytesPerTrackedEntry = 16;
constexpr int kReservedFiles = 64;

double estimated_bytes(const WireWorld& world) {
    const double servers = world.servers, proxies = world.proxies;
    const double real = kPlannerBytes + servers * kPlannerBytesPerServer +
                        proxies * kPlannerBytesPerProxy + proxies * servers * kBytesPerTableEntry;
    const double hollow = servers * kHollowBytesPerServer;
    const double stand_ins = world.planners() * (proxies + world.zones + 1) * kBytesPerStream +
                             world.real_planners * proxies * servers * kBytesPerTrackedEntry;
    return world.real_planners * real + world.hollow_planners * hollow + stand_ins;
}

// The reason why the size can't be run on this machine now; empty if it can.
std::string skip_reason(const WireWorld& world, std::int64_t max_files) {
    const MachineMemory memory = machine_memory();
    const double needed_bytes = estimated_bytes(world);
    const double usable =
        std::min<double>(memory.total_bytes / 2.0, static_cast<double>(memory.available_bytes));
    if (needed_bytes > usable) {
        return fmt::format("it is taken to need {:.0f} MiB, and {:.0f} MiB may be used",
                           needed_bytes / kMebibyte, usable / kMebibyte);
    }
    const std::int64_t sockets =
        std::int64_t{world.planners()} * (world.proxies + world.zones + 3) + kReservedFiles;
    if (sockets > max_files) {
        return fmt::format("it needs {} open files, {} are allowed", sockets, max_files);
    }
    return {};
}

std::string description_of(const WireWorld& world) {
    return fmt::format(
        "{} real and {} hollow planners, {} proxies each, {} servers, {} changes a second",
        world.real_planners, world.hollow_planners, world.proxies, world.servers,
        world.changes_per_second);
}

void print_point(const PointResult& point) {
    fmt::print(stderr,
               "  real planner: {:.1f}% of a core, {:.1f} MiB, {:.0f} B/s in, {:.0f} B/s out; in "
               "force after "
               "{:.0f}, {:.0f}, {:.0f} ms (50, 99, 100 of 100); stand-ins {:.0f}% of a core\n",
               100 * point.real.share_mean, point.real.bytes_mean / kMebibyte,
               point.real.all.bytes_in, point.real.all.bytes_out, point.changes.in_force.p50,
               point.changes.in_force.p99, point.changes.in_force.p100,
               100 * point.stand_ins_share);
    for (const EventFigures& event : point.events) {
        const Delays& delays = event.first_message ? *event.first_message : event.changes.in_force;
        fmt::print(stderr, "  {}: {} servers, {} samples, {:.0f}, {:.0f}, {:.0f} ms\n",
                   name_of(event.event), event.servers, delays.samples, delays.p50, delays.p99,
                   delays.p100);
    }
    for (const Comparison& comparison : point.comparisons) {
        fmt::print(stderr, "  {}: real {:.1f}, hollow {:.1f} a second{}\n", comparison.figure,
                   comparison.real, comparison.hollow,
                   comparison.within ? "" : " BEYOND THE BOUND");
    }
    for (const Check& check : point.checks) {
        fmt::print(stderr, "  {}: {} ({})\n", check.passed ? "passed" : "FAILED", check.name,
                   check.detail);
    }
}

json machine() {
    const MachineMemory memory = machine_memory();
    return {{"processor", processor_name()},
            {"processors", processors()},
            {"memory_bytes", memory.total_bytes},
            {"memory_available_bytes", memory.available_bytes}};
}

class Run {
 public:
    explicit Run(const WireOptions& options) : options_(options), max_files_(raise_file_limit()) {}

    bool run_all() {
        const std::vector<WireSize> sizes = sizes_of(options_);
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            fmt::print(stderr, "{} of {}, {}: {}\n", i + 1, sizes.size(), sizes[i].varied,
                       description_of(sizes[i].world));
            run(sizes[i]);
        }
        return passed_;
    }

    json results() const {
        return {{"tool", "wire"},
                {"machine", machine()},
                {"text", options_.revision},
                {"seed", options_.seed},
                {"hollow_bound", options_.hollow_bound},
                {"settle_ms", options_.settle.count()},
                {"points", points_},
                {"left_out", skipped_},
                {"passed", passed_}};
    }

 private:
    void run(const WireSize& size) {
        if (const std::string reason = skip_reason(size.world, max_files_); !reason.empty()) {
            return skip(size, reason);
        }
        try {
            const PointResult point = run_point(options_, size.varied, size.world, size.events);
            print_point(point);
            points_.push_back(to_json(point));
            passed_ = passed_ && point.passed();
        } catch (const std::runtime_error& failed) {
            skip(size, failed.what());
            passed_ = false;
        }
    }

    void skip(const WireSize& size, const std::string& reason) {
        fmt::print(stderr, "  left out: {}\n", reason);
        skipped_.push_back(to_json(SkippedSize{size.varied, size.world, reason}));
    }

    const WireOptions& options_;
    const std::int64_t max_files_;
    json points_ = json::array(), skipped_ = json::array();
    bool passed_ = true;
};

void write(const std::string& path, const json& results) {
    if (path.empty()) {
        std::cout << results.dump(2) << std::endl;
        return;
    }
    std::ofstream file(path);
    file << results.dump(2) << std::endl;
    if (!file) {
        throw std::system_error(errno, std::generic_category(), path);
    }
}

}  // namespace
}  // namespace wire

int run_wire(const WireOptions& options) {
    check(options);
    signal(SIGPIPE, SIG_IGN);
    wire::Run run(options);
    const bool passed = run.run_all();
    wire::write(options.output, run.results());
    return passed ? 0 : kExitCheckFailed;
}

}  // namespace micaroad::scale
