// The module and the update_builder against their plain references (tests/reference): the
// scenarios, and days drawn by seed, with fleets of one to thousands of pools whose servers come,
// go, change their kind or zone, fail, and are lost and back all at once. Every order and update
// has to be equal to the bit, so no tolerance is stated. MICAROAD_DIFFERENTIAL_SEEDS=1-1000 plays
// those seeds in place of every run's. Days of the whole planner are compared in
// drain_oracle_test.cpp.
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
using reference::Twin;
using test::ms;

namespace {

constexpr Duration kTurn = std::chrono::milliseconds(100);

// What a day is drawn from.
struct Shape {
    const char* name;
    int kinds = 4, zones = 3, servers = 40, proxies = 20;
    int turns = 300;
    int own_zone_in = 4;     // one method in so many keeps to its own zone; 0: none
    int overlapping_in = 4;  // and so many is open to two kinds; 0: none
    int shared_in = 4;       // and so many has the pool of another; 0: none
    double pace =
        2'000;  // of the channel, lines a second: where it is slow, servers are dealt over subsets
    int mass_every = 97;    // turns from one loss of many servers to the next
    int messages_most = 0;  // to one proxy within ten seconds
    bool one_each = false;  // each kind has one server
    bool reload = false;    // a whole list replaces half of the servers at once, again and again
};

class RandomDay {
 public:
    RandomDay(const Shape& shape, std::uint64_t seed)
        : shape_(shape),
          chance_(seed),
          terms_(draw_terms()),
          twin_(terms_, seed),
          update_builder_(terms_.methods.size()) {
        for (int i = 0; i < shape_.servers; ++i) {
            add_server(one_in(3));
        }
    }

    // Throws at the first order or update that is not equal. How many orders were compared.
    std::size_t play() {
        say_list(event::EndpointListUpdate::Form::restored);
        for (int p = 0; p < shape_.proxies; ++p) {
            if (one_in(2)) {
                join(p);
            }
        }
        for (int turn = 0; turn < shape_.turns; ++turn) {
            now_ += kTurn;
            change_servers(turn);
            change_proxies();
            if (turn % 5 == 0) {
                report();
            }
            answer_marks();
            fire_timers();
            const std::vector<Order> orders = twin_.decide(now_);
            for (const Order& order : orders) {
                obey(order);
            }
            updates_ += update_builder_.build_updates(clear_some(orders));
        }
        REQUIRE(updates_ > 0);
        return twin_.compared();
    }

 private:
    struct Node {
        ListedEndpoint entry;
        bool fails = false;
        double mean = 0;  // of its answers, seconds
    };

    double uniform(double low, double high) {
        return std::uniform_real_distribution<>(low, high)(chance_);
    }
    bool one_in(double n) { return n > 0 && uniform(0, n) < 1; }
    int below(int n) { return static_cast<int>(chance_() % static_cast<std::uint64_t>(n)); }

