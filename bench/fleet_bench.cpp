// Measures how the cost of a decision depends on the size of the fleet, with the updates that
// follow from it: the core with its decision module, update_builder and push writer, without
// sockets. All proxies join at once and acknowledge every nonce. There is a report on each server
// once a second, and each second one server is removed and a new one is added.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "planner/core.hpp"

using namespace micaroad;

namespace {

DeploymentSettings fleet_settings(int proxies) {
    DeploymentSettings settings;
    settings.methods = {Method{Duration{15'000}, 3, false, {}, {}},
                        Method{Duration{15'000}, 9, false, {}, {}}};
    settings.zone_count = 3, settings.proxy_count = proxies, settings.planner_count = 1;
    settings.channel_lines_per_second = 4.0 * proxies, settings.overhead_lines_per_message = 3,
    settings.max_pending_lines = 88.0 * proxies;
    settings.report_interval = Duration{5'000}, settings.max_message_delay = Duration{4'800};
    settings.drain_grace = Duration{224'000}, settings.warm_up_duration = Duration{180'000};
    settings.cold_capacity_fraction = 0.17, settings.overload_factor = 3,
    settings.overload_window = Duration{15'000};
    settings.admission_kind = AdmissionKind::fraction,
    settings.default_retry_policy = RetryPolicy::once_if_not_executed;
    return settings;
}

struct CountingTransport : Transport {
    std::int64_t updates = 0;
    std::map<StreamId, Nonce> unanswered_nonces;  // not acknowledged yet
    void write(StreamId stream, std::string_view message) override {
        ++updates;
        if (const auto at = message.find("nonce_out="); at != std::string_view::npos) {
            unanswered_nonces[stream] = Nonce{std::stoi(std::string(message.substr(at + 10)))};
        }
    }
    void close(StreamId) override {}
    void check_health(const ServerId&, const std::string&) override {}
    void fetch_list() override {}
    void follow(const std::string&) override {}
};

ListedEndpoint server(int number, std::optional<TimePoint> start = std::nullopt) {
    return {{fmt::format("s-{:08x}", number * 2'654'435'761u)},
            {number % 3},
            {0},
            {number % 30},
            EndpointPhase::ready,
            4,
            start};
}

void fleet(benchmark::State& state) {
    const int proxies = static_cast<int>(state.range(0)),
              servers = static_cast<int>(state.range(1));
    Log log(::open("/dev/null", O_WRONLY));
    CountingTransport transport;
    Core core(fleet_settings(proxies), SymbolTable{{"lookup", "order"}, {"a", "b", "c"}, {"m1"}}, 7,
              transport, log);
    TimePoint now{Duration{17'000'000'000'000}};
    std::vector<Inbox::Item> items;
    const auto add_event = [&](CoreEvent new_event) {
        items.push_back({now, std::move(new_event)});
    };
    protocol::EndpointListMessage list{1, {event::EndpointListUpdate::Form::complete, {}}, {}, {}};
    for (int s = 0; s < servers; ++s) {
        list.list.servers.push_back(server(s)), list.addresses[server(s).server] = "127.0.0.1:9";
    }
    add_event(core_event::EndpointListReceived{list});
    for (int p = 0; p < proxies; ++p) {
        add_event(core_event::StreamOpened{StreamId{static_cast<std::uint64_t>(p) + 1},
                                           {{p}, {p % 3}, 1.0 + p % 5, true}});
    }
    int tick = 0, oldest = 0, newest = servers, version = 1;
    for (auto _ : state) {
        if (tick % 10 == 0) {
            for (int s = oldest; s < newest; ++s) {
                add_event(core_event::ReportReceived{event::EndpointLoadReport{
                    server(s).server, {0}, 12, 0, Duration{3'000 + s % 900}, Duration{10'000}}});
            }
            protocol::EndpointListMessage changes{
                ++version, {event::EndpointListUpdate::Form::incremental, {}}, {}, {}};
            auto gone = server(oldest++);
            gone.phase = EndpointPhase::gone;
            changes.list.servers = {gone, server(newest++, now)};
            changes.addresses[changes.list.servers[1].server] = "127.0.0.1:9";
            add_event(core_event::EndpointListReceived{changes});
        }
        for (const auto& [stream, nonce] : std::exchange(transport.unanswered_nonces, {})) {
            add_event(core_event::StreamAcknowledged{
                stream, {{static_cast<int>(stream.value) - 1}, nonce}});
        }
        core.process(items, now);
        items.clear(), now += Duration{1'000}, ++tick;
    }
    state.counters["letters"] = benchmark::Counter(static_cast<double>(transport.updates));
}

// A fleet divided into services: each has a method, and a pool with its own kind of server. Each
// second one server is removed and a new one of the same kind is added. With `with_reports` there
// is a report on every server each second.
class ServiceFleet {
 public:
    // `line_rate`: of the channel, in lines per second; 0: four for each proxy.
    ServiceFleet(int proxies, int servers, int services, bool with_reports, double line_rate)
        : servers_(servers),
          services_(services),
          with_reports_(with_reports),
          core_(service_settings(proxies, line_rate), names(), 7, transport_, log_) {
        protocol::EndpointListMessage list{
            1, {event::EndpointListUpdate::Form::complete, {}}, {}, {}};
        for (int s = 0; s < servers; ++s) {
            list.list.servers.push_back(service_server(s));
            list.addresses[list.list.servers.back().server] = "127.0.0.1:9";
        }
        add_event(core_event::EndpointListReceived{std::move(list)});
        for (int p = 0; p < proxies; ++p) {
            add_event(core_event::StreamOpened{StreamId{static_cast<std::uint64_t>(p) + 1},
                                               {{p}, {p % 3}, 1.0 + p % 5, true}});
        }
        newest_ = servers;
    }

    // Runs one turn, 0.1 s of virtual time after the previous one. Returns the seconds that the
    // core took.
    double turn() {
        if (tick_ % 10 == 0) {
            add_events_of_second();
        }
        for (const auto& [stream, nonce] : std::exchange(transport_.unanswered_nonces, {})) {
            add_event(core_event::StreamAcknowledged{
                stream, {{static_cast<int>(stream.value) - 1}, nonce}});
        }
        const auto start_time = std::chrono::steady_clock::now();
        core_.process(items_, now_);
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start_time;
        items_.clear(), now_ += Duration{1'000}, ++tick_;
        return elapsed.count();
    }
    bool last_turn_had_change() const { return (tick_ - 1) % 10 == 0; }
    std::int64_t updates() const { return transport_.updates; }

 private:
    DeploymentSettings service_settings(int proxies, double line_rate) const {
        DeploymentSettings settings = fleet_settings(proxies);
        if (line_rate > 0) {
            settings.channel_lines_per_second = line_rate,
            settings.max_pending_lines = 4 * line_rate;
        }
        settings.methods.clear();
        for (int m = 0; m < services_; ++m) {
            settings.methods.push_back({Duration{15'000}, 3, false, {{m}}, {}});
        }
        return settings;
    }
    SymbolTable names() const {
        SymbolTable names{{}, {"a", "b", "c"}, {}};
        for (int m = 0; m < services_; ++m) {
            names.methods.push_back(fmt::format("r{}", m)),
                names.kinds.push_back(fmt::format("k{}", m));
        }
        return names;
    }
    void add_event(CoreEvent new_event) { items_.push_back({now_, std::move(new_event)}); }
    ListedEndpoint service_server(int number, std::optional<TimePoint> start = std::nullopt) const {
        ListedEndpoint listed = server(number, start);
        listed.kind = {number % servers_ %
                       services_};  // a new server has the kind of the one that it replaces
        return listed;
    }
    void add_events_of_second() {
        for (int s = oldest_; with_reports_ && s < newest_; ++s) {
            add_event(core_event::ReportReceived{event::EndpointLoadReport{
                server(s).server, {0}, 12, 0, Duration{3'000 + s % 900}, Duration{10'000}}});
        }
        if (tick_ == 0) {
            return;
        }
        protocol::EndpointListMessage changes{
            ++version_, {event::EndpointListUpdate::Form::incremental, {}}, {}, {}};
        auto gone = service_server(oldest_++);
        gone.phase = EndpointPhase::gone;
        changes.list.servers = {gone, service_server(newest_++, now_)};
        changes.addresses[changes.list.servers[1].server] = "127.0.0.1:9";
        add_event(core_event::EndpointListReceived{changes});
    }

    const int servers_, services_;
    const bool with_reports_;
    Log log_{::open("/dev/null", O_WRONLY)};
    CountingTransport transport_;
    Core core_;
    TimePoint now_{Duration{17'000'000'000'000}};
    std::vector<Inbox::Item> items_;
    int tick_ = 0, oldest_ = 0, newest_ = 0, version_ = 1;
};

// Resident memory of this process, in MB.
double resident_mb() {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stod(line.substr(6)) / 1024;
        }
    }
    return 0;
}

// Arguments: proxies, servers, services, whether there are reports, turns before the measurement,
// and the channel's line rate (0: the default). Counters: start_ms is the first turn, with the
// complete list and all streams; longest_ms is the longest measured turn; core is the fraction of a
// core that the measured turns use; change_us is the median of the turns in which a server is
// replaced, most of which include no weight step.
void services(benchmark::State& state) {
    const auto arg = [&state](int at) { return static_cast<int>(state.range(at)); };
    ServiceFleet fleet(arg(0), arg(1), arg(2), arg(3) != 0, arg(5));
    const double start = fleet.turn();
    for (int t = 0; t < arg(4); ++t) {
        fleet.turn();
    }
    double sum = 0, longest = 0;
    int turns = 0;
    std::vector<double> change_seconds;
    for (auto _ : state) {
        const double elapsed = fleet.turn();
        state.SetIterationTime(elapsed);
        sum += elapsed, longest = std::max(longest, elapsed), ++turns;
        if (fleet.last_turn_had_change()) {
            change_seconds.push_back(elapsed);
        }
    }
    std::sort(change_seconds.begin(), change_seconds.end());
    state.counters["start_ms"] = 1'000 * start;
    state.counters["longest_ms"] = 1'000 * longest;
    state.counters["core"] = sum / (0.1 * turns);
    state.counters["change_us"] = 1e6 * change_seconds.at(change_seconds.size() / 2);
    state.counters["rss_mb"] = resident_mb();
    state.counters["letters"] = static_cast<double>(fleet.updates());
}

// 300 decisions are 30 s of a planner's virtual time.
BENCHMARK(fleet)
    ->Args({72, 24})
    ->Args({480, 200})
    ->Args({2'400, 200})
    ->Args({2'400, 1'024})
    ->Iterations(300)
    ->Unit(benchmark::kMicrosecond);

BENCHMARK(services)
    ->Args({16, 2'000, 20, 1, 0, 0})
    ->Args({16, 2'000, 40, 1, 0, 0})
    ->Args({64, 1'000, 50, 1, 0, 0})
    ->Args({2'400, 1'024, 2, 1, 0, 0})
    ->Args({16, 56'000, 1, 0, 0, 0})
    ->Args({16, 10'000, 10'000, 0, 0, 0})
    ->Args({16, 8'000, 160, 0, 0, 0})
    ->Args({16, 8'000, 160, 1, 0, 0})
    ->Args({16, 56'000, 1'100, 0, 0, 0})
    ->Iterations(300)
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond);

// Cost of replacing one server by the number of other pools, with ten servers each, after all
// tables have been sent. There are no reports, so that no weight changes.
BENCHMARK(services)
    ->Name("change_among_pools")
    ->Args({16, 400, 40, 0, 500, 11'000})
    ->Args({16, 1'600, 160, 0, 500, 11'000})
    ->Args({16, 6'400, 640, 0, 500, 11'000})
    ->Args({16, 11'000, 1'100, 0, 500, 11'000})
    ->Iterations(300)
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
