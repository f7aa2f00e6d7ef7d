#include "wire_point.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>

#include "wire_deployment.hpp"

namespace micaroad::scale::wire {
namespace {

constexpr Milliseconds kDiscoveryDowntime{3'000};
constexpr int kChangesWhileDown = 20;
constexpr Milliseconds kInFlightTimeout{3'000};  // for written messages to be read

// All counters at one time. They only grow.
struct Snapshot {
    TimePoint when;
    std::vector<TrafficByRole> traffic;
    std::vector<ProcessUsage> real, hollow;
    ProcessUsage stand_ins;
    std::array<std::chrono::nanoseconds, kRoles> roles{};
};

std::vector<ProcessUsage> usages_of(const std::vector<pid_t>& ids) {
    std::vector<ProcessUsage> usages;
    for (const pid_t id : ids) {
        usages.push_back(usage_of(id).value_or(ProcessUsage{}));
    }
    return usages;
}

Snapshot snapshot_of(const Deployment& deployment) {
    Snapshot snapshot;
    snapshot.when = Clock::now();
    snapshot.traffic = deployment.traffic();
    snapshot.real = usages_of(deployment.real_processes());
    snapshot.hollow = usages_of(deployment.hollow_processes());
    snapshot.stand_ins = usage_of(getpid()).value_or(ProcessUsage{});
    for (std::size_t role = 0; role < kRoles; ++role) {
        snapshot.roles[role] = deployment.loop().processor_time(static_cast<Role>(role));
    }
    return snapshot;
}

double seconds_between(const Snapshot& before, const Snapshot& after) {
    return std::chrono::duration<double>(after.when - before.when).count();
}

void add_usage(PlannerFigures& figures, const std::vector<ProcessUsage>& before,
               const std::vector<ProcessUsage>& after, double seconds) {
    figures.processes = static_cast<int>(after.size());
    for (std::size_t i = 0; i < after.size(); ++i) {
        const double share = (after[i].processor_seconds - before[i].processor_seconds) / seconds;
        const auto bytes = static_cast<double>(after[i].proportional_bytes);
        figures.share_mean += share / static_cast<double>(after.size());
        figures.bytes_mean += bytes / static_cast<double>(after.size());
        figures.share_max = std::max(figures.share_max, share);
        figures.bytes_max = std::max(figures.bytes_max, bytes);
    }
}

// Consecutive planners, starting with the number `first`.
struct Group {
    std::size_t first = 0;
    int planners = 0;
};

void add_traffic(PlannerFigures& figures, const Snapshot& before, const Snapshot& after,
                 const Group& group, Role role) {
    const std::size_t end = group.first + static_cast<std::size_t>(group.planners);
    const auto at = static_cast<std::size_t>(role);
    Traffic sum;
    for (std::size_t planner = group.first; planner < end; ++planner) {
        sum += after.traffic[planner][at] - before.traffic[planner][at];
    }
    figures.planners = group.planners;
    figures.by_role[at] = rates_of(sum, seconds_between(before, after), group.planners);
    figures.all += figures.by_role[at];
}

void add_traffic(PlannerFigures& figures, const Snapshot& before, const Snapshot& after,
                 const Group& group) {
    for (const Role role : {Role::discovery, Role::collector, Role::proxy}) {
        add_traffic(figures, before, after, group, role);
    }
}

Comparison compare(std::string figure, double real, double hollow, double bound) {
    const double difference = real == hollow ? 0 : std::abs(hollow - real) / std::max(real, 1e-9);
    return {std::move(figure), real, hollow, difference, difference <= bound};
}

void compare_rates(std::vector<Comparison>& comparisons, const std::string& group_name,
                   const TrafficRates& real, const TrafficRates& hollow, double bound) {
    comparisons.push_back(compare(group_name + " bytes in", real.bytes_in, hollow.bytes_in, bound));
    comparisons.push_back(
        compare(group_name + " bytes out", real.bytes_out, hollow.bytes_out, bound));
    comparisons.push_back(
        compare(group_name + " messages in", real.messages_in, hollow.messages_in, bound));
    comparisons.push_back(
        compare(group_name + " messages out", real.messages_out, hollow.messages_out, bound));
}

class PointRun {
 public:
    PointRun(const WireOptions& options, const std::string& varied, const WireWorld& sizes)
        : options_(options), deployment_(options, sizes) {
        point_.varied = varied;
        point_.world = sizes;
        point_.start_seconds = deployment_.start_seconds();
    }

    PointResult run(const std::vector<WireEvent>& events) {
        measure_window();
        check_counts("after the window");
        for (const WireEvent event : events) {
            point_.events.push_back(run_event(event));
        }
        if (!events.empty()) {
            check_counts("after the events");
        }
        check_events();
        point_.broken_streams = deployment_.proxies().broken();
        point_.unreadable_messages = deployment_.proxies().unreadable();
        point_.dropped_reports = deployment_.collectors().dropped();
        add_check("no stream broken, no message unreadable",
                  point_.broken_streams + point_.unreadable_messages == 0,
                  fmt::format("{} broken, {} unreadable", point_.broken_streams,
                              point_.unreadable_messages));
        return point_;
    }

 private:
    void measure_window() {
        deployment_.pause_changes(false);
        deployment_.run_for(options_.settle);
        deployment_.in_force().take();
        const std::int64_t announced = deployment_.announced();
        const Edge before = next_edge();
        deployment_.run_for(options_.window);
        const Edge after = next_edge();
        deployment_.pause_changes(true);
        record_figures(before, after);
        point_.changes = wait_until_in_force(announced);
        add_check("each change in force at each proxy", point_.changes.not_in_force == 0,
                  fmt::format("{} told, {} in force, {} not", point_.changes.announced,
                              point_.changes.in_force.samples, point_.changes.not_in_force));
        if (point_.world.changes_per_second > 0) {
            add_check("some change was told and came in force", point_.changes.in_force.samples > 0,
                      fmt::format("{} samples", point_.changes.in_force.samples));
        }
    }

    // One end of the measured window. A hollow planner repeats what real ones wrote in the previous
    // pace interval, so the window of its proxies begins and ends later.
    struct Edge {
        Snapshot real, hollow;
    };
    Edge next_edge() {
        Edge edge;
        deployment_.run_to_next_pace();
        edge.real = snapshot_of(deployment_);
        deployment_.run_for(Deployment::kPaceInterval / 2);
        edge.hollow = snapshot_of(deployment_);
        return edge;
    }

    Group real_planners() const { return {0, point_.world.real_planners}; }

    void record_figures(const Edge& before, const Edge& after) {
        const WireWorld& sizes = point_.world;
        point_.window_seconds = seconds_between(before.real, after.real);
        add_usage(point_.real, before.real.real, after.real.real, point_.window_seconds);
        add_traffic(point_.real, before.real, after.real, real_planners());
        add_usage(point_.hollow, before.hollow.hollow, after.hollow.hollow,
                  seconds_between(before.hollow, after.hollow));
        const Group hollow{static_cast<std::size_t>(sizes.real_planners), sizes.hollow_planners};
        add_traffic(point_.hollow, before.real, after.real, hollow, Role::discovery);
        add_traffic(point_.hollow, before.real, after.real, hollow, Role::collector);
        add_traffic(point_.hollow, before.hollow, after.hollow, hollow, Role::proxy);
        record_stand_ins(before.real, after.real);
        for (int planner = 0; planner < sizes.real_planners; ++planner) {
            point_.mean_table_size +=
                deployment_.proxies().mean_table_size(planner) / sizes.real_planners;
        }
        if (sizes.hollow_planners > 0) {
            compare_hollow();
        }
    }

    void record_stand_ins(const Snapshot& before, const Snapshot& after) {
        const int planners = point_.world.planners();
        const std::pair<Role, int> stand_ins[] = {{Role::discovery, planners},
                                                  {Role::collector, planners * point_.world.zones},
                                                  {Role::proxy, planners * point_.world.proxies}};
        for (const auto& [role, number] : stand_ins) {
            const auto at = static_cast<std::size_t>(role);
            const std::chrono::duration<double> used = after.roles[at] - before.roles[at];
            point_.stand_ins.push_back({role, number, used.count() / point_.window_seconds});
        }
        const double used = after.stand_ins.processor_seconds - before.stand_ins.processor_seconds;
        point_.stand_ins_share = used / point_.window_seconds;
        point_.stand_ins_bytes = after.stand_ins.proportional_bytes;
    }

    void compare_hollow() {
        const auto proxy = static_cast<std::size_t>(Role::proxy);
        const double bound = options_.hollow_bound;
        compare_rates(point_.comparisons, "all", point_.real.all, point_.hollow.all, bound);
        compare_rates(point_.comparisons, "proxies", point_.real.by_role[proxy],
                      point_.hollow.by_role[proxy], bound);
        double largest = 0;
        for (const Comparison& comparison : point_.comparisons) {
            largest = std::max(largest, comparison.difference);
        }
        add_check("a hollow planner's traffic is a real one's", largest <= bound,
                  fmt::format("largest difference {:.3f}, bound {:.3f}", largest, bound));
    }

    // Waits until all changes are in force. Counts those announced since the count was `announced`.
    ChangeFigures wait_until_in_force(std::int64_t announced) {
        deployment_.run([this] { return deployment_.in_force().pending() == 0; },
                        options_.event_limit);
        ChangeFigures figures;
        figures.announced = deployment_.announced() - announced;
        figures.not_in_force = deployment_.in_force().pending();
        const InForce::Result result = deployment_.in_force().take();
        figures.in_force = delays_of(result.milliseconds);
        figures.not_in_use = result.not_in_use;
        figures.overtaken = result.overtaken;
        return figures;
    }

    EventFigures run_event(WireEvent event) {
        EventFigures figures;
        figures.event = event;
        const std::int64_t announced = deployment_.announced();
        const Snapshot before = snapshot_of(deployment_);
        const std::vector<std::size_t> lost = begin(event);
        figures.servers = static_cast<std::int64_t>(lost.size());
        if (event == WireEvent::dial) {
            wait_for_first_messages(figures);
        }
        figures.changes = wait_until_in_force(announced);
        const Snapshot after = snapshot_of(deployment_);
        figures.seconds = seconds_between(before, after);
        PlannerFigures real;
        add_usage(real, before.real, after.real, figures.seconds);
        add_traffic(real, before, after, real_planners());
        figures.planner_share_mean = real.share_mean;
        figures.planner_traffic = real.all;
        figures.passed = figures.changes.not_in_force == 0 && figures.first_messages_missing == 0;
        const bool back = event == WireEvent::rack || event == WireEvent::zone;
        if (back) {
            restore(lost);
        }
        return figures;
    }

    std::vector<std::size_t> begin(WireEvent event) {
        std::vector<std::size_t> lost;
        switch (event) {
            case WireEvent::burst:
                lost = deployment_.world().replace(options_.burst);
                break;
            case WireEvent::rack:
                lost = deployment_.world().remove_rack();
                break;
            case WireEvent::zone:
                lost = deployment_.world().remove_zone();
                break;
            case WireEvent::dial:
                deployment_.proxies().redial(0);
                return lost;
            case WireEvent::discovery:
                return restart_discovery();
        }
        deployment_.publish();
        return lost;
    }

    // Servers drain while discovery is down. Planners learn of it when they have reconnected.
    std::vector<std::size_t> restart_discovery() {
        deployment_.discovery().stop();
        const int changes = std::min(kChangesWhileDown, point_.world.servers / 4);
        const std::vector<std::size_t> lost = deployment_.world().replace(changes);
        deployment_.run_for(kDiscoveryDowntime);
        deployment_.discovery().open();
        const auto all_watch = [this] {
            return deployment_.discovery().watches() ==
                   static_cast<std::size_t>(point_.world.planners());
        };
        deployment_.run(all_watch, options_.event_limit);
        return lost;
    }

    void wait_for_first_messages(EventFigures& figures) {
        const auto all_have_first_message = [this] {
            return deployment_.proxies().with_first_message(0) == point_.world.proxies;
        };
        deployment_.run(all_have_first_message, options_.event_limit);
        figures.first_message = delays_of(deployment_.proxies().first_message_times(0));
        figures.first_messages_missing = point_.world.proxies - figures.first_message->samples;
    }

    void restore(const std::vector<std::size_t>& servers) {
        deployment_.world().restore(servers);
        deployment_.publish();
        deployment_.run_for(options_.settle);
    }

    void check_counts(const std::string& when) {
        const WireWorld& sizes = point_.world;
        int joined = 0;
        for (int planner = 0; planner < sizes.planners(); ++planner) {
            joined += deployment_.proxies().joined(planner);
        }
        const int proxies = sizes.planners() * sizes.proxies;
        add_check("each proxy joined, " + when, joined == proxies,
                  fmt::format("{} of {}", joined, proxies));
        if (sizes.hollow_planners > 0) {
            check_hollow(when);
        }
    }

    // Waits for messages in flight to and from the hollow planners before it compares the counts.
    void check_hollow(const std::string& when) {
        deployment_.run([this] { return hollow_status_matches(); }, kInFlightTimeout);
        const HollowStatus status = deployment_.hollow_status();
        add_check(
            "hollow planners agree with the stand-ins, " + when, hollow_status_matches(),
            fmt::format(
                "{} streams, {} messages written and {} read, {} servers of {}, version {} of {}",
                status.streams, status.messages_written, messages_of_hollow(), status.listed,
                listed(), status.version, deployment_.world().version()));
    }

    bool hollow_status_matches() {
        const HollowStatus status = deployment_.hollow_status();
        return status.streams ==
                   std::int64_t{point_.world.hollow_planners} * point_.world.proxies &&
               status.messages_written == messages_of_hollow() && status.unanswered_nonces == 0 &&
               status.listed == listed() && status.version == deployment_.world().version();
    }

    std::int64_t messages_of_hollow() const {
        std::int64_t messages = 0;
        for (std::size_t planner = 0; planner < deployment_.traffic().size(); ++planner) {
            TrafficByRole traffic = deployment_.traffic()[planner];
            if (!deployment_.real(planner)) {
                messages += of(traffic, Role::proxy).messages_out;
            }
        }
        return messages;
    }

    std::int64_t listed() {
        const auto& servers = deployment_.world().servers();
        return std::count_if(servers.begin(), servers.end(), [](const Server& server) {
            return server.state != ServerState::removed;
        });
    }

    void check_events() {
        for (const EventFigures& event : point_.events) {
            add_check(fmt::format("event {}", name_of(event.event)), event.passed,
                      fmt::format("{} servers, {} in force, {} not, {} first messages missing",
                                  event.servers, event.changes.in_force.samples,
                                  event.changes.not_in_force, event.first_messages_missing));
        }
    }

    void add_check(std::string name, bool passed, std::string detail) {
        point_.checks.push_back({std::move(name), passed, std::move(detail)});
    }

    const WireOptions& options_;
    Deployment deployment_;
    PointResult point_;
};

}  // namespace

PointResult run_point(const WireOptions& options, const std::string& varied, const WireWorld& sizes,
                      const std::vector<WireEvent>& events) {
    return PointRun(options, varied, sizes).run(events);
}

}  // namespace micaroad::scale::wire
