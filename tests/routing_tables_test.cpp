// Unit tests of the routing tables, the proxy subsets and the set of unbound proxies.
#include "decision/routing_tables.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <tuple>
#include <vector>

#include "decision/proxy_subsets.hpp"
#include "decision/unbound_proxies.hpp"

using namespace micaroad;
using namespace micaroad::decision;

namespace {

constexpr ZoneId kFirstZone{0};
constexpr ZoneId kSecondZone{1};
constexpr TimePoint kStart{std::chrono::seconds(100)};

const ServerId kServer{"ub-1"};
const ServerId kOtherServer{"ub-2"};

PoolBinding pool_of(int table) {
    return {TableId{table}, {MethodId{0}}, std::nullopt};
}

/// Publishes a weight in one pool and marks it as sent.
RoutingEntry& send_weight(RoutingTables& tables, const ServerId& server, std::size_t pool,
                          double weight) {
    RoutingEntry& entry = tables.find_or_add(server);
    tables.set_published(entry, {{pool, weight}});
    tables.update_and_recount_lines(entry, [&] {
        for (const PoolTableEntry& pool_entry : entry.table_entries) {
            pool_entry.table_entry->wanted = pool_entry.table_entry->published;
            pool_entry.table_entry->sent = pool_entry.table_entry->published;
        }
    });
    tables.on_weights_sent(entry);
    return entry;
}

event::ProxyJoined joined(int proxy, double rpcs_per_second, bool initial_table_only) {
    event::ProxyJoined event{};
    event.proxy = ProxyId{proxy};
    event.rpcs_per_second = rpcs_per_second;
    event.initial_table_only = initial_table_only;
    return event;
}

}  // namespace

TEST_CASE(
    "pending changes are ordered by rank, key, server and pool, and whole endpoints precede "
    "pools") {
    std::vector<PendingChange> changes;
    for (const ChangeRank rank : {ChangeRank::urgent, ChangeRank::learnt, ChangeRank::cleanup}) {
        for (const double key : {-1e6, -0.25, 0.0, 7.5}) {
            for (const ServerId& server : {kServer, kOtherServer}) {
                for (const std::optional<std::uint32_t> pool :
                     {std::optional<std::uint32_t>{}, std::optional<std::uint32_t>{0},
                      std::optional<std::uint32_t>{3}}) {
                    changes.push_back({rank, key, server, pool});
                }
            }
        }
    }
    const auto expected_order = [](const PendingChange& change) {
        return std::tuple(static_cast<int>(change.rank), change.sort_key, change.server,
                          change.pool ? static_cast<int>(*change.pool) : -1);
    };
    for (const PendingChange& left : changes) {
        for (const PendingChange& right : changes) {
            REQUIRE((left < right) == (expected_order(left) < expected_order(right)));
        }
    }
}

TEST_CASE("a withdrawal replaces the pending weight changes of its endpoint") {
    RoutingTables tables;
    tables.add_pool(pool_of(1));
    tables.set_subset_count(1);
    RoutingEntry& entry = send_weight(tables, kServer, 0, 0.5);
    const PoolTableEntry pool_entry = entry.table_entries.front();
    tables.plan_weight_change(pool_entry, {ChangeRank::learnt, -0.3});
    tables.plan_weight_change(pool_entry, {ChangeRank::learnt, -0.2});  // replaces the first
    REQUIRE(tables.first_change().sort_key == -0.2);
    tables.plan_availability_change(entry, {ChangeRank::urgent, 9});
    REQUIRE(tables.has_pending_changes());
    CHECK(tables.first_change() == PendingChange{ChangeRank::urgent, 9, kServer, std::nullopt});
    CHECK(tables.changing_availability().contains(&entry));
    tables.take_first_change();
    CHECK(!tables.has_pending_changes());
    CHECK(tables.changing_availability().empty());
}

TEST_CASE(
    "a binding counts one line for an entry, and another if its endpoint is or may be withdrawn") {
    RoutingTables tables;
    tables.add_pool(pool_of(1));
    tables.set_subset_count(1);
    const double& binding_lines_of_subset = tables.pools().front().binding_lines.front();
    RoutingEntry& entry = send_weight(tables, kServer, 0, 0.5);
    CHECK(binding_lines_of_subset == 1);
    send_weight(tables, kOtherServer, 0, 0.5);
    CHECK(binding_lines_of_subset == 2);
    tables.update_and_recount_lines(entry, [&] { entry.may_be_withdrawn_at_proxies = true; });
    CHECK(binding_lines_of_subset == 3);
    tables.update_and_recount_lines(entry, [&] { entry.withdrawn = true; });
    CHECK(binding_lines_of_subset == 3);
    tables.update_and_recount_lines(entry,
                                    [&] { entry.table_entries.front().table_entry->sent = 0; });
    CHECK(binding_lines_of_subset == 1);
}

