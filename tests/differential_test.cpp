// Compares the planner and the update builder with their plain reference implementations in
// tests/reference, in all scenarios and in random workloads. The workloads have fleets of one to
// thousands of pools, whose servers come, go, change their kind or zone, fail, and are lost and
// return all at once. Every order and update must be equal to the bit, so there is no tolerance.
//
// MICAROAD_DIFFERENTIAL_SEEDS=1-1000 runs these seeds in place of the default ones.
// drain_oracle_test.cpp compares the planner inside of the core.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "micaroad/planner.hpp"
#include "reference/compare.hpp"
#include "scenario_runner.hpp"

using namespace micaroad;
using reference::ComparedPlanner;
using test::ms;

namespace {

constexpr Duration kTurn = std::chrono::milliseconds(100);

// The parameters of a random workload.
struct WorkloadSpec {
    const char* name;
    int kinds = 4, zones = 3, servers = 40, proxies = 20;
    int turns = 300;
    int own_zone_period =
        4;                   // on average one method in so many is limited to its own zone; 0: none
    int overlap_period = 4;  // one in so many is open to two kinds; 0: none
    int shared_pool_period = 4;               // one in so many shares the pool of another; 0: none
    double channel_lines_per_second = 2'000;  // where it is low, servers are divided into subsets
    int mass_loss_interval = 97;              // turns between losses of many servers
    int max_messages_per_proxy = 0;           // within 10 s; 0: no limit
    bool one_server_per_kind = false;         // gives the servers their kinds in turn
    bool replace_by_lists = false;  // a complete list replaces half of the servers, again and again
};

class RandomWorkload {
 public:
    RandomWorkload(const WorkloadSpec& spec, std::uint64_t seed)
        : spec_(spec),
          random_engine_(seed),
          settings_(draw_settings()),
          planner_(settings_, seed),
          update_builder_(settings_.methods.size()) {
        for (int i = 0; i < spec_.servers; ++i) {
            add_server(one_in(3));
        }
    }

    // Throws at the first order or update that differs. Returns the number of compared orders.
    std::size_t run() {
        send_list(event::EndpointListUpdate::Form::restored);
        for (int p = 0; p < spec_.proxies; ++p) {
            if (one_in(2)) {
                join(p);
            }
        }
        for (int turn = 0; turn < spec_.turns; ++turn) {
            now_ += kTurn;
            update_servers(turn);
            update_proxies();
            if (turn % 5 == 0) {
                send_reports();
            }
            acknowledge_nonces();
            expire_timers();
            const std::vector<Order> orders = planner_.decide(now_);
            for (const Order& order : orders) {
                apply(order);
            }
            compared_updates_ += update_builder_.build_updates(add_unused_orders(orders));
        }
        REQUIRE(compared_updates_ > 0);
        return planner_.compared();
    }

 private:
    struct Server {
        ListedEndpoint listing;
        bool fails = false;
        double mean_latency_seconds = 0;
    };

    double uniform(double low, double high) {
        return std::uniform_real_distribution<>(low, high)(random_engine_);
    }
    bool one_in(double n) { return n > 0 && uniform(0, n) < 1; }
    int below(int n) { return static_cast<int>(random_engine_() % static_cast<std::uint64_t>(n)); }

