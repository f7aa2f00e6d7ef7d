// Golden test of the planner's orders and of the bytes that are written to the proxies' streams for
// them.
//
// What it covers: every scenario of tests/scenarios, and a set of random workloads with fixed
// seeds, which the golden file calls days. For each it keeps one digest of all orders (in sequence,
// doubles exact to the bit) and one of all messages (stream and bytes). Scenarios and the workloads
// with slices drive the planner, the update builder and the push writer directly, as the protocol
// cannot express some of their events; all other workloads drive the core. The digests are in
// tests/data/golden/orders.txt, one line for each scenario or workload.
//
// How to renew it: MICAROAD_WRITE_GOLDENS=1 micaroad_tests "golden orders and bytes" writes the
// file and then fails, so that writing never counts as passing. Do this only together with an
// intended change of behaviour that the commit states. A change that only renames, moves or speeds
// up code leaves the file as it is.
//
// The digested texts contain numbers in place of the names of orders, and in updates also in place
// of the names of servers, methods, zones and kinds, so that renaming in the code changes no
// digest. The digests depend on floating-point arithmetic and on the random engines and
// distributions of the standard library, as the orders do.
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "helpers.hpp"
#include "micaroad/planner.hpp"
#include "planner/core.hpp"
#include "protocol/push_writer.hpp"
#include "stage.hpp"
#include "updates/update_builder.hpp"

using namespace micaroad;
using test::ms;

namespace {

const std::string kGoldenFile = GOLDEN_DIRECTORY "/orders.txt";

class Digest {
 public:
    Digest() : state_(XXH3_createState(), XXH3_freeState) { XXH3_64bits_reset(state_.get()); }
    void add(std::string_view bytes) {
        XXH3_64bits_update(state_.get(), bytes.data(), bytes.size());
    }
    std::string text() const { return fmt::format("{:016x}", XXH3_64bits_digest(state_.get())); }

 private:
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state_;
};

// ---- text of the fields of each kind of order

std::string format_exact(double value) {
    char text[64];
    std::snprintf(text, sizeof text, "%a", value);
    return text;
}

std::string join_numbers(const std::vector<MethodId>& methods) {
    std::string text;
    for (const MethodId method : methods) {
        text += fmt::format("{},", method.value);
    }
    return text;
}

std::string fields(const order::SetTableEntry& o) {
    return fmt::format("{} {} {}", o.table.value, o.server.value, format_exact(o.weight));
}
std::string fields(const order::ClearTable& o) {
    return fmt::format("{}", o.table.value);
}
std::string fields(const order::BindProxy& o) {
    return fmt::format("{} {} {}", o.table.value, join_numbers(o.methods), o.proxy.value);
}
std::string fields(const order::SetAdmission& o) {
    const std::string table = o.table ? fmt::format("{}", o.table->value) : "-";
    return fmt::format("{} {} {} {}", table, join_numbers(o.methods), format_exact(o.amount),
                       static_cast<int>(o.retry_policy));
}
std::string fields(const order::SetWithdrawn& o) {
    return fmt::format("{} {:d}", o.server.value, o.withdrawn);
}
std::string fields(const order::SendNonce& o) {
    return fmt::format("{} {:d}", o.nonce.value, o.to_all);
}
std::string fields(const order::StartTimer& o) {
    return fmt::format("{} {}", o.timer.value, o.after.count());
}
std::string fields(const order::CheckHealth& o) {
    return o.server.value;
}
std::string fields(const order::Subscribe& o) {
    return fmt::format("{:d}", o.on);
}
std::string fields(const order::FetchList&) {
    return "";
}
std::string fields(const order::SendPeerMessage& o) {
    return fmt::format("{} {}", o.to ? fmt::format("{}", o.to->value) : "-", o.text);
}
std::string fields(const order::LogLine& o) {
    return o.text;
}

// Digests and counts all orders and messages of the planners in one scenario or workload.
class Recording {
 public:
    void add_orders(int planner, TimePoint now, const std::vector<Order>& orders) {
        if (orders.empty()) {
            return;
        }
        orders_digest_.add(fmt::format("{} {}\n", planner, now.time_since_epoch().count()));
        for (const Order& order : orders) {
            const std::string text = std::visit([](const auto& o) { return fields(o); }, order);
            orders_digest_.add(fmt::format("{} {}\n", order.index(), text));
        }
        orders_ += orders.size();
    }
    void add_message(std::uint64_t stream, std::string_view message) {
        bytes_digest_.add(fmt::format("{} {}\n", stream, message.size()));
        bytes_digest_.add(message);
        bytes_ += message.size();
    }
    std::string line(const std::string& name) const {
        return fmt::format("{} orders={} order_digest={} bytes={} byte_digest={}", name, orders_,
                           orders_digest_.text(), bytes_, bytes_digest_.text());
    }

