// The module's orders as updates, against what WIRE says that they mean.
#include "updates/update_builder.hpp"

#include <catch2/catch.hpp>

#include "helpers.hpp"

using namespace micaroad;

namespace {

constexpr TableId kTable{1};
const order::BindProxy kBindNull{kTable, {{0}, {1}}, {0}};

order::SetTableEntry line(const char* server, double weight) {
    return {kTable, {server}, weight};
}
order::SetWithdrawn out(const char* server, bool is_out = true) {
    return {{server}, is_out};
}
order::SetAdmission level(double amount, std::optional<TableId> table = kTable,
                          std::vector<MethodId> methods = {}) {
    return {table, std::move(methods), amount, RetryPolicy::once_if_not_executed};
}
event::EndpointListUpdate list(
    std::vector<std::string> ids,
    event::EndpointListUpdate::Form form = event::EndpointListUpdate::Form::complete) {
    event::EndpointListUpdate list{form, {}};
    for (const auto& id : ids) {
        list.servers.push_back({{id}, {0}, {0}, {0}, EndpointPhase::ready, 1, std::nullopt});
    }
    return list;
}
// A book that has heard of two steady servers.
UpdateBuilder book() {
    UpdateBuilder update_builder(2);
    update_builder.on_endpoint_list(list({"a", "b"}));
    return update_builder;
}

// What a proxy makes of its updates.
struct Proxy {
    std::map<MethodId, std::map<ServerId, double>> tables;
    std::map<MethodId, ProxyUpdate::Admission> levels;
    std::set<ServerId> shut;
    void read(const ProxyUpdate& update) {
        for (const auto& part : update.tables) {
            for (const MethodId method : part.methods) {
                if (part.full) {
                    tables[method].clear(), levels.erase(method);
                }
                for (const auto& [server, weight] : part.lines) {
                    weight > 0 ? (void)(tables[method][server] = weight)
                               : (void)tables[method].erase(server);
                }
            }
        }
        for (const auto& [method, level] : update.admissions) {
            levels[method] = level;
        }
        for (const auto& [server, is_out] : update.withdrawn) {
            is_out ? (void)shut.insert(server) : (void)shut.erase(server);
        }
    }
    std::set<ServerId> open(MethodId method) const {
        std::set<ServerId> open;
        for (const auto& [server, weight] : tables.at(method)) {
            if (!shut.contains(server)) {
                open.insert(server);
            }
        }
        return open;
    }
};

}  // namespace

TEST_CASE("a change before any bind reaches nobody; a bind brings the table as it is by then") {
    UpdateBuilder update_builder = book();
    update_builder.on_proxy_joined({0});
    CHECK(update_builder.build_updates({line("a", 1), line("b", 2), level(0.5)}).empty());
    const auto updates =
        update_builder.build_updates({line("b", 3), kBindNull, order::SendNonce{{7}, false}});
    REQUIRE(updates.size() == 1);
    const ProxyUpdate& update = updates[0];
    REQUIRE(update.tables.size() == 1);
    CHECK((update.tables[0].full && update.tables[0].methods.size() == 2));
    CHECK(update.tables[0].lines == std::map<ServerId, double>{{{"a"}, 1}, {{"b"}, 3}});
    CHECK((update.admissions.size() == 2 && update.admissions.at({1}).amount == 0.5));
    CHECK(update.withdrawn.empty());
    CHECK(update.nonce == Nonce{7});
    CHECK(update.channel_lines() == 1 + 2 + 2 + 1);
}

