#include "wire_world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <set>

namespace micaroad::scale::wire {
namespace {

using nlohmann::json;

constexpr std::uint32_t kIdFactor = 2'654'435'761u;  // odd, so that ids are unique
constexpr double kMinRate = 10, kMaxRate = 30;       // requests per second of a proxy
constexpr double kMinResponseMs = 200, kMaxResponseMs = 400;
constexpr int kPlannerMemoryMb = 128;  // memory limit of a planner in the start file
constexpr int kSpareSockets = 64;
constexpr double kMinChannelRate = 1'600;  // lines per second
constexpr const char* kKind = "m1";
// A loopback port where nothing listens, so that the servers don't answer health checks.
constexpr const char* kServerAddress = "127.0.0.1:9";

std::int64_t unix_ms() {
    using std::chrono::system_clock;
    const auto since = system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

json endpoint_json(const Server& server) {
    return {{"id", server.id},
            {"addr", kServerAddress},
            {"zone", World::zone_name(server.zone)},
            {"kind", kKind},
            {"cell", server.rack},
            {"state", name_of(server.state)},
            {"weight", 1.0},
            {"started_ms", server.started_ms}};
}

json list_json(std::int64_t version, bool full, json entries) {
    return {{"version", version}, {"full", full}, {"servers", std::move(entries)}};
}

}  // namespace

const char* name_of(ServerState state) {
    switch (state) {
        case ServerState::up:
            return "up";
        case ServerState::draining:
            return "draining";
        case ServerState::removed:
            return "removed";
    }
    return "?";
}

std::string World::zone_name(int zone) {
    return fmt::format("z{}", zone);
}
std::string World::method_name(int method) {
    return fmt::format("method{}", method);
}

int World::method_of(std::string_view name) const {
    constexpr std::string_view kPrefix = "method";
    if (!name.starts_with(kPrefix)) {
        return -1;
    }
    name.remove_prefix(kPrefix.size());
    int method = -1;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), method);
    const bool complete = error == std::errc{} && end == name.data() + name.size();
    return complete && method < sizes_.methods ? method : -1;
}

World::World(const WireWorld& sizes, std::uint32_t seed) : sizes_(sizes), random_(seed) {
    servers_.reserve(static_cast<std::size_t>(sizes_.servers));
    for (int server = 0; server < sizes_.servers; ++server) {
        const int zone = server % sizes_.zones;
        const int rack = zone + sizes_.zones * (server / sizes_.zones / kServersPerRack);
        add(make_server(zone, rack, 0));
    }
    for (int number = 0; number < sizes_.proxies * sizes_.planners(); ++number) {
        const int planner = number / sizes_.proxies;
        proxies_.push_back({number, planner, number % sizes_.zones, draw(kMinRate, kMaxRate)});
    }
}

double World::draw(double minimum, double maximum) {
    return std::uniform_real_distribution<double>(minimum, maximum)(random_);
}

Server World::make_server(int zone, int rack, std::int64_t started_ms) {
    const auto number = static_cast<std::uint32_t>(servers_.size()) + 1;
    return {fmt::format("s-{:08x}", number * kIdFactor), zone, rack, ServerState::up, started_ms};
}

void World::add(Server server) {
    index_[server.id] = servers_.size();
    servers_.push_back(std::move(server));
}

std::ptrdiff_t World::find(std::string_view id) const {
    const auto found = index_.find(id);
    return found == index_.end() ? -1 : static_cast<std::ptrdiff_t>(found->second);
}

void World::publish(Change change) {
    change.version = ++version_;
    changes_.push_back(std::move(change));
}

void World::remove_drained(std::vector<std::size_t>& changed) {
    const std::int64_t now = unix_ms();
    std::erase_if(draining_, [&](const Draining& draining) {
        if (now - draining.since_ms < kDrainMilliseconds) {
            return false;
        }
        Server& server = servers_[draining.server];
        if (server.state != ServerState::draining) {
            return true;  // lost or restored meanwhile
        }
        server.state = ServerState::removed;
        changed.push_back(draining.server);
        return true;
    });
}

std::vector<std::size_t> World::replace(int count) {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        if (servers_[i].state == ServerState::up) {
            up.push_back(i);
        }
    }
    std::vector<std::size_t> drained;
    std::sample(up.begin(), up.end(), std::back_inserter(drained), count, random_);
    std::vector<std::size_t> changed = drained;
    remove_drained(changed);
    for (const std::size_t i : drained) {
        servers_[i].state = ServerState::draining;
        draining_.push_back({i, unix_ms()});
        changed.push_back(servers_.size());
        add(make_server(servers_[i].zone, servers_[i].rack, unix_ms()));
    }
    publish({0, std::move(changed), drained, {}});
    return drained;
}

std::vector<std::size_t> World::remove_servers(const std::function<bool(const Server&)>& is_lost) {
    std::vector<std::size_t> gone;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        if (servers_[i].state == ServerState::removed || !is_lost(servers_[i])) {
            continue;
        }
        servers_[i].state = ServerState::removed;
        gone.push_back(i);
    }
    publish({0, gone, gone, {}});
    return gone;
}