 private:
    Digest orders_digest_;
    Digest bytes_digest_;
    std::size_t orders_ = 0;
    std::size_t bytes_ = 0;
};

SymbolTable numbered_names(std::size_t methods, int zones, int kinds) {
    SymbolTable names;
    for (std::size_t i = 0; i < methods; ++i) {
        names.methods.push_back(fmt::format("m{}", i));
    }
    for (int i = 0; i < zones; ++i) {
        names.zones.push_back(fmt::format("z{}", i));
    }
    for (int i = 0; i < kinds; ++i) {
        names.kinds.push_back(fmt::format("k{}", i));
    }
    return names;
}

// ---- planner, update builder and push writer without the core

Recording* current_recording =
    nullptr;  // test::ScenarioRunner constructs its planners itself and can't pass one on

// Has the interface of Planner, and records its orders and the messages that follow from them. The
// number of a proxy serves as its stream.
class RecordedPlanner {
 public:
    RecordedPlanner(const DeploymentSettings& settings, std::uint64_t seed)
        : planner_(settings, seed),
          update_builder_(settings.methods.size()),
          names_(numbered_names(settings.methods.size(), settings.zone_count, 1)),
          recording_(*current_recording) {}

    void handle(Event event) {
        if (const auto* list = std::get_if<event::EndpointListUpdate>(&event)) {
            update_builder_.on_endpoint_list(*list);
        } else if (const auto* joined = std::get_if<event::ProxyJoined>(&event)) {
            if (!joined_.insert(joined->proxy).second) {
                update_builder_.on_proxy_left(joined->proxy);
            }
            update_builder_.on_proxy_joined(joined->proxy);
        } else if (const auto* left = std::get_if<event::ProxyLeft>(&event)) {
            if (joined_.erase(left->proxy) > 0) {
                update_builder_.on_proxy_left(left->proxy);
            }
        } else if (const auto* acknowledgement = std::get_if<event::Acknowledgement>(&event)) {
            if (joined_.contains(acknowledgement->proxy)) {
                update_builder_.on_acknowledgement(acknowledgement->proxy, acknowledgement->nonce);
            }
        }
        planner_.handle(std::move(event));
    }
    std::vector<Order> decide(TimePoint now) {
        std::vector<Order> orders = planner_.decide(now);
        recording_.add_orders(0, now, orders);
        for (const ProxyUpdate& update : update_builder_.build_updates(orders)) {
            const auto message = protocol::format_update(update, names_);
            REQUIRE(message.has_value());
            recording_.add_message(static_cast<std::uint64_t>(update.proxy.value), *message);
        }
        return orders;
    }