TEST_CASE("an erased endpoint leaves nothing behind, and its pools are planned again") {
    RoutingTables tables;
    tables.add_pool(pool_of(1));
    tables.set_subset_count(1);
    RoutingEntry& entry = send_weight(tables, kServer, 0, 0.5);
    tables.set_withdrawal_due(entry, true, TimePoint{Duration{5}});
    tables.set_tracked(entry, false, TimePoint{Duration{6}});
    tables.set_warming_up(entry, true);
    tables.set_failing(entry, true);
    tables.plan_availability_change(entry, {ChangeRank::urgent, 5});
    entry.table_entries.front().table_entry->sent = 0;
    CHECK(tables.take_pools_to_plan(true) == RoutingTables::PoolSet{0});
    tables.erase(entry);
    CHECK(tables.find(kServer) == nullptr);
    CHECK(tables.pools().front().entries.empty());
    CHECK(!tables.has_pending_changes());
    CHECK(tables.withdrawals_due().empty());
    CHECK(tables.untracked().empty());
    CHECK(tables.warming_up().empty());
    CHECK(tables.failing().empty());
    CHECK(tables.take_queued().empty());
    CHECK(tables.take_pools_to_plan(true) == RoutingTables::PoolSet{0});
}

TEST_CASE("an endpoint that is held back is planned again once weights are published") {
    RoutingTables tables;
    tables.add_pool(pool_of(1));
    tables.set_subset_count(1);
    RoutingEntry& entry = send_weight(tables, kServer, 0, 0.5);
    CHECK(tables.hold_back(entry) == RoutingTables::PoolSet{0});
    CHECK(entry.wanted() == 0);
    CHECK(tables.take_pools_to_plan(false) ==
          RoutingTables::PoolSet{0});  // because its weight was sent
    CHECK(tables.take_pools_to_plan(false).empty());
    CHECK(tables.take_pools_to_plan(true) == RoutingTables::PoolSet{0});
    CHECK(tables.take_pools_to_plan(true).empty());
}

TEST_CASE("proxies that only have their initial table are bound first, then the busiest") {
    UnboundProxies unbound;
    unbound.add(joined(1, 10, false), kStart);
    unbound.add(joined(2, 30, false), kStart);
    unbound.add(joined(3, 5, true), kStart);
    unbound.add(joined(4, 30, false), kStart);
    std::vector<int> binding_order;
    while (!unbound.empty()) {
        binding_order.push_back(unbound.first().proxy.value);
        unbound.remove(unbound.first().proxy);
    }
    CHECK(binding_order == std::vector{3, 2, 4, 1});
    CHECK(unbound.last_join() == 4);
}

// Guards against withdrawals that are late or dropped at proxies that have just joined (issue 60).
TEST_CASE("the first of the unbound proxies that joined after a join is known by its time") {
    const auto second = std::chrono::seconds(1);
    UnboundProxies unbound;
    CHECK(unbound.first_joined_after(0) == std::nullopt);
    unbound.add(joined(7, 10, false), kStart + second);
    unbound.add(joined(8, 30, false), kStart + 2 * second);
    CHECK(unbound.first_joined_after(0) == kStart + second);
    CHECK(unbound.first_joined_after(1) == kStart + 2 * second);
    CHECK(unbound.first_joined_after(2) == std::nullopt);
    unbound.remove(ProxyId{7});
    CHECK(unbound.first_joined_after(0) == kStart + 2 * second);
}

TEST_CASE("a proxy counts for the subset that it is bound to and for no other") {
    RoutingTables tables;
    tables.add_pool(pool_of(1));
    ProxySubsets subsets{tables};
    subsets.create_subsets(2, 2, 10);
    CHECK(subsets[0].zone == kFirstZone);
    CHECK(subsets[1].is_remote_to(kFirstZone));
    const ProxyId proxy{7};
    subsets.bind(proxy, {kFirstZone, 40, 0, true, false, {}});
    subsets.bind(proxy, {kFirstZone, 40, 1, false, false, {}});
    CHECK(subsets[0].proxies.empty());
    CHECK(subsets[0].rpcs_per_second == 0);
    CHECK(subsets[1].proxies.contains(proxy));
    CHECK(subsets[1].rpcs_per_second == 40);
    subsets.release(proxy);
    subsets.release(proxy);  // no effect: the proxy is no longer bound
    CHECK(subsets[1].proxies.empty());
    CHECK(subsets[1].rpcs_per_second == 0);
    CHECK(subsets.bound_proxies().empty());
}

TEST_CASE("a subset's share of a pool is the sum of the wanted weights of its sent endpoints") {
    RoutingTables tables;
    tables.add_pool(pool_of(1));
    ProxySubsets subsets{tables};
    subsets.create_subsets(2, 1, 10);
    tables.find_or_add(kOtherServer).subset = 1;
    send_weight(tables, kServer, 0, 0.75);
    RoutingEntry& other = send_weight(tables, kOtherServer, 0, 0.25);
    subsets.recount({0});
    CHECK(subsets.coverage(0, kSecondZone).min_pool_share == 0.75);
    CHECK(subsets.coverage(1, kSecondZone).min_pool_share == 0.25);
    CHECK(subsets[1].endpoint_count[0] == 1);
    other.table_entries.front().table_entry->sent = 0;
    subsets.recount({0});
    CHECK(subsets.coverage(0, kSecondZone).min_pool_share == 1);
    CHECK(subsets.coverage(1, kSecondZone).min_pool_share == 0);
    CHECK(subsets[1].endpoint_count[0] == 0);
}
