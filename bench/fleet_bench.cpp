// What a decision costs by the size of the fleet, with its updates: the core with update_builder,
// module and push writer, no sockets. A planner is given all proxies at once, answers every mark,
// hears of each server once a second, and each second one server drains and a fresh one comes.
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

DeploymentSettings fleet_terms(int proxies) {
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

struct Counting : Transport {
    std::int64_t updates = 0;
    std::map<StreamId, Nonce> marks;  // not answered yet
    void write(StreamId stream, std::string_view message) override {
        ++updates;
        if (const auto at = message.find("nonce_out="); at != std::string_view::npos) {
            marks[stream] = Nonce{std::stoi(std::string(message.substr(at + 10)))};
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
    Counting transport;
    Core core(fleet_terms(proxies), SymbolTable{{"lookup", "order"}, {"a", "b", "c"}, {"m1"}}, 7,
              transport, log);
    TimePoint now{Duration{17'000'000'000'000}};
    std::vector<Inbox::Item> items;
    const auto say = [&](CoreEvent arrival) { items.push_back({now, std::move(arrival)}); };
    protocol::EndpointListMessage list{1, {event::EndpointListUpdate::Form::complete, {}}, {}, {}};
    for (int s = 0; s < servers; ++s) {
        list.list.servers.push_back(server(s)), list.addresses[server(s).server] = "127.0.0.1:9";
    }
    say(core_event::EndpointListReceived{list});
    for (int p = 0; p < proxies; ++p) {
        say(core_event::StreamOpened{StreamId{static_cast<std::uint64_t>(p) + 1},
                                     {{p}, {p % 3}, 1.0 + p % 5, true}});
    }
    int tick = 0, oldest = 0, newest = servers, version = 1;
    for (auto _ : state) {
        if (tick % 10 == 0) {
            for (int s = oldest; s < newest; ++s) {
                say(core_event::ReportReceived{event::EndpointLoadReport{
                    server(s).server, {0}, 12, 0, Duration{3'000 + s % 900}, Duration{10'000}}});
            }
            protocol::EndpointListMessage changes{
                ++version, {event::EndpointListUpdate::Form::incremental, {}}, {}, {}};
            auto gone = server(oldest++);
            gone.phase = EndpointPhase::gone;
            changes.list.servers = {gone, server(newest++, now)};
            changes.addresses[changes.list.servers[1].server] = "127.0.0.1:9";
            say(core_event::EndpointListReceived{changes});
        }
        for (const auto& [stream, mark] : std::exchange(transport.marks, {})) {
            say(core_event::StreamAcknowledged{stream,
                                               {{static_cast<int>(stream.value) - 1}, mark}});
        }
        core.process(items, now);
        items.clear(), now += Duration{1'000}, ++tick;
    }
    state.counters["letters"] = benchmark::Counter(static_cast<double>(transport.updates));
}

// A fleet in services: a method for each, with a pool of its own kind of server. As above each
// second one server drains and a fresh one of its kind comes; reports on every server each second
// where `heard`.
class ServiceFleet {
 public:
    // `pace`: the channel's, lines a second; 0: four for each proxy.
    ServiceFleet(int proxies, int servers, int services, bool heard, double pace)
        : servers_(servers),
          services_(services),
          heard_(heard),
          core_(terms(proxies, pace), names(), 7, transport_, log_) {
        protocol::EndpointListMessage list{
            1, {event::EndpointListUpdate::Form::complete, {}}, {}, {}};
        for (int s = 0; s < servers; ++s) {
            list.list.servers.push_back(member(s));
            list.addresses[list.list.servers.back().server] = "127.0.0.1:9";
        }
        say(core_event::EndpointListReceived{std::move(list)});
        for (int p = 0; p < proxies; ++p) {
            say(core_event::StreamOpened{StreamId{static_cast<std::uint64_t>(p) + 1},
                                         {{p}, {p % 3}, 1.0 + p % 5, true}});
        }
        newest_ = servers;
    }

    // One turn, a tenth of a second after the last; how long the core took, seconds.
    double turn() {
        if (tick_ % 10 == 0) {
            second_passes();
        }
        for (const auto& [stream, mark] : std::exchange(transport_.marks, {})) {
            say(core_event::StreamAcknowledged{stream,
                                               {{static_cast<int>(stream.value) - 1}, mark}});
        }
        const auto begun = std::chrono::steady_clock::now();
        core_.process(items_, now_);
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
        items_.clear(), now_ += Duration{1'000}, ++tick_;
        return took.count();
    }
    bool changed_in_last() const { return (tick_ - 1) % 10 == 0; }
    std::int64_t updates() const { return transport_.updates; }

 private:
    DeploymentSettings terms(int proxies, double pace) const {
        DeploymentSettings settings = fleet_terms(proxies);
        if (pace > 0) {
            settings.channel_lines_per_second = pace, settings.max_pending_lines = 4 * pace;
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
    void say(CoreEvent arrival) { items_.push_back({now_, std::move(arrival)}); }
    ListedEndpoint member(int number, std::optional<TimePoint> start = std::nullopt) const {
        ListedEndpoint listed = server(number, start);
        listed.kind = {number % servers_ %
                       services_};  // a fresh one takes the place of the one that drains
        return listed;
    }
    void second_passes() {
        for (int s = oldest_; heard_ && s < newest_; ++s) {
            say(core_event::ReportReceived{event::EndpointLoadReport{
                server(s).server, {0}, 12, 0, Duration{3'000 + s % 900}, Duration{10'000}}});
        }
        if (tick_ == 0) {
            return;
        }
        protocol::EndpointListMessage changes{
            ++version_, {event::EndpointListUpdate::Form::incremental, {}}, {}, {}};
        auto gone = member(oldest_++);
        gone.phase = EndpointPhase::gone;
        changes.list.servers = {gone, member(newest_++, now_)};
        changes.addresses[changes.list.servers[1].server] = "127.0.0.1:9";
        say(core_event::EndpointListReceived{changes});
    }

    const int servers_, services_;
    const bool heard_;
    Log log_{::open("/dev/null", O_WRONLY)};
    Counting transport_;
    Core core_;
    TimePoint now_{Duration{17'000'000'000'000}};
    std::vector<Inbox::Item> items_;
    int tick_ = 0, oldest_ = 0, newest_ = 0, version_ = 1;
};

// Resident memory of this process, MB.
double resident_mb() {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stod(line.substr(6)) / 1024;
        }
    }
    return 0;
}

// By proxies, servers, services, whether they are heard, turns that pass before any is measured,
// and the channel's pace. start_ms: the first turn, with the whole list and all streams;
// longest_ms: of all later turns; core: part of one, by the later turns; change_us: the median of
// the turns in which a server is replaced, most of which hold no step.
void services(benchmark::State& state) {
    const auto arg = [&state](int at) { return static_cast<int>(state.range(at)); };
    ServiceFleet fleet(arg(0), arg(1), arg(2), arg(3) != 0, arg(5));
    const double start = fleet.turn();
    for (int t = 0; t < arg(4); ++t) {
        fleet.turn();
    }
    double sum = 0, longest = 0;
    int turns = 0;
    std::vector<double> in_changes;
    for (auto _ : state) {
        const double took = fleet.turn();
        state.SetIterationTime(took);
        sum += took, longest = std::max(longest, took), ++turns;
        if (fleet.changed_in_last()) {
            in_changes.push_back(took);
        }
    }
    std::sort(in_changes.begin(), in_changes.end());
    state.counters["start_ms"] = 1'000 * start;
    state.counters["longest_ms"] = 1'000 * longest;
    state.counters["core"] = sum / (0.1 * turns);
    state.counters["change_us"] = 1e6 * in_changes.at(in_changes.size() / 2);
    state.counters["rss_mb"] = resident_mb();
    state.counters["letters"] = static_cast<double>(fleet.updates());
}

// 300 decisions: thirty seconds of a planner's life.
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

// One server's change by the number of other pools, ten servers each, once all tables are told:
// none is heard, so that no weight moves.
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