std::vector<std::size_t> World::remove_rack() {
    const int rack = servers_.back().rack;  // the newest server is up
    return remove_servers([rack](const Server& server) { return server.rack == rack; });
}

std::vector<std::size_t> World::remove_zone() {
    const int zone = servers_.back().zone;
    return remove_servers([zone](const Server& server) { return server.zone == zone; });
}

void World::restore(const std::vector<std::size_t>& servers) {
    for (const std::size_t i : servers) {
        servers_[i].state = ServerState::up;
        servers_[i].started_ms = unix_ms();
    }
    publish({0, servers, {}, servers});
}

std::string World::complete_list() const {
    json entries = json::array();
    for (const Server& server : servers_) {
        if (server.state != ServerState::removed) {
            entries.push_back(endpoint_json(server));
        }
    }
    return list_json(version_, true, std::move(entries)).dump();
}

std::string World::changes_since(std::int64_t version) const {
    std::set<std::size_t> changed;
    for (auto change = changes_.rbegin(); change != changes_.rend() && change->version > version;
         ++change) {
        changed.insert(change->servers.begin(), change->servers.end());
    }
    json entries = json::array();
    for (const std::size_t i : changed) {
        entries.push_back(endpoint_json(servers_[i]));
    }
    return list_json(version_, false, std::move(entries)).dump();
}

std::string World::start_file(int planner, const std::string& listen,
                              const std::string& discovery) const {
    json methods = json::array(), local = json::array(), zones = json::array();
    for (int method = 0; method < sizes_.methods; ++method) {
        methods.push_back({{"name", method_name(method)}, {"aim_us", 1'500'000}, {"credit", 3.0}});
        local.push_back(false);
    }
    for (int zone = 0; zone < sizes_.zones; ++zone) {
        zones.push_back(zone_name(zone));
    }
    const double rate = std::max(kMinChannelRate, sizes_.lines_per_proxy * sizes_.proxies);
    const std::int64_t report_us = std::chrono::microseconds(sizes_.report_interval).count();
    const json family = {{"admission", "share"},
                         {"base_mode", 1},
                         {"channel_rate", rate},
                         {"data_plane_size", sizes_.proxies * sizes_.planners()},
                         {"head", 3.0},
                         {"queue_cap", rate},
                         {"report_every_us", report_us},
                         {"stays_local", local},
                         {"transit_max_us", 442'500}};
    const json rules = {{"fall_multiple", 3.0},
                        {"fall_us", 1'500'000},
                        {"start_capacity", 0.17},
                        {"stop_sending_within_us", 2'000'000},
                        {"warm_after_us", 18'000'000}};
    const json settings = {{"classes", methods},
                           {"zones", zones},
                           {"kinds", json::array({kKind})},
                           {"instances", sizes_.planners()},
                           {"family_info", family},
                           {"rules", rules}};
    const int sockets = sizes_.proxies * sizes_.planners() + 2 * sizes_.zones + kSpareSockets;
    const json limits = {{"cores", 1.0}, {"memory_mb", kPlannerMemoryMb}, {"sockets", sockets}};
    const json file = {{"name", fmt::format("planner-{}", planner)},
                       {"listen", listen},
                       {"discovery", discovery},
                       {"seed", fmt::format("{:016x}", planner + 1)},
                       {"limits", limits},
                       {"known", json::parse(complete_list())},
                       {"settings", settings}};
    return file.dump();
}

std::string World::outcomes(int zone) {
    const auto window = static_cast<double>(sizes_.report_interval.count());
    double demand = 0;
    for (const ProxyIdentity& proxy : proxies_) {
        demand += proxy.requests_per_second;
    }
    const double attempts = std::max(1.0, demand * window / 1'000 / sizes_.servers);
    std::string lines;
    for (std::size_t i = static_cast<std::size_t>(zone); i < servers_.size();
         i += static_cast<std::size_t>(sizes_.zones)) {
        if (servers_[i].state == ServerState::removed) {
            continue;
        }
        fmt::format_to(std::back_inserter(lines),
                       "outcomes az={} host={} n={:.0f} bad=0 avg={:.1f} window={:.1f}\r\n",
                       zone_name(zone), servers_[i].id, attempts,
                       draw(kMinResponseMs, kMaxResponseMs), window);
    }
    return lines;
}

std::string World::demand(const ProxyIdentity& proxy) const {
    const auto window = static_cast<double>(sizes_.report_interval.count());
    const double requests = proxy.requests_per_second * window / 1'000 / sizes_.methods;
    std::string lines;
    for (int method = 0; method < sizes_.methods; ++method) {
        fmt::format_to(std::back_inserter(lines),
                       "demand sidecar={} kind={} n={:.0f} bad=0 window={:.1f}\r\n", proxy.number,
                       method_name(method), requests, window);
    }
    return lines;
}

}  // namespace micaroad::scale::wire