TEST_CASE("one message a proxy and decision, changes behind a bind within its table") {
    UpdateBuilder update_builder = book();
    update_builder.on_proxy_joined({0}), update_builder.on_proxy_joined({1});
    update_builder.build_updates({line("a", 1), line("b", 1), kBindNull});
    const auto updates =
        update_builder.build_updates({line("a", 2), order::BindProxy{kTable, {}, {1}}, line("b", 0),
                                      out("a"), level(0.5), level(0.7, kTable, {{1}})});
    REQUIRE(updates.size() == 2);
    CHECK(updates[0].tables[0].lines == std::map<ServerId, double>{{{"a"}, 2}, {{"b"}, 0}});
    CHECK((!updates[0].tables[0].full && updates[1].tables[0].full));
    CHECK(updates[1].tables[0].lines == std::map<ServerId, double>{{{"a"}, 2}});
    for (const ProxyUpdate& update : updates) {
        CHECK(update.withdrawn == std::map<ServerId, bool>{{{"a"}, true}});
        CHECK((update.admissions.at({0}).amount == 0.5 && update.admissions.at({1}).amount == 0.7));
    }
}

TEST_CASE(
    "a withdrawal goes to those whose table has the server, and to those whose table can't be "
    "seen") {
    UpdateBuilder update_builder = book();
    update_builder.on_proxy_joined({0}), update_builder.on_proxy_joined({1});
    update_builder.build_updates({line("a", 1), kBindNull});
    CHECK(update_builder.build_updates({out("a")}).size() == 2);
    const auto other = update_builder.build_updates({out("b")});
    REQUIRE(other.size() == 1);
    CHECK(other[0].proxy == ProxyId{1});
    // Bound to one method only, the table of the other can't be seen.
    update_builder.build_updates({order::BindProxy{kTable, {{0}}, {1}}});
    CHECK(update_builder.build_updates({out("b", false)}).size() == 1);
}

TEST_CASE("a level for all goes to all, with every later bind, and the lower one holds") {
    UpdateBuilder update_builder = book();
    update_builder.on_proxy_joined({0}), update_builder.on_proxy_joined({1});
    update_builder.build_updates({line("a", 1), kBindNull, level(0.8)});
    const auto updates = update_builder.build_updates(
        {order::SetAdmission{std::nullopt, {}, 0.9, RetryPolicy::never}});
    REQUIRE(updates.size() == 2);
    CHECK(updates[0].admissions.at({0}) ==
          ProxyUpdate::Admission{0.8, RetryPolicy::once_if_not_executed});
    CHECK(updates[1].admissions.at({0}) == ProxyUpdate::Admission{0.9, RetryPolicy::never});
    update_builder.build_updates(
        {level(1.0), order::SetAdmission{std::nullopt, {{0}}, 0.3, RetryPolicy::never}});
    const auto bound = update_builder.build_updates({order::BindProxy{kTable, {}, {1}}});
    CHECK(bound[0].admissions.at({0}).amount == 0.3);
    CHECK(bound[0].admissions.at({1}) ==
          ProxyUpdate::Admission{0.9, RetryPolicy::once_if_not_executed});
}

TEST_CASE("a cleared table is empty and has no levels, but for those for all") {
    UpdateBuilder update_builder = book();
    update_builder.on_proxy_joined({0});
    Proxy proxy;
    for (const auto& update : update_builder.build_updates({line("a", 1), kBindNull, level(0.5)})) {
        proxy.read(update);
    }
    for (const auto& update :
         update_builder.build_updates({order::ClearTable{kTable}, line("b", 2)})) {
        proxy.read(update);
    }
    CHECK(proxy.tables[{0}] == std::map<ServerId, double>{{{"b"}, 2}});
    CHECK(proxy.levels.empty());
}

