// Golden test of the planner's orders and of the bytes they become on the proxies' streams.
//
// What it pins: for every scenario of tests/scenarios and for a set of days drawn by fixed seeds,
// one digest of all orders (in order, doubles to the bit) and one of all messages (stream and
// bytes). Scenarios and the days with slices drive the module, the update_builder and the push
// writer directly, as the protocol has no words for some of their events; all other days drive the
// core. The digests stand in tests/data/golden/orders.txt, one line a day.
//
// How it is renewed: MICAROAD_WRITE_GOLDENS=1 micaroad_tests "golden orders and bytes" writes the
// file, and then fails, so that writing never counts as passing. This is allowed only together with
// a change of behaviour that is intended, and that the commit states. A change that only renames,
// moves or speeds up code leaves the file as it is.
//
// The texts that are digested hold numbers in place of the names of orders, and single updates in
// those of servers, methods, zones and kinds, so that renaming in the code changes no digest. The
// digests depend on floating-point arithmetic and on the random engines and distributions of the
// standard library, as the orders do.
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

// ---- the fields of each kind of order

std::string exact(double value) {
    char text[64];
    std::snprintf(text, sizeof text, "%a", value);
    return text;
}

std::string numbers(const std::vector<MethodId>& methods) {
    std::string text;
    for (const MethodId method : methods) {
        text += fmt::format("{},", method.value);
    }
    return text;
}