    DeploymentSettings draw_terms() {
        DeploymentSettings settings;
        const int methods = shape_.kinds + shape_.kinds / 3 + 1;
        for (int m = 0; m < methods; ++m) {
            Method method{
                ms(uniform(300, 2'000)), uniform(1, 9), one_in(shape_.own_zone_in), {}, {}};
            if (m > 0 && one_in(shape_.shared_in)) {
                method = settings.methods[below(m)];  // the same pool
                method.criticality = uniform(1, 9);
            } else if (m < shape_.kinds) {
                method.only_kinds = {
                    {m}};  // the last kind of some days has no server: an empty pool
                if (one_in(shape_.overlapping_in)) {
                    method.only_kinds.push_back({below(shape_.kinds)});
                }
                if (one_in(8)) {
                    method.only_zones = {{below(shape_.zones)}};
                }
            } else if (!one_in(3)) {
                method.only_kinds = {{below(shape_.kinds)}};
            }
            settings.methods.push_back(method);
        }
        settings.zone_count = shape_.zones;
        settings.proxy_count = shape_.proxies;
        settings.channel_lines_per_second = shape_.pace;
        settings.overhead_lines_per_message = 3;
        settings.max_pending_lines = shape_.pace;
        settings.max_messages_per_proxy = shape_.messages_most,
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

    // The module gives none of these; the update_builder serves them.
    std::vector<Order> clear_some(std::vector<Order> orders) {
        const TableId table{1 + below(shape_.kinds)};
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
        Node node;
        node.entry.server = {
            fmt::format("s-{:08x}", static_cast<std::uint32_t>(++named_) * 2'654'435'761u)};
        node.entry.kind = {shape_.one_each ? named_ % shape_.kinds : below(shape_.kinds)};
        node.entry.zone = {below(shape_.zones)};
        node.entry.size = one_in(3) ? uniform(0.5, 4) : 1;
        if (cold) {
            node.entry.last_start = now_ - ms(uniform(0, 9'000));
        }
        node.fails = one_in(15);
        node.mean = uniform(0.02, 0.6);
        fleet_[node.entry.server] = node;
        changed_.insert(node.entry.server);
    }
    void change(const ServerId& id, EndpointPhase phase) {
        fleet_.at(id).entry.phase = phase;
        changed_.insert(id);
    }
    void start_again(const ServerId& id) {
        Node& node = fleet_.at(id);
        node.entry.phase = EndpointPhase::ready;
        node.entry.last_start = now_;
        changed_.insert(id);
    }
    ServerId any_server() {
        return std::next(fleet_.begin(), below(static_cast<int>(fleet_.size())))->first;
    }

    void change_servers(int turn) {
        changed_.clear();
        if (one_in(4)) {
            change_one();
        }
        for (auto at = due_back_.begin(); at != due_back_.end() && at->first <= turn;
             at = due_back_.erase(at)) {
            start_again(at->second);
        }
        if (turn % shape_.mass_every == shape_.mass_every / 2) {
            lose_many(turn);
        }
        if (shape_.reload && turn % 60 == 40) {
            for (int i = 0; i < shape_.servers / 2; ++i) {
                add_server(true);
            }
            for (int i = 0; i < shape_.servers / 2; ++i) {
                fleet_.erase(any_server());
            }
            return say_list(event::EndpointListUpdate::Form::complete);
        }
        if (one_in(80)) {  // a whole list without some
            for (int i = 0; i < 2 && fleet_.size() > 4; ++i) {
                fleet_.erase(any_server());
            }
            return say_list(event::EndpointListUpdate::Form::complete);
        }
        if (!changed_.empty()) {
            say_list(event::EndpointListUpdate::Form::incremental);
        }
    }
    void change_one() {
        const ServerId id = any_server();
        Node& node = fleet_.at(id);
        switch (below(8)) {
            case 0:
                return change(id, EndpointPhase::draining);
            case 1:
                return change(id, EndpointPhase::gone);
            case 2:
                return start_again(id);
            case 3:
                return change(id, EndpointPhase::ready);
            case 4:
                node.entry.kind = {below(shape_.kinds)};
                return change(id, node.entry.phase);
            case 5:
                node.entry.zone = {below(shape_.zones)};
                return change(id, node.entry.phase);
            case 6:
                node.fails = !node.fails, node.mean = uniform(0.02, 0.6);
                return;
            default:
                add_server(!one_in(4));
        }
    }
    // All of a kind or a zone, or a thousand, and they come back cold.
    void lose_many(int turn) {
        const int what = below(3), which = below(what == 0 ? shape_.kinds : shape_.zones);
        int most = 1'000;
        for (auto& [id, node] : fleet_) {
            const bool hit = what == 0   ? node.entry.kind.value == which
                             : what == 1 ? node.entry.zone.value == which
                                         : true;
            if (!hit || most-- <= 0) {
                continue;
            }
            change(id, one_in(2) ? EndpointPhase::gone : EndpointPhase::draining);
            due_back_.emplace(turn + 10 + below(20), id);
        }
    }
    void say_list(event::EndpointListUpdate::Form form) {
        event::EndpointListUpdate list{form, {}};
        if (form == event::EndpointListUpdate::Form::incremental) {
            for (const ServerId& id : changed_) {
                if (fleet_.contains(id)) {
                    list.servers.push_back(fleet_.at(id).entry);
                }
            }
        } else {
            for (const auto& [id, node] : fleet_) {
                list.servers.push_back(node.entry);
            }
        }
        std::erase_if(due_back_, [&](const auto& due) { return !fleet_.contains(due.second); });
        update_builder_.on_endpoint_list(list);
        twin_.handle(list);
        if (one_in(3)) {
            update_builder_.forget(any_server());
        }
    }

    // ---- proxies
    void join(int number) {
        leave(number);
        joined_.insert(number);
        update_builder_.on_proxy_joined({number});
        twin_.handle(
            event::ProxyJoined{{number}, {number % shape_.zones}, uniform(0, 20), one_in(2)});
    }
    void leave(int number) {
        if (joined_.erase(number) == 0) {
            return;
        }
        update_builder_.on_proxy_left({number});
        twin_.handle(event::ProxyLeft{{number}});
    }
    void change_proxies() {
        const int number = below(shape_.proxies);
        if (one_in(3) && !joined_.contains(number)) {
            join(number);
        }
        if (one_in(25)) {
            leave(number);
        }
        if (one_in(150)) {
            for (int p = 0; p < shape_.proxies; ++p) {
                one_in(2) ? join(p) : leave(p);
            }
        }
    }
    void report() {
        for (const auto& [id, node] : fleet_) {
            if (!sent_.contains(id) || one_in(4)) {
                continue;
            }
            const double tries = 1 + below(20),
                         bad = node.fails ? below(static_cast<int>(tries) + 1) : one_in(9);
            const ZoneId from{below(shape_.zones)};
            twin_.handle(event::EndpointLoadReport{
                id, from, tries, bad, ms(1'000 * node.mean * uniform(0.5, 2)), ms(500)});
        }
        for (const int proxy : joined_) {
            if (one_in(2)) {
                twin_.handle(event::DemandReport{
                    {proxy}, {below(shape_.kinds)}, 1.0 + below(30), 0, ms(500)});
            }
        }
    }

    // ---- what the orders say
    void answer_marks() {
        for (const int mark : std::exchange(marks_, {})) {
            for (const int proxy : joined_) {
                if (!one_in(10)) {
                    update_builder_.on_acknowledgement({proxy}, {mark}),
                        twin_.handle(event::Acknowledgement{{proxy}, {mark}});
                }
            }
        }
    }
    void fire_timers() {
        for (; !timers_.empty() && timers_.begin()->first <= now_; timers_.erase(timers_.begin())) {
            twin_.handle(event::TimerExpired{timers_.begin()->second});
        }
    }
    void obey(const Order& order) {
        if (const auto* timer = std::get_if<order::StartTimer>(&order)) {
            timers_.emplace(now_ + timer->after, timer->timer);
        }
        if (const auto* mark = std::get_if<order::SendNonce>(&order)) {
            marks_.push_back(mark->nonce.value);
        }
        if (const auto* line = std::get_if<order::SetTableEntry>(&order);
            line && line->weight > 0) {
            sent_.insert(line->server);
        }
    }

    const Shape shape_;
    std::mt19937_64 chance_;
    TimePoint now_{ms(1'000'000'000)};
    const DeploymentSettings terms_;
    Twin twin_;
    reference::UpdateBuilderTwin update_builder_;
    std::size_t updates_ = 0;  // that were compared
    std::map<ServerId, Node> fleet_;
    std::set<ServerId> changed_, sent_;      // in this turn; that have had a line
    std::multimap<int, ServerId> due_back_;  // by turn
    std::set<int> joined_;
    std::vector<int> marks_;
    std::multimap<TimePoint, TimerId> timers_;
    int named_ = 0;
};

void compare_days(const Shape& shape, int first, int last) {
    const char* many = std::getenv("MICAROAD_DIFFERENTIAL_SEEDS");
    if (many) {
        REQUIRE(std::sscanf(many, "%d-%d", &first, &last) == 2);
    }
    for (int seed = first; seed <= last; ++seed) {
        INFO(shape.name << ", seed " << seed);
        std::string difference;
        std::size_t compared = 0;
        try {
            compared = RandomDay(shape, static_cast<std::uint64_t>(seed)).play();
        } catch (const std::runtime_error& found) {
            difference = found.what();
        }
        CHECK(difference == "");
        CHECK((compared > 0 || !difference.empty()));
    }
}

}  // namespace

TEST_CASE("the reference orders the same in every scenario") {
    const auto files = test::scenario_files();
    REQUIRE(!files.empty());
    for (const auto& file : files) {
        DYNAMIC_SECTION(file.stem().string()) {
            CHECK_NOTHROW(test::run_scenario<Twin>(file));
        }
    }
}

TEST_CASE("the reference orders the same on random days") {
    SECTION("few pools") {
        compare_days({"few pools"}, 1, 12);
    }
    SECTION("one pool") {
        compare_days(
            {.name = "one pool", .kinds = 1, .zones = 1, .own_zone_in = 0, .overlapping_in = 0}, 1,
            6);
    }
    SECTION("many pools") {
        compare_days({.name = "many pools", .kinds = 24, .servers = 120, .turns = 200}, 1, 4);
    }
    SECTION("own-zone pools over 17 zones") {
        compare_days({.name = "own zones",
                      .kinds = 5,
                      .zones = 17,
                      .servers = 70,
                      .turns = 200,
                      .own_zone_in = 1},
                     1, 4);
    }
    SECTION("a slow channel, servers dealt over subsets") {
        compare_days({.name = "subsets",
                      .kinds = 3,
                      .servers = 90,
                      .proxies = 60,
                      .turns = 400,
                      .pace = 400},
                     1, 6);
        compare_days({.name = "many subsets",
                      .kinds = 1,
                      .zones = 2,
                      .servers = 120,
                      .proxies = 90,
                      .turns = 250,
                      .pace = 300,
                      .messages_most = 12},
                     1, 4);
    }
    SECTION("whole lists replace half of the servers") {
        compare_days({.name = "reload", .kinds = 6, .servers = 60, .reload = true}, 1, 4);
    }
}

TEST_CASE("the reference orders the same where thousands change at once") {
    compare_days(
        {.name = "a thousand at once", .kinds = 5, .servers = 1'200, .turns = 60, .mass_every = 25},
        1, 1);
}

TEST_CASE("the reference orders the same with a pool for each server") {
    compare_days({.name = "one server each",
                  .kinds = 150,
                  .zones = 2,
                  .servers = 150,
                  .proxies = 6,
                  .turns = 60,
                  .own_zone_in = 0,
                  .overlapping_in = 0,
                  .shared_in = 0,
                  .pace = 20'000,
                  .mass_every = 30,
                  .one_each = true},
                 1, 2);
}