TEST_CASE("shut-outs outlive a stream: what may be shut out there is let back with its line") {
    UpdateBuilder update_builder = book();
    Proxy proxy;
    const auto send = [&](const std::vector<Order>& orders, bool lost = false) {
        for (const auto& update : update_builder.build_updates(orders)) {
            if (!lost) {
                proxy.read(update);
            }
        }
    };
    update_builder.on_proxy_joined({0});
    send({line("a", 1), line("b", 1), kBindNull});
    send({out("a"), order::SendNonce{{1}, false}});
    update_builder.on_acknowledgement({0}, {1});
    CHECK(proxy.open({0}) == std::set<ServerId>{{"b"}});
    send({line("a", 0)});
    SECTION("by this planner, on a stream that broke") {
        update_builder.on_proxy_left({0});
        send({out("a", false), line("a", 1)});  // it isn't there
        update_builder.on_proxy_joined({0});
        send({kBindNull});
    }
    SECTION("let back on a stream that broke before it got that") {
        send({line("a", 1), out("a", false), order::SendNonce{{2}, false}}, true);
        update_builder.on_proxy_left({0});
        update_builder.on_proxy_joined({0});
        send({kBindNull});
    }
    SECTION("by an earlier planner: this one knows no reason, but the server isn't steady") {
        update_builder = UpdateBuilder(2);
        event::EndpointListUpdate known = list({"a", "b"});
        known.servers[0].last_start = TimePoint{Duration{1}};
        update_builder.on_endpoint_list(known);
        update_builder.on_proxy_joined({0});
        send({line("a", 1), line("b", 1), kBindNull});
    }
    SECTION("by an earlier planner, of a server that was off the list at this one's start") {
        update_builder = UpdateBuilder(2);
        update_builder.on_endpoint_list(list({"b"}));
        update_builder.on_endpoint_list(list({"a"}, event::EndpointListUpdate::Form::incremental));
        update_builder.on_proxy_joined({0});
        send({line("a", 1), line("b", 1), kBindNull});
    }
    CHECK(proxy.open({0}) == std::set<ServerId>{{"a"}, {"b"}});
}

TEST_CASE("what is known to be let back is not let back again") {
    UpdateBuilder update_builder = book();
    update_builder.on_proxy_joined({0});
    update_builder.build_updates({line("a", 1), kBindNull, out("a"), order::SendNonce{{1}, false}});
    update_builder.build_updates({line("a", 2), out("a", false), order::SendNonce{{2}, false}});
    update_builder.on_acknowledgement({0}, {2});
    update_builder.on_proxy_left({0});
    update_builder.on_proxy_joined({0});
    CHECK(update_builder.build_updates({kBindNull})[0].withdrawn.empty());
    update_builder.on_proxy_left({0});
    CHECK(update_builder.build_updates({kBindNull, out("a"), order::SendNonce{{3}, true}}).empty());
}

TEST_CASE(
    "a server that is gone leaves the tables before its withdrawal is forgotten, and is never let "
    "back") {
    UpdateBuilder update_builder = book();
    Proxy proxy;
    const auto send = [&](const std::vector<Order>& orders) {
        for (const auto& update : update_builder.build_updates(orders)) {
            proxy.read(update);
        }
    };
    update_builder.on_proxy_joined({0});
    send({line("a", 1), line("b", 1), kBindNull});
    event::EndpointListUpdate gone = list({"a"}, event::EndpointListUpdate::Form::incremental);
    gone.servers[0].phase = EndpointPhase::gone;
    update_builder.on_endpoint_list(gone);
    CHECK(!update_builder.forget({"a"}));  // its line was not withdrawn yet: nothing is dropped
    send({out("a"), order::SendNonce{{1}, false}});
    update_builder.on_acknowledgement({0}, {1});
    CHECK(update_builder.forget({"a"}));
    update_builder.on_proxy_left({0}), update_builder.on_proxy_joined({0});
    send({kBindNull});
    CHECK(proxy.open({0}) == std::set<ServerId>{{"b"}});
    // Nor does a module that knows better than the list bring it back.
    send({line("a", 1), out("a", false)});
    CHECK(proxy.open({0}) == std::set<ServerId>{{"b"}});
    CHECK((update_builder.take_suppressed_orders() == 2 &&
           update_builder.take_suppressed_orders() == 0));
    // Listed again, it is let back with its line.
    update_builder.on_endpoint_list(list({"a"}, event::EndpointListUpdate::Form::incremental));
    send({line("a", 2)});
    CHECK(proxy.open({0}) == std::set<ServerId>{{"a"}, {"b"}});
}