    DeploymentSettings draw_settings() {
        DeploymentSettings settings;
        const int methods = spec_.kinds + spec_.kinds / 3 + 1;
        for (int m = 0; m < methods; ++m) {
            Method method{
                ms(uniform(300, 2'000)), uniform(1, 9), one_in(spec_.own_zone_period), {}, {}};
            if (m > 0 && one_in(spec_.shared_pool_period)) {
                method = settings.methods[below(m)];  // the same pool
                method.criticality = uniform(1, 9);
            } else if (m < spec_.kinds) {
                method.only_kinds = {
                    {m}};  // the last kind may have no server, so that its pool is empty
                if (one_in(spec_.overlap_period)) {
                    method.only_kinds.push_back({below(spec_.kinds)});
                }
                if (one_in(8)) {
                    method.only_zones = {{below(spec_.zones)}};
                }
            } else if (!one_in(3)) {
                method.only_kinds = {{below(spec_.kinds)}};
            }
            settings.methods.push_back(method);
        }
        settings.zone_count = spec_.zones;
        settings.proxy_count = spec_.proxies;
        settings.channel_lines_per_second = spec_.channel_lines_per_second;
        settings.overhead_lines_per_message = 3;
        settings.max_pending_lines = spec_.channel_lines_per_second;
        settings.max_messages_per_proxy = spec_.max_messages_per_proxy,
        settings.message_limit_window = ms(10'000);
        settings.report_interval = ms(500);
        settings.max_message_delay = ms(500);
        settings.drain_grace = ms(2'000);
        settings.warm_up_duration = ms(8'000);
        settings.cold_capacity_fraction = 0.2, settings.overload_factor = 3,
        settings.overload_window = ms(1'500);
        settings.unlisted_may_serve = one_in(2);
        settings.admission_kind = one_in(3) ? AdmissionKind::none : AdmissionKind::fraction;
        settings.default_retry_policy =
            one_in(2) ? RetryPolicy::never : RetryPolicy::once_if_not_executed;
        return settings;
    }

    // Adds orders that the planner never gives but the update builder supports.
    std::vector<Order> add_unused_orders(std::vector<Order> orders) {
        const TableId table{1 + below(spec_.kinds)};
        if (one_in(60)) {
            orders.push_back(order::ClearTable{table});
        }
        if (one_in(60)) {
            orders.push_back(
                order::SetAdmission{std::nullopt, {}, uniform(0, 1), RetryPolicy::never});
        }
        if (one_in(60)) {
            orders.push_back(order::SendNonce{{60'000 + below(4)}, true});
        }
        return orders;
    }

    // ---- servers
    void add_server(bool cold) {
        Server server;
        server.listing.server = {fmt::format(
            "s-{:08x}", static_cast<std::uint32_t>(++last_server_number_) * 2'654'435'761u)};
        server.listing.kind = {spec_.one_server_per_kind ? last_server_number_ % spec_.kinds
                                                         : below(spec_.kinds)};
        server.listing.zone = {below(spec_.zones)};
        server.listing.size = one_in(3) ? uniform(0.5, 4) : 1;
        if (cold) {
            server.listing.last_start = now_ - ms(uniform(0, 9'000));
        }
        server.fails = one_in(15);
        server.mean_latency_seconds = uniform(0.02, 0.6);
        servers_[server.listing.server] = server;
        changed_servers_.insert(server.listing.server);
    }
    void set_phase(const ServerId& id, EndpointPhase phase) {
        servers_.at(id).listing.phase = phase;
        changed_servers_.insert(id);
    }
    void restart(const ServerId& id) {
        Server& server = servers_.at(id);
        server.listing.phase = EndpointPhase::ready;
        server.listing.last_start = now_;
        changed_servers_.insert(id);
    }
    ServerId random_server() {
        return std::next(servers_.begin(), below(static_cast<int>(servers_.size())))->first;
    }

    void update_servers(int turn) {
        changed_servers_.clear();
        if (one_in(4)) {
            change_one_server();
        }
        for (auto at = returns_.begin(); at != returns_.end() && at->first <= turn;
             at = returns_.erase(at)) {
            restart(at->second);
        }
        if (turn % spec_.mass_loss_interval == spec_.mass_loss_interval / 2) {
            lose_many_servers(turn);
        }
        if (spec_.replace_by_lists && turn % 60 == 40) {
            for (int i = 0; i < spec_.servers / 2; ++i) {
                add_server(true);
            }
            for (int i = 0; i < spec_.servers / 2; ++i) {
                servers_.erase(random_server());
            }
            return send_list(event::EndpointListUpdate::Form::complete);
        }
        if (one_in(80)) {  // a complete list that lacks some servers
            for (int i = 0; i < 2 && servers_.size() > 4; ++i) {
                servers_.erase(random_server());
            }
            return send_list(event::EndpointListUpdate::Form::complete);
        }
        if (!changed_servers_.empty()) {
            send_list(event::EndpointListUpdate::Form::incremental);
        }
    }
    void change_one_server() {
        const ServerId id = random_server();
        Server& server = servers_.at(id);
        switch (below(8)) {
            case 0:
                return set_phase(id, EndpointPhase::draining);
            case 1:
                return set_phase(id, EndpointPhase::gone);
            case 2:
                return restart(id);
            case 3:
                return set_phase(id, EndpointPhase::ready);
            case 4:
                server.listing.kind = {below(spec_.kinds)};
                return set_phase(id, server.listing.phase);
            case 5:
                server.listing.zone = {below(spec_.zones)};
                return set_phase(id, server.listing.phase);
            case 6:
                server.fails = !server.fails, server.mean_latency_seconds = uniform(0.02, 0.6);
                return;
            default:
                add_server(!one_in(4));
        }
    }
    // Loses all servers of a kind or a zone, or up to a thousand; they come back cold.
    void lose_many_servers(int turn) {
        const int criterion = below(3), group = below(criterion == 0 ? spec_.kinds : spec_.zones);
        int remaining = 1'000;
        for (auto& [id, server] : servers_) {
            const bool is_affected = criterion == 0   ? server.listing.kind.value == group
                                     : criterion == 1 ? server.listing.zone.value == group
                                                      : true;
            if (!is_affected || remaining-- <= 0) {
                continue;
            }
            set_phase(id, one_in(2) ? EndpointPhase::gone : EndpointPhase::draining);
            returns_.emplace(turn + 10 + below(20), id);
        }
    }
    void send_list(event::EndpointListUpdate::Form form) {
        event::EndpointListUpdate list{form, {}};
        if (form == event::EndpointListUpdate::Form::incremental) {
            for (const ServerId& id : changed_servers_) {
                if (servers_.contains(id)) {
                    list.servers.push_back(servers_.at(id).listing);
                }
            }
        } else {
            for (const auto& [id, server] : servers_) {
                list.servers.push_back(server.listing);
            }
        }
        std::erase_if(returns_, [&](const auto& pending_return) {
            return !servers_.contains(pending_return.second);
        });
        update_builder_.on_endpoint_list(list);
        planner_.handle(list);
        if (one_in(3)) {
            update_builder_.forget(random_server());
        }
    }

    // ---- proxies
    void join(int proxy_number) {
        leave(proxy_number);
        joined_proxies_.insert(proxy_number);
        update_builder_.on_proxy_joined({proxy_number});
        planner_.handle(event::ProxyJoined{
            {proxy_number}, {proxy_number % spec_.zones}, uniform(0, 20), one_in(2)});
    }
    void leave(int proxy_number) {
        if (joined_proxies_.erase(proxy_number) == 0) {
            return;
        }
        update_builder_.on_proxy_left({proxy_number});
        planner_.handle(event::ProxyLeft{{proxy_number}});
    }
    void update_proxies() {
        const int proxy_number = below(spec_.proxies);
        if (one_in(3) && !joined_proxies_.contains(proxy_number)) {
            join(proxy_number);
        }
        if (one_in(25)) {
            leave(proxy_number);
        }
        if (one_in(150)) {
            for (int p = 0; p < spec_.proxies; ++p) {
                one_in(2) ? join(p) : leave(p);
            }
        }
    }
    void send_reports() {
        for (const auto& [id, server] : servers_) {
            if (!servers_in_tables_.contains(id) || one_in(4)) {
                continue;
            }
            const double attempts = 1 + below(20),
                         failures =
                             server.fails ? below(static_cast<int>(attempts) + 1) : one_in(9);
            const ZoneId from{below(spec_.zones)};
            planner_.handle(event::EndpointLoadReport{
                id, from, attempts, failures,
                ms(1'000 * server.mean_latency_seconds * uniform(0.5, 2)), ms(500)});
        }
        for (const int proxy : joined_proxies_) {
            if (one_in(2)) {
                planner_.handle(event::DemandReport{
                    {proxy}, {below(spec_.kinds)}, 1.0 + below(30), 0, ms(500)});
            }
        }
    }

    // ---- effects of the orders
    void acknowledge_nonces() {
        for (const int nonce : std::exchange(pending_nonces_, {})) {
            for (const int proxy : joined_proxies_) {
                if (!one_in(10)) {
                    update_builder_.on_acknowledgement({proxy}, {nonce}),
                        planner_.handle(event::Acknowledgement{{proxy}, {nonce}});
                }
            }
        }
    }
    void expire_timers() {
        for (; !timers_.empty() && timers_.begin()->first <= now_; timers_.erase(timers_.begin())) {
            planner_.handle(event::TimerExpired{timers_.begin()->second});
        }
    }
    void apply(const Order& order) {
        if (const auto* timer = std::get_if<order::StartTimer>(&order)) {
            timers_.emplace(now_ + timer->after, timer->timer);
        }
        if (const auto* nonce_order = std::get_if<order::SendNonce>(&order)) {
            pending_nonces_.push_back(nonce_order->nonce.value);
        }
        if (const auto* entry = std::get_if<order::SetTableEntry>(&order);
            entry && entry->weight > 0) {
            servers_in_tables_.insert(entry->server);
        }
    }

    const WorkloadSpec spec_;
    std::mt19937_64 random_engine_;
    TimePoint now_{ms(1'000'000'000)};
    const DeploymentSettings settings_;
    ComparedPlanner planner_;
    reference::ComparedUpdateBuilder update_builder_;
    std::size_t compared_updates_ = 0;
    std::map<ServerId, Server> servers_;
    std::set<ServerId> changed_servers_, servers_in_tables_;  // in this turn; that were in a table
    std::multimap<int, ServerId> returns_;  // lost servers, by the turn of their return
    std::set<int> joined_proxies_;
    std::vector<int> pending_nonces_;
    std::multimap<TimePoint, TimerId> timers_;
    int last_server_number_ = 0;
};

void compare_workloads(const WorkloadSpec& spec, int first, int last) {
    const char* seeds = std::getenv("MICAROAD_DIFFERENTIAL_SEEDS");
    if (seeds) {
        REQUIRE(std::sscanf(seeds, "%d-%d", &first, &last) == 2);
    }
    for (int seed = first; seed <= last; ++seed) {
        INFO(spec.name << ", seed " << seed);
        std::string difference;
        std::size_t compared = 0;
        try {
            compared = RandomWorkload(spec, static_cast<std::uint64_t>(seed)).run();
        } catch (const std::runtime_error& error) {
            difference = error.what();
        }
        CHECK(difference == "");
        CHECK((compared > 0 || !difference.empty()));
    }
}

}  // namespace

TEST_CASE("planner and reference give the same orders in every scenario") {
    const auto files = test::scenario_files();
    REQUIRE(!files.empty());
    for (const auto& file : files) {
        DYNAMIC_SECTION(file.stem().string()) {
            CHECK_NOTHROW(test::run_scenario<ComparedPlanner>(file));
        }
    }
}

TEST_CASE("planner and reference give the same orders in random workloads") {
    SECTION("few pools") {
        compare_workloads({"few pools"}, 1, 12);
    }
    SECTION("one pool") {
        compare_workloads(
            {.name = "one pool", .kinds = 1, .zones = 1, .own_zone_period = 0, .overlap_period = 0},
            1, 6);
    }
    SECTION("many pools") {
        compare_workloads({.name = "many pools", .kinds = 24, .servers = 120, .turns = 200}, 1, 4);
    }
    SECTION("own-zone pools over 17 zones") {
        compare_workloads({.name = "own zones",
                           .kinds = 5,
                           .zones = 17,
                           .servers = 70,
                           .turns = 200,
                           .own_zone_period = 1},
                          1, 4);
    }
    SECTION("a slow channel, servers dealt over subsets") {
        compare_workloads({.name = "subsets",
                           .kinds = 3,
                           .servers = 90,
                           .proxies = 60,
                           .turns = 400,
                           .channel_lines_per_second = 400},
                          1, 6);
        compare_workloads({.name = "many subsets",
                           .kinds = 1,
                           .zones = 2,
                           .servers = 120,
                           .proxies = 90,
                           .turns = 250,
                           .channel_lines_per_second = 300,
                           .max_messages_per_proxy = 12},
                          1, 4);
    }
    SECTION("whole lists replace half of the servers") {
        compare_workloads({.name = "reload", .kinds = 6, .servers = 60, .replace_by_lists = true},
                          1, 4);
    }
}

TEST_CASE("planner and reference give the same orders when a thousand servers change at once") {
    compare_workloads({.name = "a thousand at once",
                       .kinds = 5,
                       .servers = 1'200,
                       .turns = 60,
                       .mass_loss_interval = 25},
                      1, 1);
}

TEST_CASE("planner and reference give the same orders with a pool for each server") {
    compare_workloads({.name = "one server each",
                       .kinds = 150,
                       .zones = 2,
                       .servers = 150,
                       .proxies = 6,
                       .turns = 60,
                       .own_zone_period = 0,
                       .overlap_period = 0,
                       .shared_pool_period = 0,
                       .channel_lines_per_second = 20'000,
                       .mass_loss_interval = 30,
                       .one_server_per_kind = true},
                      1, 2);
}