 private:
    Planner planner_;
    UpdateBuilder update_builder_;
    const SymbolTable names_;
    Recording& recording_;
    std::set<ProxyId> joined_;
};

// ---- random workloads with fixed seeds

struct WorkloadSpec {
    std::string name;
    int seeds = 4;
    int pools = 4;
    int servers = 40;
    int proxies = 20;
    int turns = 250;
    double lines_per_second = 2'000;  // where it is low, servers are divided into subsets
    AdmissionKind admission_kind = AdmissionKind::fraction;
    int change_period = 4;  // on average a server changes in one turn of so many
    int drain_period =
        0;  // a fifth of the servers starts to drain in one turn of so many; 0: never
    int reload_every =
        0;  // turns between complete lists that replace half of the servers; 0: never
    bool takeover = false;  // the second of two planners stops, and its proxies join the first with
                            // their tables
    int slices = 0;
    bool single_owner = false;  // of each slice
};

constexpr int kZones = 3;
constexpr Duration kTurn = std::chrono::milliseconds(100);

// Draws integers only, so that a workload is the same with every standard library.
class PortableRandom {
 public:
    explicit PortableRandom(int seed)
        : engine_(static_cast<std::minstd_rand::result_type>(seed) * 7'919u) {}
    int below(int limit) {
        return static_cast<int>((engine_() >> 4) % static_cast<std::uint32_t>(limit));
    }
    int between(int low, int high) { return low + below(high - low); }
    bool one_in(int n) { return n > 0 && below(n) == 0; }

 private:
    std::minstd_rand engine_;
};

DeploymentSettings draw_settings(const WorkloadSpec& spec, PortableRandom& random) {
    DeploymentSettings settings;
    for (int pool = 0; pool < spec.pools; ++pool) {
        Method method;
        method.soft_deadline = ms(random.between(300, 2'000));
        method.criticality = random.between(1, 9);
        if (spec.pools > 1) {
            method.only_kinds = {{pool}};
        }
        if (spec.pools > 1) {
            method.own_zone_only = random.one_in(4);
        }
        settings.methods.push_back(method);
    }
    settings.zone_count = kZones;
    settings.proxy_count = spec.proxies;
    settings.planner_count = spec.takeover ? 2 : 1;
    settings.channel_lines_per_second = spec.lines_per_second;
    settings.overhead_lines_per_message = 3;
    settings.max_pending_lines = spec.lines_per_second;
    settings.message_limit_window = ms(10'000);
    settings.report_interval = ms(500);
    settings.max_message_delay = ms(500);
    settings.drain_grace = ms(2'000);
    settings.warm_up_duration = ms(8'000);
    settings.cold_capacity_fraction = 0.25;
    settings.overload_factor = 3;
    settings.overload_window = ms(1'500);
    settings.unlisted_may_serve = random.one_in(2);
    settings.admission_kind = spec.admission_kind;
    settings.default_retry_policy =
        random.one_in(2) ? RetryPolicy::never : RetryPolicy::once_if_not_executed;
    settings.slice_count = spec.slices;
    settings.single_owner = spec.single_owner;
    settings.owner_lease = ms(2'500);
    settings.write_lifetime = ms(5'000);
    return settings;
}

// The servers of a workload and their changes.
class Fleet {
 public:
    struct Server {
        ListedEndpoint entry;
        bool fails = false;
        int mean_latency_ms = 0;
    };

    Fleet(const WorkloadSpec& spec, PortableRandom& random) : spec_(spec), random_(random) {}

    void add(TimePoint now, bool cold) {
        Server server;
        server.entry.server = {fmt::format("s{}", ++last_server_number_)};
        server.entry.zone = {random_.below(kZones)};
        server.entry.kind = {random_.below(spec_.pools)};
        server.entry.size = random_.one_in(3) ? random_.between(2, 16) / 4.0 : 1;
        if (cold) {
            server.entry.last_start = now - ms(random_.below(9'000));
        }
        server.fails = random_.one_in(15);
        server.mean_latency_ms = random_.between(20, 600);
        servers_[server.entry.server] = server;
        changed_.insert(server.entry.server);
    }
    // Changes servers in a turn. Returns a complete or an incremental list, or nothing if no server
    // changed.
    std::optional<event::EndpointListUpdate> change(TimePoint now, int turn) {
        changed_.clear();
        if (random_.one_in(spec_.change_period)) {
            change_one(now);
        }
        if (random_.one_in(spec_.drain_period)) {
            drain_some();
        }
        if (spec_.reload_every > 0 && turn % spec_.reload_every == spec_.reload_every / 2) {
            for (int i = 0; i < spec_.servers / 2; ++i) {
                servers_.erase(random_server());
            }
            for (int i = 0; i < spec_.servers / 2; ++i) {
                add(now, true);
            }
            return complete_list();
        }
        if (changed_.empty()) {
            return std::nullopt;
        }
        event::EndpointListUpdate list{event::EndpointListUpdate::Form::incremental, {}};
        for (const ServerId& id : changed_) {
            list.servers.push_back(servers_.at(id).entry);
        }
        return list;
    }
    event::EndpointListUpdate complete_list() const {
        event::EndpointListUpdate list{event::EndpointListUpdate::Form::complete, {}};
        for (const auto& [id, server] : servers_) {
            if (server.entry.phase != EndpointPhase::gone) {
                list.servers.push_back(server.entry);
            }
        }
        return list;
    }
    const std::map<ServerId, Server>& servers() const { return servers_; }
    ServerId random_server() {
        return std::next(servers_.begin(), random_.below(static_cast<int>(servers_.size())))->first;
    }

 private:
    void change_one(TimePoint now) {
        const ServerId id = random_server();
        Server& server = servers_.at(id);
        const int kind_of_change = random_.below(7);
        if (kind_of_change == 0) {
            server.entry.phase = EndpointPhase::draining;
        }
        if (kind_of_change == 1) {
            server.entry.phase = EndpointPhase::gone;
        }
        if (kind_of_change == 2) {
            server.entry.phase = EndpointPhase::ready;
        }
        if (kind_of_change == 3) {
            server.entry.zone = {random_.below(kZones)};
        }
        if (kind_of_change == 4) {
            server.entry.phase = EndpointPhase::ready;
            server.entry.last_start = now;
        }
        if (kind_of_change == 5) {
            server.fails = !server.fails;
        }
        if (kind_of_change == 6) {
            return add(now, !random_.one_in(4));
        }
        changed_.insert(id);
    }
    void drain_some() {
        for (auto& [id, server] : servers_) {
            if (server.entry.phase == EndpointPhase::draining) {
                server.entry.phase = EndpointPhase::gone;
                changed_.insert(id);
            } else if (server.entry.phase == EndpointPhase::ready && random_.one_in(5)) {
                server.entry.phase = EndpointPhase::draining;
                changed_.insert(id);
            }
        }
    }

    const WorkloadSpec& spec_;
    PortableRandom& random_;
    std::map<ServerId, Server> servers_;
    std::set<ServerId> changed_;  // in this turn
    int last_server_number_ = 0;
};

// Returns the reports of one interval: load reports of servers and demand reports of proxies.
std::vector<core_event::ReportReceived> draw_reports(const WorkloadSpec& spec,
                                                     PortableRandom& random, const Fleet& fleet,
                                                     const std::set<int>& proxies) {
    std::vector<core_event::ReportReceived> reports;
    for (const auto& [id, server] : fleet.servers()) {
        if (server.entry.phase == EndpointPhase::gone || random.one_in(4)) {
            continue;
        }
        const int attempts = random.between(1, 20);
        const int failures = server.fails ? random.below(attempts + 1) : 0;
        const Duration mean_latency = ms(server.mean_latency_ms * random.between(2, 8) / 4);
        reports.push_back({event::EndpointLoadReport{
            id, {random.below(kZones)}, 1.0 * attempts, 1.0 * failures, mean_latency, ms(500)}});
    }
    for (const int proxy : proxies) {
        if (random.one_in(2)) {
            continue;
        }
        const MethodId method{random.below(spec.pools)};
        reports.push_back(
            {event::DemandReport{{proxy}, method, 1.0 * random.between(1, 30), 0, ms(500)}});
    }
    return reports;
}

// A planner process: a core, the streams of its proxies, and the events for its next turn.
class RecordedProcess : public Transport, public Observer {
 public:
    RecordedProcess(int number, const DeploymentSettings& settings, const SymbolTable& names,
                    int seed, Recording& recording)
        : number_(number),
          recording_(recording),
          core_(settings, names, static_cast<std::uint64_t>(seed), *this, quiet_.log, this) {}

    template <class AnyEvent>
    void add_event(AnyEvent event) {
        pending_events_.emplace_back(std::move(event));
    }
    void add_list(std::int64_t version, const event::EndpointListUpdate& list) {
        protocol::EndpointListMessage message{version, list, {}, {}};
        for (const ListedEndpoint& server : list.servers) {
            message.addresses[server.server] = "127.0.0.1:9";
        }
        add_event(core_event::EndpointListReceived{std::move(message)});
    }
    void join(StreamId stream, int proxy, double rpcs_per_second, bool initial_table_only) {
        streams_[proxy] = stream;
        add_event(core_event::StreamOpened{
            stream, {{proxy}, {proxy % kZones}, rpcs_per_second, initial_table_only}});
    }
    void leave(int proxy) {
        add_event(core_event::StreamClosed{streams_.at(proxy), "its end"});
        streams_.erase(proxy);
    }
    void acknowledge_nonces(PortableRandom& random) {
        for (const Nonce nonce : std::exchange(pending_nonces_, {})) {
            for (const auto& [proxy, stream] : streams_) {
                if (!random.one_in(10)) {
                    add_event(core_event::StreamAcknowledged{stream, {{proxy}, nonce}});
                }
            }
        }
    }
    void turn(TimePoint now) {
        std::vector<Inbox::Item> items;
        for (CoreEvent& event : std::exchange(pending_events_, {})) {
            items.push_back({now, std::move(event)});
        }
        core_.process(items, now);
    }
    bool take_fetch_request() { return std::exchange(fetch_requested_, false); }
    const std::map<int, StreamId>& streams() const { return streams_; }

    void write(StreamId stream, std::string_view message) override {
        recording_.add_message(stream.value, message);
    }
    void close(StreamId) override {}
    void check_health(const ServerId& server, const std::string&) override {
        add_event(core_event::HealthCheckCompleted{{server, true, ms(5)}});
    }
    void fetch_list() override { fetch_requested_ = true; }
    void follow(const std::string&) override {}
    void on_event(const Event&) override {}
    void on_decision(TimePoint now, const std::vector<Order>& orders) override {
        recording_.add_orders(number_, now, orders);
        for (const Order& order : orders) {
            if (const auto* nonce_order = std::get_if<order::SendNonce>(&order)) {
                pending_nonces_.push_back(nonce_order->nonce);
            }
        }
    }

 private:
    const int number_;
    Recording& recording_;
    test::Quiet quiet_;
    std::vector<CoreEvent> pending_events_;
    std::map<int, StreamId> streams_;    // by proxy
    std::vector<Nonce> pending_nonces_;  // to acknowledge in the next turn
    bool fetch_requested_ = false;
    Core core_;
};

// Runs a workload with one or two cores.
class Workload {
 public:
    Workload(const WorkloadSpec& spec, int seed, Recording& recording)
        : spec_(spec),
          random_(seed),
          seed_(seed),
          recording_(recording),
          settings_(draw_settings(spec, random_)),
          names_(numbered_names(settings_.methods.size(), kZones, spec.pools)),
          fleet_(spec_, random_) {}

    void run() {
        for (int i = 0; i < spec_.servers; ++i) {
            fleet_.add(now_, random_.one_in(3));
        }
        start(0);
        if (spec_.takeover) {
            start(1);
        }
        for (int proxy = 0; proxy < spec_.proxies; ++proxy) {
            join(proxy, true);
        }
        for (int turn = 0; turn < spec_.turns; ++turn) {
            now_ += kTurn;
            if (spec_.takeover && turn == spec_.turns / 3) {
                fail_over();
            }
            if (spec_.takeover && turn == spec_.turns * 2 / 3) {
                start(1);
            }
            if (const auto list = fleet_.change(now_, turn)) {
                ++version_;
                for (auto& [number, process] : processes_) {
                    process->add_list(version_, *list);
                }
            }
            change_proxies();
            for (auto& [number, process] : processes_) {
                run_turn(*process, turn);
            }
        }
    }

 private:
    void start(int number) {
        processes_[number] = std::make_unique<RecordedProcess>(number, settings_, names_,
                                                               seed_ * 2 + number, recording_);
        processes_[number]->add_list(version_, fleet_.complete_list());
    }
    void join(int proxy, bool initial_table_only) {
        const int number = proxy % static_cast<int>(processes_.size());
        processes_.at(number)->join({++last_stream_}, proxy, random_.below(20), initial_table_only);
    }
    // Stops the second planner; its proxies join the first with the tables that it gave them.
    void fail_over() {
        const std::map<int, StreamId> streams = processes_.at(1)->streams();
        processes_.erase(1);
        for (const auto& [proxy, stream] : streams) {
            join(proxy, false);
        }
    }
    void change_proxies() {
        const int proxy = random_.below(spec_.proxies);
        if (!random_.one_in(4)) {
            return;
        }
        for (auto& [number, process] : processes_) {
            if (process->streams().contains(proxy)) {
                return process->leave(proxy);
            }
        }
        join(proxy, random_.one_in(2));
    }
    void run_turn(RecordedProcess& process, int turn) {
        if (process.take_fetch_request()) {
            process.add_list(version_, fleet_.complete_list());
        }
        std::set<int> proxies;
        for (const auto& [proxy, stream] : process.streams()) {
            proxies.insert(proxy);
        }
        if (turn % 5 == 0) {
            for (auto& report : draw_reports(spec_, random_, fleet_, proxies)) {
                process.add_event(std::move(report));
            }
        }
        process.acknowledge_nonces(random_);
        process.turn(now_);
    }

    const WorkloadSpec& spec_;
    PortableRandom random_;
    const int seed_;
    Recording& recording_;
    const DeploymentSettings settings_;
    const SymbolTable names_;
    Fleet fleet_;
    TimePoint now_{ms(1'000'000'000)};
    std::int64_t version_ = 1;
    std::uint64_t last_stream_ = 0;
    std::map<int, std::unique_ptr<RecordedProcess>> processes_;
};

// Runs a workload with slices, with the planner and the update builder alone.
void run_slices(const WorkloadSpec& spec, int seed, Recording& recording) {
    current_recording = &recording;
    PortableRandom random(seed);
    const DeploymentSettings settings = draw_settings(spec, random);
    RecordedPlanner planner(settings, static_cast<std::uint64_t>(seed));
    Fleet fleet(spec, random);
    TimePoint now{ms(1'000'000'000)};
    std::multimap<TimePoint, TimerId> timers;
    std::set<int> proxies;
    for (int i = 0; i < spec.servers; ++i) {
        fleet.add(now, random.one_in(3));
    }
    planner.handle(fleet.complete_list());
    for (int proxy = 0; proxy < spec.proxies; ++proxy) {
        proxies.insert(proxy);
        planner.handle(event::ProxyJoined{{proxy}, {proxy % kZones}, 1.0 * random.below(20), true});
    }
    for (int slice = 0; slice < spec.slices; ++slice) {
        planner.handle(event::SliceAssigned{{slice}, true});
        if (random.one_in(2)) {
            planner.handle(event::SliceOwnerReported{{slice}, fleet.random_server(), 1});
        }
    }
    for (int turn = 0; turn < spec.turns; ++turn) {
        now += kTurn;
        if (const auto list = fleet.change(now, turn)) {
            planner.handle(*list);
        }
        const TableId slice{random.below(spec.slices)};
        if (random.one_in(12)) {
            planner.handle(event::SliceAssigned{slice, !random.one_in(3)});
        }
        if (random.one_in(6)) {
            planner.handle(event::SliceOwnerReported{slice, fleet.random_server(), 1});
        }
        if (turn % 5 == 0) {
            for (const auto& reported_event : draw_reports(spec, random, fleet, proxies)) {
                std::visit([&planner](const auto& report) { planner.handle(report); },
                           reported_event.report);
            }
            for (int reporting_slice = 0; reporting_slice < spec.slices; ++reporting_slice) {
                const MethodId method{random.below(spec.pools)};
                planner.handle(event::SliceDemandReport{
                    {reporting_slice}, method, 1.0 * random.between(1, 30), 0, ms(500)});
            }
        }
        for (; !timers.empty() && timers.begin()->first <= now; timers.erase(timers.begin())) {
            planner.handle(event::TimerExpired{timers.begin()->second});
        }
        for (const Order& order : planner.decide(now)) {
            if (const auto* timer = std::get_if<order::StartTimer>(&order)) {
                timers.emplace(now + timer->after, timer->timer);
            } else if (const auto* nonce_order = std::get_if<order::SendNonce>(&order)) {
                for (const int proxy : proxies) {
                    planner.handle(event::Acknowledgement{{proxy}, nonce_order->nonce});
                }
            }
        }
    }
}

std::vector<WorkloadSpec> workload_specs() {
    return {
        {.name = "one-pool", .seeds = 4, .pools = 1},
        {.name = "four-pools", .seeds = 5},
        {.name = "subsets",
         .seeds = 5,
         .pools = 2,
         .servers = 90,
         .proxies = 60,
         .turns = 400,
         .lines_per_second = 800,
         .change_period = 8},
        {.name = "draining", .seeds = 4, .drain_period = 30},
        {.name = "takeover", .seeds = 5, .drain_period = 40, .takeover = true},
        {.name = "slices", .seeds = 2, .pools = 1, .servers = 20, .proxies = 8, .slices = 12},
        {.name = "owned-slices",
         .seeds = 2,
         .pools = 1,
         .servers = 20,
         .proxies = 8,
         .slices = 12,
         .single_owner = true},
        {.name = "rates", .seeds = 4, .admission_kind = AdmissionKind::rate},
        {.name = "reload", .seeds = 4, .servers = 60, .reload_every = 60},
    };
}

// Returns the golden line of every scenario and workload, by name.
std::map<std::string, std::string> record_all() {
    std::map<std::string, std::string> lines;
    for (const auto& file : test::scenario_files()) {
        Recording recording;
        current_recording = &recording;
        test::play<RecordedPlanner>(file);
        const std::string name = "scenario/" + file.stem().string();
        lines[name] = recording.line(name);
    }
    for (const WorkloadSpec& spec : workload_specs()) {
        for (int seed = 1; seed <= spec.seeds; ++seed) {
            Recording recording;
            spec.slices > 0 ? run_slices(spec, seed, recording)
                            : Workload(spec, seed, recording).run();
            const std::string name = fmt::format("day/{}/{}", spec.name, seed);
            lines[name] = recording.line(name);
        }
    }
    current_recording = nullptr;
    return lines;
}

std::map<std::string, std::string> read_expected() {
    std::map<std::string, std::string> lines;
    std::ifstream in(kGoldenFile);
    for (std::string line; std::getline(in, line);) {
        const std::string name = line.substr(0, line.find(' '));
        INFO(line);
        REQUIRE(lines.emplace(name, line).second);
    }
    return lines;
}

}  // namespace

TEST_CASE("golden orders and bytes") {
    const std::map<std::string, std::string> actual = record_all();
    if (const char* write = std::getenv("MICAROAD_WRITE_GOLDENS");
        write != nullptr && std::string(write) == "1") {
        std::ofstream out(kGoldenFile);
        for (const auto& [name, line] : actual) {
            out << line << '\n';
        }
        out.close();
        REQUIRE(out.good());
        FAIL("wrote " << actual.size() << " lines to " << kGoldenFile << "; nothing was compared");
    }
    const std::map<std::string, std::string> expected_lines = read_expected();
    for (const auto& [name, line] : actual) {
        INFO(name);
        const auto expected = expected_lines.find(name);
        CHECK((expected == expected_lines.end() ? "no golden line" : expected->second) == line);
    }
    for (const auto& [name, expected] : expected_lines) {
        INFO(expected);
        CHECK(actual.contains(name));
    }
}