TEST_CASE("a mark goes with what is said, or to everyone") {
    UpdateBuilder update_builder = book();
    update_builder.on_proxy_joined({0}), update_builder.on_proxy_joined({1});
    update_builder.build_updates({line("a", 1), kBindNull});
    CHECK(update_builder.build_updates({line("a", 2), order::SendNonce{{1}, false}}).size() == 1);
    CHECK(update_builder.build_updates({order::SendNonce{{2}, true}}).size() == 2);
    CHECK(update_builder.build_updates({order::SendNonce{{3}, false}}).empty());
    CHECK(!UpdateBuilder::is_supported(order::SendPeerMessage{std::nullopt, "hi"}));
}

// WIRE's price of each order, per proxy, from the orders alone.
struct Prices {
    std::map<ProxyId, bool> joined;  // bound?
    std::map<ServerId, double> table;
    std::set<ServerId> withdrawn;
    std::size_t levels = 0;
    std::map<ProxyId, std::size_t> lines;

    void to_bound() {
        for (const auto& [proxy, bound] : joined) {
            if (bound) {
                ++lines[proxy];
            }
        }
    }
    void count(const order::SetTableEntry& o) {
        o.weight > 0 ? (void)(table[o.server] = o.weight) : (void)table.erase(o.server);
        to_bound();
    }
    void count(const order::SetAdmission&) { levels = 2, to_bound(); }
    void count(const order::SetWithdrawn& o) {
        o.withdrawn ? (void)withdrawn.insert(o.server) : (void)withdrawn.erase(o.server);
        for (const auto& [proxy, bound] : joined) {
            if (!bound || table.contains(o.server)) {
                ++lines[proxy];
            }
        }
    }
    void count(const order::BindProxy& o) {
        joined[o.proxy] = true;
        lines[o.proxy] += 1 + table.size() + levels;
        for (const auto& [server, weight] : table) {
            lines[o.proxy] += withdrawn.contains(server);
        }
    }
    void count(const order::SendNonce&) {
        for (auto& [proxy, sum] : lines) {
            ++sum;
        }
    }
    template <class Other>
    void count(const Other&) {}
};

TEST_CASE("what a decision of the module costs in letters is what its orders cost") {
    Planner planner(test::terms(), 5);
    UpdateBuilder update_builder(2);
    Prices prices;
    TimePoint now{Duration{1'000'000}};
    std::size_t letters_seen = 0;
    const auto handle = [&](const event::EndpointListUpdate& list) {
        update_builder.on_endpoint_list(list), planner.handle(list);
    };
    handle(list({"a", "b", "c", "d"}));
    for (int tick = 0; tick < 300; ++tick, now += Duration{1'000}) {
        if (tick < 4) {
            update_builder.on_proxy_joined({tick}), prices.joined[{tick}] = false;
            planner.handle(event::ProxyJoined{{tick}, {0}, 5, true});
        }
        if (tick % 5 == 0) {
            for (const char* server : {"a", "b", "c"}) {
                const double slow = server[0] == 'b' ? 40'000 : 3'000;
                planner.handle(event::EndpointLoadReport{{server},
                                                         {0},
                                                         12,
                                                         server[0] == 'c' && tick > 50 ? 9.0 : 0.0,
                                                         Duration{static_cast<std::int64_t>(slow)},
                                                         Duration{5'000}});
            }
            planner.handle(event::DemandReport{{1}, {0}, 20, 0, Duration{5'000}});
        }
        if (tick == 120) {
            auto drains = list({"a"}, event::EndpointListUpdate::Form::incremental);
            drains.servers[0].phase = EndpointPhase::draining;
            handle(drains);
        }
        if (tick > 0) {
            planner.handle(event::TimerExpired{{1}});
        }
        prices.lines.clear();
        const auto orders = planner.decide(now);
        for (const Order& order : orders) {
            std::visit([&](const auto& o) { prices.count(o); }, order);
        }
        std::map<ProxyId, std::size_t> written;
        for (const ProxyUpdate& update : update_builder.build_updates(orders)) {
            written[update.proxy] = update.channel_lines();
        }
        CHECK(written == prices.lines);
        letters_seen += written.size();
    }
    CHECK(letters_seen > 20);
}