std::string fields(const order::SetTableEntry& o) {
    return fmt::format("{} {} {}", o.table.value, o.server.value, exact(o.weight));
}
std::string fields(const order::ClearTable& o) {
    return fmt::format("{}", o.table.value);
}
std::string fields(const order::BindProxy& o) {
    return fmt::format("{} {} {}", o.table.value, numbers(o.methods), o.proxy.value);
}
std::string fields(const order::SetAdmission& o) {
    const std::string table = o.table ? fmt::format("{}", o.table->value) : "-";
    return fmt::format("{} {} {} {}", table, numbers(o.methods), exact(o.amount),
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

// Digests and counts all that the planners of one day order and write.
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

// ---- module, update_builder and push writer without the core

Recording* current_recording =
    nullptr;  // test::Stage makes its planners itself, and can't hand one over

// Hears and decides as Planner does. A proxy's number stands for its stream.
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
        } else if (const auto* applied = std::get_if<event::Acknowledgement>(&event)) {
            if (joined_.contains(applied->proxy)) {
                update_builder_.on_acknowledgement(applied->proxy, applied->nonce);
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

// ---- days drawn by seed

struct Shape {
    std::string name;
    int seeds = 4;
    int pools = 4;
    int servers = 40;
    int proxies = 20;
    int turns = 250;
    double lines_per_second = 2'000;  // where the channel is slow, servers are dealt over subsets
    AdmissionKind levels = AdmissionKind::fraction;
    int change_in = 4;  // in one turn of so many a server changes
    int drain_in = 0;   // and in one of so many a fifth of the servers starts to drain; 0: never
    int reload_every =
        0;  // turns from one whole list that replaces half of the servers to the next; 0: never
    bool takeover =
        false;  // the second of two planners dies, and its proxies join the first with its tables
    int slices = 0;
    bool single_owner = false;  // of each slice
};

constexpr int kZones = 3;
constexpr Duration kTurn = std::chrono::milliseconds(100);

// Draws with integers only, so that a day is the same with every standard library.
class Chance {
 public:
    explicit Chance(int seed)
        : engine_(static_cast<std::minstd_rand::result_type>(seed) * 7'919u) {}
    int below(int limit) {
        return static_cast<int>((engine_() >> 4) % static_cast<std::uint32_t>(limit));
    }
    int between(int low, int high) { return low + below(high - low); }
    bool one_in(int n) { return n > 0 && below(n) == 0; }

 private:
    std::minstd_rand engine_;
};

DeploymentSettings draw_terms(const Shape& shape, Chance& chance) {
    DeploymentSettings settings;
    for (int pool = 0; pool < shape.pools; ++pool) {
        Method method;
        method.soft_deadline = ms(chance.between(300, 2'000));
        method.criticality = chance.between(1, 9);
        if (shape.pools > 1) {
            method.only_kinds = {{pool}};
        }
        if (shape.pools > 1) {
            method.own_zone_only = chance.one_in(4);
        }
        settings.methods.push_back(method);
    }
    settings.zone_count = kZones;
    settings.proxy_count = shape.proxies;
    settings.planner_count = shape.takeover ? 2 : 1;
    settings.channel_lines_per_second = shape.lines_per_second;
    settings.overhead_lines_per_message = 3;
    settings.max_pending_lines = shape.lines_per_second;
    settings.message_limit_window = ms(10'000);
    settings.report_interval = ms(500);
    settings.max_message_delay = ms(500);
    settings.drain_grace = ms(2'000);
    settings.warm_up_duration = ms(8'000);
    settings.cold_capacity_fraction = 0.25;
    settings.overload_factor = 3;
    settings.overload_window = ms(1'500);
    settings.unlisted_may_serve = chance.one_in(2);
    settings.admission_kind = shape.levels;
    settings.default_retry_policy =
        chance.one_in(2) ? RetryPolicy::never : RetryPolicy::once_if_not_executed;
    settings.slice_count = shape.slices;
    settings.single_owner = shape.single_owner;
    settings.owner_lease = ms(2'500);
    settings.write_lifetime = ms(5'000);
    return settings;
}

// The servers of a day, and what changes at them.
class Fleet {
 public:
    struct Server {
        ListedEndpoint entry;
        bool fails = false;
        int mean = 0;  // of its answers, milliseconds
    };

    Fleet(const Shape& shape, Chance& chance) : shape_(shape), chance_(chance) {}

    void add(TimePoint now, bool cold) {
        Server server;
        server.entry.server = {fmt::format("s{}", ++named_)};
        server.entry.zone = {chance_.below(kZones)};
        server.entry.kind = {chance_.below(shape_.pools)};
        server.entry.size = chance_.one_in(3) ? chance_.between(2, 16) / 4.0 : 1;
        if (cold) {
            server.entry.last_start = now - ms(chance_.below(9'000));
        }
        server.fails = chance_.one_in(15);
        server.mean = chance_.between(20, 600);
        servers_[server.entry.server] = server;
        changed_.insert(server.entry.server);
    }
    // What changes within a turn: a whole list, a list of changes, or nothing.
    std::optional<event::EndpointListUpdate> change(TimePoint now, int turn) {
        changed_.clear();
        if (chance_.one_in(shape_.change_in)) {
            change_one(now);
        }
        if (chance_.one_in(shape_.drain_in)) {
            drain_some();
        }
        if (shape_.reload_every > 0 && turn % shape_.reload_every == shape_.reload_every / 2) {
            for (int i = 0; i < shape_.servers / 2; ++i) {
                servers_.erase(any());
            }
            for (int i = 0; i < shape_.servers / 2; ++i) {
                add(now, true);
            }
            return whole_list();
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
    event::EndpointListUpdate whole_list() const {
        event::EndpointListUpdate list{event::EndpointListUpdate::Form::complete, {}};
        for (const auto& [id, server] : servers_) {
            if (server.entry.phase != EndpointPhase::gone) {
                list.servers.push_back(server.entry);
            }
        }
        return list;
    }
    const std::map<ServerId, Server>& servers() const { return servers_; }
    ServerId any() {
        return std::next(servers_.begin(), chance_.below(static_cast<int>(servers_.size())))->first;
    }

 private:
    void change_one(TimePoint now) {
        const ServerId id = any();
        Server& server = servers_.at(id);
        const int what = chance_.below(7);
        if (what == 0) {
            server.entry.phase = EndpointPhase::draining;
        }
        if (what == 1) {
            server.entry.phase = EndpointPhase::gone;
        }
        if (what == 2) {
            server.entry.phase = EndpointPhase::ready;
        }
        if (what == 3) {
            server.entry.zone = {chance_.below(kZones)};
        }
        if (what == 4) {
            server.entry.phase = EndpointPhase::ready;
            server.entry.last_start = now;
        }
        if (what == 5) {
            server.fails = !server.fails;
        }
        if (what == 6) {
            return add(now, !chance_.one_in(4));
        }
        changed_.insert(id);
    }
    void drain_some() {
        for (auto& [id, server] : servers_) {
            if (server.entry.phase == EndpointPhase::draining) {
                server.entry.phase = EndpointPhase::gone;
                changed_.insert(id);
            } else if (server.entry.phase == EndpointPhase::ready && chance_.one_in(5)) {
                server.entry.phase = EndpointPhase::draining;
                changed_.insert(id);
            }
        }
    }

    const Shape& shape_;
    Chance& chance_;
    std::map<ServerId, Server> servers_;
    std::set<ServerId> changed_;  // in this turn
    int named_ = 0;
};

// The reports of one interval: what proxies met at the servers, and what came to the proxies.
std::vector<core_event::ReportReceived> draw_reports(const Shape& shape, Chance& chance,
                                                     const Fleet& fleet,
                                                     const std::set<int>& proxies) {
    std::vector<core_event::ReportReceived> reports;
    for (const auto& [id, server] : fleet.servers()) {
        if (server.entry.phase == EndpointPhase::gone || chance.one_in(4)) {
            continue;
        }
        const int tries = chance.between(1, 20);
        const int bad = server.fails ? chance.below(tries + 1) : 0;
        const Duration mean = ms(server.mean * chance.between(2, 8) / 4);
        reports.push_back({event::EndpointLoadReport{
            id, {chance.below(kZones)}, 1.0 * tries, 1.0 * bad, mean, ms(500)}});
    }
    for (const int proxy : proxies) {
        if (chance.one_in(2)) {
            continue;
        }
        const MethodId method{chance.below(shape.pools)};
        reports.push_back(
            {event::DemandReport{{proxy}, method, 1.0 * chance.between(1, 30), 0, ms(500)}});
    }
    return reports;
}

// One planner process: a core, the streams of its proxies, and what it has to hear in its next
// turn.
class Station : public Transport, public Observer {
 public:
    Station(int number, const DeploymentSettings& settings, const SymbolTable& names, int seed,
            Recording& recording)
        : number_(number),
          recording_(recording),
          core_(settings, names, static_cast<std::uint64_t>(seed), *this, quiet_.log, this) {}

    template <class AnyArrival>
    void tell(AnyArrival arrival) {
        arrivals_.emplace_back(std::move(arrival));
    }
    void tell_list(std::int64_t version, const event::EndpointListUpdate& list) {
        protocol::EndpointListMessage said{version, list, {}, {}};
        for (const ListedEndpoint& server : list.servers) {
            said.addresses[server.server] = "127.0.0.1:9";
        }
        tell(core_event::EndpointListReceived{std::move(said)});
    }
    void join(StreamId stream, int proxy, double rpcs_per_second, bool initial_table_only) {
        streams_[proxy] = stream;
        tell(core_event::StreamOpened{
            stream, {{proxy}, {proxy % kZones}, rpcs_per_second, initial_table_only}});
    }
    void leave(int proxy) {
        tell(core_event::StreamClosed{streams_.at(proxy), "its end"});
        streams_.erase(proxy);
    }
    void answer_marks(Chance& chance) {
        for (const Nonce mark : std::exchange(marks_, {})) {
            for (const auto& [proxy, stream] : streams_) {
                if (!chance.one_in(10)) {
                    tell(core_event::StreamAcknowledged{stream, {{proxy}, mark}});
                }
            }
        }
    }
    void turn(TimePoint now) {
        std::vector<Inbox::Item> items;
        for (CoreEvent& arrival : std::exchange(arrivals_, {})) {
            items.push_back({now, std::move(arrival)});
        }
        core_.process(items, now);
    }
    bool must_fetch() { return std::exchange(must_fetch_, false); }
    const std::map<int, StreamId>& streams() const { return streams_; }

    void write(StreamId stream, std::string_view message) override {
        recording_.add_message(stream.value, message);
    }
    void close(StreamId) override {}
    void check_health(const ServerId& server, const std::string&) override {
        tell(core_event::HealthCheckCompleted{{server, true, ms(5)}});
    }
    void fetch_list() override { must_fetch_ = true; }
    void follow(const std::string&) override {}
    void on_event(const Event&) override {}
    void on_decision(TimePoint now, const std::vector<Order>& orders) override {
        recording_.add_orders(number_, now, orders);
        for (const Order& order : orders) {
            if (const auto* mark = std::get_if<order::SendNonce>(&order)) {
                marks_.push_back(mark->nonce);
            }
        }
    }

 private:
    const int number_;
    Recording& recording_;
    test::Quiet quiet_;
    std::vector<CoreEvent> arrivals_;
    std::map<int, StreamId> streams_;  // by proxy
    std::vector<Nonce> marks_;         // not yet answered
    bool must_fetch_ = false;
    Core core_;
};

// A day of one or two cores.
class Day {
 public:
    Day(const Shape& shape, int seed, Recording& recording)
        : shape_(shape),
          chance_(seed),
          seed_(seed),
          recording_(recording),
          terms_(draw_terms(shape, chance_)),
          names_(numbered_names(terms_.methods.size(), kZones, shape.pools)),
          fleet_(shape_, chance_) {}

    void play() {
        for (int i = 0; i < shape_.servers; ++i) {
            fleet_.add(now_, chance_.one_in(3));
        }
        start(0);
        if (shape_.takeover) {
            start(1);
        }
        for (int proxy = 0; proxy < shape_.proxies; ++proxy) {
            join(proxy, true);
        }
        for (int turn = 0; turn < shape_.turns; ++turn) {
            now_ += kTurn;
            if (shape_.takeover && turn == shape_.turns / 3) {
                fail_over();
            }
            if (shape_.takeover && turn == shape_.turns * 2 / 3) {
                start(1);
            }
            if (const auto list = fleet_.change(now_, turn)) {
                ++version_;
                for (auto& [number, station] : stations_) {
                    station->tell_list(version_, *list);
                }
            }
            change_proxies();
            for (auto& [number, station] : stations_) {
                play_turn(*station, turn);
            }
        }
    }

 private:
    void start(int number) {
        stations_[number] =
            std::make_unique<Station>(number, terms_, names_, seed_ * 2 + number, recording_);
        stations_[number]->tell_list(version_, fleet_.whole_list());
    }
    void join(int proxy, bool initial_table_only) {
        const int number = proxy % static_cast<int>(stations_.size());
        stations_.at(number)->join({++last_stream_}, proxy, chance_.below(20), initial_table_only);
    }
    // The second planner dies; its proxies come to the first with the tables that it gave them.
    void fail_over() {
        const std::map<int, StreamId> streams = stations_.at(1)->streams();
        stations_.erase(1);
        for (const auto& [proxy, stream] : streams) {
            join(proxy, false);
        }
    }
    void change_proxies() {
        const int proxy = chance_.below(shape_.proxies);
        if (!chance_.one_in(4)) {
            return;
        }
        for (auto& [number, station] : stations_) {
            if (station->streams().contains(proxy)) {
                return station->leave(proxy);
            }
        }
        join(proxy, chance_.one_in(2));
    }
    void play_turn(Station& station, int turn) {
        if (station.must_fetch()) {
            station.tell_list(version_, fleet_.whole_list());
        }
        std::set<int> proxies;
        for (const auto& [proxy, stream] : station.streams()) {
            proxies.insert(proxy);
        }
        if (turn % 5 == 0) {
            for (auto& report : draw_reports(shape_, chance_, fleet_, proxies)) {
                station.tell(std::move(report));
            }
        }
        station.answer_marks(chance_);
        station.turn(now_);
    }

    const Shape& shape_;
    Chance chance_;
    const int seed_;
    Recording& recording_;
    const DeploymentSettings terms_;
    const SymbolTable names_;
    Fleet fleet_;
    TimePoint now_{ms(1'000'000'000)};
    std::int64_t version_ = 1;
    std::uint64_t last_stream_ = 0;
    std::map<int, std::unique_ptr<Station>> stations_;
};

// A day with slices, of the module alone.
void play_slices(const Shape& shape, int seed, Recording& recording) {
    current_recording = &recording;
    Chance chance(seed);
    const DeploymentSettings settings = draw_terms(shape, chance);
    RecordedPlanner planner(settings, static_cast<std::uint64_t>(seed));
    Fleet fleet(shape, chance);
    TimePoint now{ms(1'000'000'000)};
    std::multimap<TimePoint, TimerId> timers;
    std::set<int> proxies;
    for (int i = 0; i < shape.servers; ++i) {
        fleet.add(now, chance.one_in(3));
    }
    planner.handle(fleet.whole_list());
    for (int proxy = 0; proxy < shape.proxies; ++proxy) {
        proxies.insert(proxy);
        planner.handle(event::ProxyJoined{{proxy}, {proxy % kZones}, 1.0 * chance.below(20), true});
    }
    for (int slice = 0; slice < shape.slices; ++slice) {
        planner.handle(event::SliceAssigned{{slice}, true});
        if (chance.one_in(2)) {
            planner.handle(event::SliceOwnerReported{{slice}, fleet.any(), 1});
        }
    }
    for (int turn = 0; turn < shape.turns; ++turn) {
        now += kTurn;
        if (const auto list = fleet.change(now, turn)) {
            planner.handle(*list);
        }
        const TableId slice{chance.below(shape.slices)};
        if (chance.one_in(12)) {
            planner.handle(event::SliceAssigned{slice, !chance.one_in(3)});
        }
        if (chance.one_in(6)) {
            planner.handle(event::SliceOwnerReported{slice, fleet.any(), 1});
        }
        if (turn % 5 == 0) {
            for (const auto& reported : draw_reports(shape, chance, fleet, proxies)) {
                std::visit([&planner](const auto& report) { planner.handle(report); },
                           reported.report);
            }
            for (int each = 0; each < shape.slices; ++each) {
                const MethodId method{chance.below(shape.pools)};
                planner.handle(event::SliceDemandReport{
                    {each}, method, 1.0 * chance.between(1, 30), 0, ms(500)});
            }
        }
        for (; !timers.empty() && timers.begin()->first <= now; timers.erase(timers.begin())) {
            planner.handle(event::TimerExpired{timers.begin()->second});
        }
        for (const Order& order : planner.decide(now)) {
            if (const auto* timer = std::get_if<order::StartTimer>(&order)) {
                timers.emplace(now + timer->after, timer->timer);
            } else if (const auto* mark = std::get_if<order::SendNonce>(&order)) {
                for (const int proxy : proxies) {
                    planner.handle(event::Acknowledgement{{proxy}, mark->nonce});
                }
            }
        }
    }
}

std::vector<Shape> shapes() {
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
         .change_in = 8},
        {.name = "draining", .seeds = 4, .drain_in = 30},
        {.name = "takeover", .seeds = 5, .drain_in = 40, .takeover = true},
        {.name = "slices", .seeds = 2, .pools = 1, .servers = 20, .proxies = 8, .slices = 12},
        {.name = "owned-slices",
         .seeds = 2,
         .pools = 1,
         .servers = 20,
         .proxies = 8,
         .slices = 12,
         .single_owner = true},
        {.name = "rates", .seeds = 4, .levels = AdmissionKind::rate},
        {.name = "reload", .seeds = 4, .servers = 60, .reload_every = 60},
    };
}

// The golden line of every scenario and day, by name.
std::map<std::string, std::string> play_all() {
    std::map<std::string, std::string> lines;
    for (const auto& file : test::scenario_files()) {
        Recording recording;
        current_recording = &recording;
        test::play<RecordedPlanner>(file);
        const std::string name = "scenario/" + file.stem().string();
        lines[name] = recording.line(name);
    }
    for (const Shape& shape : shapes()) {
        for (int seed = 1; seed <= shape.seeds; ++seed) {
            Recording recording;
            shape.slices > 0 ? play_slices(shape, seed, recording)
                             : Day(shape, seed, recording).play();
            const std::string name = fmt::format("day/{}/{}", shape.name, seed);
            lines[name] = recording.line(name);
        }
    }
    current_recording = nullptr;
    return lines;
}

std::map<std::string, std::string> read_goldens() {
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
    const std::map<std::string, std::string> found = play_all();
    if (const char* write = std::getenv("MICAROAD_WRITE_GOLDENS");
        write != nullptr && std::string(write) == "1") {
        std::ofstream out(kGoldenFile);
        for (const auto& [name, line] : found) {
            out << line << '\n';
        }
        out.close();
        REQUIRE(out.good());
        FAIL("wrote " << found.size() << " lines to " << kGoldenFile << "; nothing was compared");
    }
    const std::map<std::string, std::string> goldens = read_goldens();
    for (const auto& [name, line] : found) {
        INFO(name);
        const auto golden = goldens.find(name);
        CHECK((golden == goldens.end() ? "no golden line" : golden->second) == line);
    }
    for (const auto& [name, golden] : goldens) {
        INFO(golden);
        CHECK(found.contains(name));
    }
}
