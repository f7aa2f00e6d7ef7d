#include "world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace micaroad::scale {
namespace {

constexpr int kServersPerCell = 30;
constexpr int kWeight = 4;
constexpr double kMaxQueueSeconds = 22;         // at the channel's line rate
constexpr double kMaxReportWindowSeconds = 60;  // maximum time that one report covers

void require(bool valid, const char* parameter, const char* bounds) {
    if (!valid) {
        throw BadWorld(fmt::format("{} must be {}", parameter, bounds));
    }
}

int pools_of(const WorldSpec& spec) {
    return spec.pools == 0 ? spec.services : spec.pools;
}

double report_interval_seconds(const WorldSpec& spec) {
    return spec.servers / spec.reports_per_second;
}

}  // namespace

void check(const WorldSpec& spec) {
    require(spec.proxies >= 1 && spec.proxies <= 100'000, "proxies", "1 to 100,000");
    require(spec.planners >= 1 && spec.planners <= 100'000, "planners", "1 to 100,000");
    require(spec.servers >= 1 && spec.servers <= 1'000'000, "servers", "1 to 1,000,000");
    require(spec.services >= 1 && spec.services <= spec.servers, "services",
            "1 to the number of servers");
    require(spec.pools >= 0 && spec.pools <= spec.services, "pools", "0 to the number of services");
    require(spec.skew >= 0 && spec.skew <= 3, "skew", "0 to 3");
    require(spec.zones >= 1 && spec.zones <= 1'000, "zones", "1 to 1,000");
    require(spec.changes_per_second >= 0 && spec.changes_per_second <= spec.servers, "changes",
            "0 to the number of servers");
    require(spec.reports_per_second >= 0 && spec.reports_per_second <= 1e6, "reports",
            "0 to 1,000,000");
    require(
        spec.reports_per_second == 0 || report_interval_seconds(spec) <= kMaxReportWindowSeconds,
        "reports", "0, or one on each server in 60 s at least");
    require(spec.routes >= 0 && spec.routes <= 1'000'000, "routes", "0 to 1,000,000");
    require(spec.tenants >= 0 && spec.tenants <= 10'000'000, "tenants", "0 to 10,000,000");
    require(spec.lines_per_second > 0 && spec.lines_per_second <= 1e6, "lines",
            "over 0, to 1,000,000");
    require(spec.quiet_seconds >= 0 && spec.quiet_seconds <= 600, "quiet", "0 to 600 s");
    require(spec.warmup_seconds >= 0 && spec.warmup_seconds <= 600, "warmup", "0 to 600 s");
    require(spec.seconds >= 1 && spec.seconds <= 3'600, "seconds", "1 to 3,600");
}

std::vector<int> zipf_sizes(int total, int parts, double exponent) {
    std::vector<double> weights(static_cast<std::size_t>(parts));
    double sum = 0;
    for (int i = 0; i < parts; ++i) {
        sum += weights[static_cast<std::size_t>(i)] = std::pow(i + 1.0, -exponent);
    }
    std::vector<int> sizes;
    int remaining = total;
    for (int i = 0; i < parts; ++i) {
        const int min_for_rest = parts - i - 1;
        const int rounded_share =
            static_cast<int>(std::lround(total * weights[static_cast<std::size_t>(i)] / sum));
        sizes.push_back(std::clamp(rounded_share, 1, remaining - min_for_rest));
        remaining -= sizes.back();
    }
    sizes.front() += remaining;  // remainder of the rounding
    return sizes;
}

double expected_memory(const WorldSpec& spec) {
    constexpr double kProgram = 64e6, kServer = 4'096, kRowsPerServer = 10, kLine = 32,
                     kRoute = 4'096, kTenant = 2'048;
    const double servers = spec.servers;
    if (spec.workload == Workload::routing) {
        return kProgram + spec.routes * kRoute + spec.tenants * kTenant;
    }
    const double rows = servers * pools_of(spec) * sizeof(double) * kRowsPerServer;
    const double tables = std::min(1.0 * spec.proxies, 100.0) * servers * kLine;
    return kProgram + servers * kServer + rows + tables;
}

World::World(const WorldSpec& spec)
    : spec_(spec), random_(static_cast<std::minstd_rand::result_type>(spec.seed)) {
    check(spec_);
    servers_per_kind_ = zipf_sizes(spec_.servers, pools_of(spec_), spec_.skew);
    for (int kind = 0; kind < std::ssize(servers_per_kind_); ++kind) {
        for (int i = 0; i < servers_per_kind_[static_cast<std::size_t>(kind)]; ++i) {
            servers_.push_back(make_server(servers_made_ % spec_.zones, kind, std::nullopt));
        }
    }
    std::shuffle(servers_.begin(), servers_.end(), random_);
}

// The settings of bench/fleet_bench.cpp, except for the methods and the channel's line rate.
DeploymentSettings World::deployment_settings() const {
    DeploymentSettings settings;
    for (int service = 0; service < spec_.services; ++service) {
        const KindId kind{service % pools_of(spec_)};
        settings.methods.push_back(Method{Duration{15'000}, 3, false, {kind}, {}});
    }
    settings.zone_count = spec_.zones;
    settings.proxy_count = spec_.proxies * spec_.planners;
    settings.planner_count = spec_.planners;
    settings.channel_lines_per_second = spec_.lines_per_second;
    settings.overhead_lines_per_message = 3;
    settings.max_pending_lines = kMaxQueueSeconds * spec_.lines_per_second;
    settings.report_interval = Duration{5'000};
    settings.max_message_delay = Duration{4'800};
    settings.drain_grace = Duration{224'000};
    settings.warm_up_duration = Duration{180'000};
    settings.cold_capacity_fraction = 0.17;
    settings.overload_factor = 3;
    settings.overload_window = Duration{15'000};
    settings.admission_kind = AdmissionKind::fraction;
    settings.default_retry_policy = RetryPolicy::once_if_not_executed;
    return settings;
}

SymbolTable World::names() const {
    SymbolTable names;
    for (int service = 0; service < spec_.services; ++service) {
        names.methods.push_back(fmt::format("m{}", service));
    }
    for (int zone = 0; zone < spec_.zones; ++zone) {
        names.zones.push_back(fmt::format("z{}", zone));
    }
    for (int kind = 0; kind < pools_of(spec_); ++kind) {
        names.kinds.push_back(fmt::format("k{}", kind));
    }
    return names;
}

World::Server World::make_server(int zone, int kind, std::optional<TimePoint> started) {
    const int number = servers_made_++;
    const std::string id =
        fmt::format("s-{:08x}", static_cast<std::uint32_t>(number) * 2'654'435'761U);
    return {id, zone, kind, number / kServersPerCell, EndpointPhase::ready, started};
}

std::string World::endpoint_json(const Server& server) const {
    const char* const state = server.phase == EndpointPhase::ready      ? "up"
                              : server.phase == EndpointPhase::draining ? "draining"
                                                                        : "removed";
    std::string text = fmt::format(
        R"({{"id":"{}","addr":"127.0.0.1:9","zone":"z{}","kind":"k{}","cell":{},"weight":{},"state":"{}")",
        server.id, server.zone, server.kind, server.cell, kWeight, state);
    if (server.started) {
        text += fmt::format(R"(,"started_ms":{})", server.started->time_since_epoch().count() / 10);
    }
    return text + "}";
}

std::string World::list_message(const std::vector<Server>& changed, bool complete) {
    std::string text = fmt::format(R"({{"version":{},"full":{},"servers":[)", ++version_, complete);
    for (const Server& server : changed) {
        if (text.back() != '[') {
            text += ',';
        }
        text += endpoint_json(server);
    }
    return text + "]}";
}

std::string World::complete_list() {
    return list_message(servers_, true);
}

std::string World::join_line(int proxy) const {
    const double rate = kAttemptsPerServerPerSecond * spec_.servers / spec_.proxies;
    return fmt::format("hello sidecar={} az=z{} share={:.3f} standing=1", proxy,
                       proxy % spec_.zones, rate);
}

std::string World::acknowledgement_line(int proxy, int nonce) {
    return fmt::format("ack sidecar={} version={} lag_ms=1", proxy, nonce);
}

std::vector<std::string> World::report_lines(int number) {
    std::vector<std::string> lines;
    const double window = spec_.reports_per_second > 0 ? report_interval_seconds(spec_) : 0;
    for (std::size_t examined = 0; std::ssize(lines) < number && examined < servers_.size();
         ++examined) {
        const Server& server = servers_[next_reported_++ % servers_.size()];
        if (server.phase != EndpointPhase::ready) {
            continue;
        }
        const unsigned mean_ms = 300 + random_() % 90;
        const unsigned from = random_() % static_cast<unsigned>(spec_.zones);
        lines.push_back(fmt::format("outcomes host={} az=z{} n={:.3f} bad=0 avg={} window={:.1f}",
                                    server.id, from, kAttemptsPerServerPerSecond * window, mean_ms,
                                    window * 1'000));
    }
    return lines;
}

std::vector<std::string> World::demand_lines(int number) {
    std::vector<std::string> lines;
    for (int i = 0; i < number; ++i) {
        const std::size_t service = next_demand_ % static_cast<std::size_t>(spec_.services);
        const std::size_t proxy = next_demand_++ % static_cast<std::size_t>(spec_.proxies);
        const std::size_t pool = service % servers_per_kind_.size();
        // The RPCs of a pool are divided evenly among the services that share it.
        const double services_in_pool =
            std::ceil(1.0 * (spec_.services - static_cast<int>(pool)) / pools_of(spec_));
        lines.push_back(
            fmt::format("demand sidecar={} kind=m{} n={:.3f} bad=0 window=1000", proxy, service,
                        kAttemptsPerServerPerSecond * servers_per_kind_[pool] / services_in_pool));
    }
    return lines;
}

// Returns a random server that is ready, or any server if none is ready.
std::size_t World::pick_ready_server() {
    std::size_t at = random_() % servers_.size();
    for (std::size_t tries = 0;
         tries < servers_.size() && servers_[at].phase != EndpointPhase::ready; ++tries) {
        at = (at + 1) % servers_.size();
    }
    return at;
}

World::Change World::replace(int number, TimePoint now) {
    Change change;
    std::vector<Server> changed;
    for (int i = 0; i < number; ++i) {
        Server& server = servers_[pick_ready_server()];
        Server gone = server;
        gone.phase = EndpointPhase::gone;
        change.gone.push_back(gone.id);
        server = make_server(gone.zone, gone.kind, now);
        changed.push_back(std::move(gone));
        changed.push_back(server);
    }
    change.list = list_message(changed, false);
    return change;
}

World::Change World::drain(int number) {
    Change change;
    std::vector<Server> changed;
    for (int i = 0; i < number; ++i) {
        Server& server = servers_[pick_ready_server()];
        if (server.phase != EndpointPhase::ready) {
            break;
        }
        server.phase = EndpointPhase::draining;
        change.gone.push_back(server.id);
        changed.push_back(server);
    }
    change.list = list_message(changed, false);
    return change;
}

World::Change World::replace_draining(TimePoint now) {
    Change change;
    std::vector<Server> changed;
    for (Server& server : servers_) {
        if (server.phase != EndpointPhase::draining) {
            continue;
        }
        Server gone = server;
        gone.phase = EndpointPhase::gone;
        server = make_server(gone.zone, gone.kind, now);
        changed.push_back(std::move(gone));
        changed.push_back(server);
    }
    change.list = list_message(changed, false);
    return change;
}

World::Change World::remove_zone(int zone) {
    Change change;
    std::vector<Server> changed;
    const auto first_lost =
        std::stable_partition(servers_.begin(), servers_.end(),
                              [zone](const Server& server) { return server.zone != zone; });
    lost_servers_.assign(first_lost, servers_.end());
    servers_.erase(first_lost, servers_.end());
    for (Server server : lost_servers_) {
        server.phase = EndpointPhase::gone;
        change.gone.push_back(server.id);
        changed.push_back(std::move(server));
    }
    change.list = list_message(changed, false);
    return change;
}

World::Change World::restore_zone(TimePoint now) {
    std::vector<Server> changed;
    for (const Server& server : lost_servers_) {
        changed.push_back(make_server(server.zone, server.kind, now));
    }
    servers_.insert(servers_.end(), changed.begin(), changed.end());
    lost_servers_.clear();
    return {list_message(changed, false), {}};
}

}  // namespace micaroad::scale
