// Tests that the update builder turns the planner's orders into the updates that the protocol
// requires.
#include "updates/update_builder.hpp"

#include <catch2/catch.hpp>

#include "helpers.hpp"

using namespace micaroad;

namespace {

constexpr TableId kTable{1};
const order::BindProxy kBindProxy0{kTable, {{0}, {1}}, {0}};

order::SetTableEntry set_entry(const char* server, double weight) {
    return {kTable, {server}, weight};
}
order::SetWithdrawn withdraw(const char* server, bool withdrawn = true) {
    return {{server}, withdrawn};
}
order::SetAdmission set_admission(double amount, std::optional<TableId> table = kTable,
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
// Returns a builder whose first list names two steady servers.
UpdateBuilder builder_with_two_steady_servers() {
    UpdateBuilder update_builder(2);
    update_builder.on_endpoint_list(list({"a", "b"}));
    return update_builder;
}

// Applies updates in the way a proxy does.
struct FakeProxy {
    std::map<MethodId, std::map<ServerId, double>> tables;
    std::map<MethodId, ProxyUpdate::Admission> admissions;
    std::set<ServerId> withdrawn;
    void apply(const ProxyUpdate& update) {
        for (const auto& part : update.tables) {
            for (const MethodId method : part.methods) {
                if (part.full) {
                    tables[method].clear();
                    admissions.erase(method);
                }
                for (const auto& [server, weight] : part.lines) {
                    if (weight > 0) {
                        tables[method][server] = weight;
                    } else {
                        tables[method].erase(server);
                    }
                }
            }
        }
        for (const auto& [method, admission] : update.admissions) {
            admissions[method] = admission;
        }
        for (const auto& [server, is_withdrawn] : update.withdrawn) {
            if (is_withdrawn) {
                withdrawn.insert(server);
            } else {
                withdrawn.erase(server);
            }
        }
    }
    std::set<ServerId> usable_servers(MethodId method) const {
        std::set<ServerId> usable_servers;
        for (const auto& [server, weight] : tables.at(method)) {
            if (!withdrawn.contains(server)) {
                usable_servers.insert(server);
            }
        }
        return usable_servers;
    }
};

}  // namespace

TEST_CASE("a change reaches no unbound proxy, and a bind sends the table as it is at that time") {
    UpdateBuilder update_builder = builder_with_two_steady_servers();
    update_builder.on_proxy_joined({0});
    CHECK(update_builder.build_updates({set_entry("a", 1), set_entry("b", 2), set_admission(0.5)})
              .empty());
    const auto updates = update_builder.build_updates(
        {set_entry("b", 3), kBindProxy0, order::SendNonce{{7}, false}});
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

TEST_CASE(
    "a proxy gets one update per decision, and changes after its bind are part of the full table") {
    UpdateBuilder update_builder = builder_with_two_steady_servers();
    update_builder.on_proxy_joined({0});
    update_builder.on_proxy_joined({1});
    update_builder.build_updates({set_entry("a", 1), set_entry("b", 1), kBindProxy0});
    const auto updates = update_builder.build_updates(
        {set_entry("a", 2), order::BindProxy{kTable, {}, {1}}, set_entry("b", 0), withdraw("a"),
         set_admission(0.5), set_admission(0.7, kTable, {{1}})});
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
    "a withdrawal goes to proxies whose table has the server, and to those whose tables are "
    "unknown") {
    UpdateBuilder update_builder = builder_with_two_steady_servers();
    update_builder.on_proxy_joined({0});
    update_builder.on_proxy_joined({1});
    update_builder.build_updates({set_entry("a", 1), kBindProxy0});
    CHECK(update_builder.build_updates({withdraw("a")}).size() == 2);
    const auto other = update_builder.build_updates({withdraw("b")});
    REQUIRE(other.size() == 1);
    CHECK(other[0].proxy == ProxyId{1});
    // The proxy is bound for one method only: its table for the other method is unknown.
    update_builder.build_updates({order::BindProxy{kTable, {{0}}, {1}}});
    CHECK(update_builder.build_updates({withdraw("b", false)}).size() == 1);
}

TEST_CASE(
    "an admission for all tables goes to all proxies and with later binds, and the lower amount "
    "holds") {
    UpdateBuilder update_builder = builder_with_two_steady_servers();
    update_builder.on_proxy_joined({0});
    update_builder.on_proxy_joined({1});
    update_builder.build_updates({set_entry("a", 1), kBindProxy0, set_admission(0.8)});
    const auto updates = update_builder.build_updates(
        {order::SetAdmission{std::nullopt, {}, 0.9, RetryPolicy::never}});
    REQUIRE(updates.size() == 2);
    CHECK(updates[0].admissions.at({0}) ==
          ProxyUpdate::Admission{0.8, RetryPolicy::once_if_not_executed});
    CHECK(updates[1].admissions.at({0}) == ProxyUpdate::Admission{0.9, RetryPolicy::never});
    update_builder.build_updates(
        {set_admission(1.0), order::SetAdmission{std::nullopt, {{0}}, 0.3, RetryPolicy::never}});
    const auto bound = update_builder.build_updates({order::BindProxy{kTable, {}, {1}}});
    CHECK(bound[0].admissions.at({0}).amount == 0.3);
    CHECK(bound[0].admissions.at({1}) ==
          ProxyUpdate::Admission{0.9, RetryPolicy::once_if_not_executed});
}

TEST_CASE("a cleared table is empty and has no admissions of its own") {
    UpdateBuilder update_builder = builder_with_two_steady_servers();
    update_builder.on_proxy_joined({0});
    FakeProxy proxy;
    for (const auto& update :
         update_builder.build_updates({set_entry("a", 1), kBindProxy0, set_admission(0.5)})) {
        proxy.apply(update);
    }
    for (const auto& update :
         update_builder.build_updates({order::ClearTable{kTable}, set_entry("b", 2)})) {
        proxy.apply(update);
    }
    CHECK(proxy.tables[{0}] == std::map<ServerId, double>{{{"b"}, 2}});
    CHECK(proxy.admissions.empty());
}

TEST_CASE(
    "withdrawals outlive a stream: a server that may be withdrawn at the proxy is reinstated with "
    "its entry") {
    UpdateBuilder update_builder = builder_with_two_steady_servers();
    FakeProxy proxy;
    const auto send = [&](const std::vector<Order>& orders, bool lost = false) {
        for (const auto& update : update_builder.build_updates(orders)) {
            if (!lost) {
                proxy.apply(update);
            }
        }
    };
    update_builder.on_proxy_joined({0});
    send({set_entry("a", 1), set_entry("b", 1), kBindProxy0});
    send({withdraw("a"), order::SendNonce{{1}, false}});
    update_builder.on_acknowledgement({0}, {1});
    CHECK(proxy.usable_servers({0}) == std::set<ServerId>{{"b"}});
    send({set_entry("a", 0)});
    SECTION("by this planner, on a stream that broke") {
        update_builder.on_proxy_left({0});
        send({withdraw("a", false), set_entry("a", 1)});  // while the proxy is away
        update_builder.on_proxy_joined({0});
        send({kBindProxy0});
    }
    SECTION("reinstated on a stream that broke before it got that") {
        send({set_entry("a", 1), withdraw("a", false), order::SendNonce{{2}, false}}, true);
        update_builder.on_proxy_left({0});
        update_builder.on_proxy_joined({0});
        send({kBindProxy0});
    }
    SECTION("by an earlier planner: this one knows no reason, but the server isn't steady") {
        update_builder = UpdateBuilder(2);
        event::EndpointListUpdate initial_list = list({"a", "b"});
        initial_list.servers[0].last_start = TimePoint{Duration{1}};
        update_builder.on_endpoint_list(initial_list);
        update_builder.on_proxy_joined({0});
        send({set_entry("a", 1), set_entry("b", 1), kBindProxy0});
    }
    SECTION("by an earlier planner, of a server that was off the list at this one's start") {
        update_builder = UpdateBuilder(2);
        update_builder.on_endpoint_list(list({"b"}));
        update_builder.on_endpoint_list(list({"a"}, event::EndpointListUpdate::Form::incremental));
        update_builder.on_proxy_joined({0});
        send({set_entry("a", 1), set_entry("b", 1), kBindProxy0});
    }
    CHECK(proxy.usable_servers({0}) == std::set<ServerId>{{"a"}, {"b"}});
}

// Guards against proxies that come back without a server to use: what this planner sent on an
// earlier stream, acknowledged or not, says nothing about what other planners withdrew since.
TEST_CASE("a server that another planner withdrew is reinstated at a proxy that comes back") {
    UpdateBuilder first = builder_with_two_steady_servers();
    UpdateBuilder second = builder_with_two_steady_servers();
    FakeProxy proxy;
    const auto send = [&proxy](UpdateBuilder& planner, const std::vector<Order>& orders) {
        for (const ProxyUpdate& update : planner.build_updates(orders)) {
            proxy.apply(update);
        }
    };
    const auto restart_a = [](UpdateBuilder& planner) {
        event::EndpointListUpdate restarted =
            list({"a"}, event::EndpointListUpdate::Form::incremental);
        restarted.servers[0].last_start = TimePoint{Duration{1}};
        planner.on_endpoint_list(restarted);
    };
    first.on_proxy_joined({0});
    send(first, {set_entry("a", 1), set_entry("b", 1), kBindProxy0, withdraw("a"),
                 order::SendNonce{{1}, false}});
    SECTION("the reinstatement was acknowledged") {
        send(first, {withdraw("a", false), order::SendNonce{{2}, false}});
        CHECK(first.on_acknowledgement({0}, {2}));
    }
    SECTION("the binding reinstated it, after an earlier planner's withdrawal") {
        first.on_proxy_left({0});
        first.on_proxy_joined({0});
        send(first, {withdraw("a", false), kBindProxy0, order::SendNonce{{2}, false}});
        CHECK(first.on_acknowledgement({0}, {2}));
    }
    CHECK(proxy.usable_servers({0}) == std::set<ServerId>{{"a"}, {"b"}});
    first.on_proxy_left({0});
    second.on_proxy_joined({0});
    send(second, {set_entry("a", 1), set_entry("b", 1), kBindProxy0, withdraw("a")});
    CHECK(proxy.usable_servers({0}) == std::set<ServerId>{{"b"}});
    second.on_proxy_left({0});
    restart_a(first);
    first.on_proxy_joined({0});
    send(first, {kBindProxy0});
    CHECK(proxy.usable_servers({0}) == std::set<ServerId>{{"a"}, {"b"}});
}

TEST_CASE("a server is reinstated once on a stream, and again on the next one") {
    UpdateBuilder update_builder = builder_with_two_steady_servers();
    const std::map<ServerId, bool> reinstates_a{{{"a"}, false}};
    update_builder.on_proxy_joined({0});
    update_builder.build_updates(
        {set_entry("a", 1), kBindProxy0, withdraw("a"), order::SendNonce{{1}, false}});
    CHECK(update_builder
              .build_updates(
                  {set_entry("a", 2), withdraw("a", false), order::SendNonce{{2}, false}})[0]
              .withdrawn == reinstates_a);
    CHECK(update_builder.build_updates({kBindProxy0})[0].withdrawn.empty());
    update_builder.on_acknowledgement({0}, {2});
    update_builder.on_proxy_left({0});
    update_builder.on_proxy_joined({0});
    CHECK(update_builder.build_updates({kBindProxy0})[0].withdrawn == reinstates_a);
    CHECK(update_builder.build_updates({kBindProxy0, set_entry("a", 3)})[0].withdrawn.empty());
    update_builder.on_proxy_left({0});
    CHECK(update_builder.build_updates({kBindProxy0, withdraw("a"), order::SendNonce{{3}, true}})
              .empty());
}

TEST_CASE(
    "a removed server leaves the tables before its withdrawal is forgotten, and stays withdrawn "
    "until it is listed again") {
    UpdateBuilder update_builder = builder_with_two_steady_servers();
    FakeProxy proxy;
    const auto send = [&](const std::vector<Order>& orders) {
        for (const auto& update : update_builder.build_updates(orders)) {
            proxy.apply(update);
        }
    };
    update_builder.on_proxy_joined({0});
    send({set_entry("a", 1), set_entry("b", 1), kBindProxy0});
    event::EndpointListUpdate removal_list =
        list({"a"}, event::EndpointListUpdate::Form::incremental);
    removal_list.servers[0].phase = EndpointPhase::gone;
    update_builder.on_endpoint_list(removal_list);
    CHECK(!update_builder.forget({"a"}));  // it is in a table and not withdrawn
    send({withdraw("a"), order::SendNonce{{1}, false}});
    update_builder.on_acknowledgement({0}, {1});
    CHECK(update_builder.forget({"a"}));
    update_builder.on_proxy_left({0});
    update_builder.on_proxy_joined({0});
    send({kBindProxy0});
    CHECK(proxy.usable_servers({0}) == std::set<ServerId>{{"b"}});
    // Orders of the planner that contradict the list don't bring it back either.
    send({set_entry("a", 1), withdraw("a", false)});
    CHECK(proxy.usable_servers({0}) == std::set<ServerId>{{"b"}});
    CHECK((update_builder.take_suppressed_orders() == 2 &&
           update_builder.take_suppressed_orders() == 0));
    // Once it is listed again, it is reinstated with its entry.
    update_builder.on_endpoint_list(list({"a"}, event::EndpointListUpdate::Form::incremental));
    send({set_entry("a", 2)});
    CHECK(proxy.usable_servers({0}) == std::set<ServerId>{{"a"}, {"b"}});
}

TEST_CASE(
    "a nonce goes with the updates of a decision, or to all proxies where the order says so") {
    UpdateBuilder update_builder = builder_with_two_steady_servers();
    update_builder.on_proxy_joined({0});
    update_builder.on_proxy_joined({1});
    update_builder.build_updates({set_entry("a", 1), kBindProxy0});
    CHECK(update_builder.build_updates({set_entry("a", 2), order::SendNonce{{1}, false}}).size() ==
          1);
    CHECK(update_builder.build_updates({order::SendNonce{{2}, true}}).size() == 2);
    CHECK(update_builder.build_updates({order::SendNonce{{3}, false}}).empty());
    CHECK(!UpdateBuilder::is_supported(order::SendPeerMessage{std::nullopt, "hi"}));
}

// Counts the lines of each proxy that the protocol charges for orders, from the orders alone.
struct LineCounts {
    std::map<ProxyId, bool> joined;  // whether it is bound
    std::map<ServerId, double> table;
    std::set<ServerId> withdrawn;
    std::size_t admissions = 0;
    std::map<ProxyId, std::size_t> lines;

    void count_at_bound_proxies() {
        for (const auto& [proxy, bound] : joined) {
            if (bound) {
                ++lines[proxy];
            }
        }
    }
    void count(const order::SetTableEntry& order) {
        if (order.weight > 0) {
            table[order.server] = order.weight;
        } else {
            table.erase(order.server);
        }
        count_at_bound_proxies();
    }
    void count(const order::SetAdmission&) {
        admissions = 2;
        count_at_bound_proxies();
    }
    void count(const order::SetWithdrawn& order) {
        if (order.withdrawn) {
            withdrawn.insert(order.server);
        } else {
            withdrawn.erase(order.server);
        }
        for (const auto& [proxy, bound] : joined) {
            if (!bound || table.contains(order.server)) {
                ++lines[proxy];
            }
        }
    }
    void count(const order::BindProxy& order) {
        joined[order.proxy] = true;
        lines[order.proxy] += 1 + table.size() + admissions;
        for (const auto& [server, weight] : table) {
            lines[order.proxy] += withdrawn.contains(server);
        }
    }
    void count(const order::SendNonce&) {
        for (auto& [proxy, line_count] : lines) {
            ++line_count;
        }
    }
    template <class Other>
    void count(const Other&) {}
};

TEST_CASE("the updates of a decision have as many lines as the protocol counts for its orders") {
    Planner planner(test::sample_settings(), 5);
    UpdateBuilder update_builder(2);
    LineCounts expected;
    TimePoint now{Duration{1'000'000}};
    std::size_t update_count = 0;
    const auto handle = [&](const event::EndpointListUpdate& list) {
        update_builder.on_endpoint_list(list);
        planner.handle(list);
    };
    handle(list({"a", "b", "c", "d"}));
    for (int tick = 0; tick < 300; ++tick, now += Duration{1'000}) {
        if (tick < 4) {
            update_builder.on_proxy_joined({tick});
            expected.joined[{tick}] = false;
            planner.handle(event::ProxyJoined{{tick}, {0}, 5, true});
        }
        if (tick % 5 == 0) {
            for (const char* server : {"a", "b", "c"}) {
                const double mean_latency = server[0] == 'b' ? 40'000 : 3'000;
                planner.handle(
                    event::EndpointLoadReport{{server},
                                              {0},
                                              12,
                                              server[0] == 'c' && tick > 50 ? 9.0 : 0.0,
                                              Duration{static_cast<std::int64_t>(mean_latency)},
                                              Duration{5'000}});
            }
            planner.handle(event::DemandReport{{1}, {0}, 20, 0, Duration{5'000}});
        }
        if (tick == 120) {
            auto drain_list = list({"a"}, event::EndpointListUpdate::Form::incremental);
            drain_list.servers[0].phase = EndpointPhase::draining;
            handle(drain_list);
        }
        if (tick > 0) {
            planner.handle(event::TimerExpired{{1}});
        }
        expected.lines.clear();
        const auto orders = planner.decide(now);
        for (const Order& order : orders) {
            std::visit([&](const auto& any) { expected.count(any); }, order);
        }
        std::map<ProxyId, std::size_t> actual_lines;
        for (const ProxyUpdate& update : update_builder.build_updates(orders)) {
            actual_lines[update.proxy] = update.channel_lines();
        }
        CHECK(actual_lines == expected.lines);
        update_count += actual_lines.size();
    }
    CHECK(update_count > 20);
}
