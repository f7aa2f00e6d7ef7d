#include "decision/subset_assignment.hpp"

#include <algorithm>
#include <cmath>
#include <compare>
#include <ranges>
#include <vector>

namespace micaroad::decision {

namespace {

// Bindings of all proxies of the planner take no more than this fraction of the drain grace.
constexpr double kBindingGraceFraction = 0.2;

// Maximum number of tables for each proxy of the planner; more would leave subsets without proxies.
constexpr double kTablesPerProxy = 0.4;

// A proxy moves only if the loads of two subsets differ by at least this factor; smaller
// differences arise by chance.
constexpr double kMinRebalanceLoadRatio = 1.25;

// Factor by which a subset's load counts more for a proxy of another zone.
constexpr double kRemoteLoadFactor = 1.5;

constexpr double kMinPoolShare = 1e-9;  // keeps the load of an empty subset finite

/// How well a subset suits an endpoint; the best subset compares lowest.
struct Suitability {
    bool other_zone = false;
    double endpoints_in_its_pools = 0;
    auto operator<=>(const Suitability&) const = default;
};

/// What binding a proxy to a subset would cost; the best subset compares lowest.
struct CostForProxy {
    int missing_pools = 0;
    double load = 0;
    auto operator<=>(const CostForProxy&) const = default;
};

auto indices_of(const ProxySubsets& subsets) {
    return std::views::iota(std::size_t{0}, subsets.size());
}

}  // namespace

void SubsetAssignment::assign(const RoutingTables::PoolSet& pools, bool weights_published) {
    const RoutingTables& tables = state_.tables;
    if (state_.subsets.bound_proxies().empty() && !state_.subsets.groups().any_unsent() &&
        tables.unsent().size() == tables.endpoints().size()) {
        create_subsets();
    }
    measure_success(weights_published);
    if (state_.subsets.size() == 1) {
        return;
    }
    state_.subsets.recount(pools);
    assign_unsent();
}

// Creates as many subsets as make the bindings of all proxies fit into their fraction of the drain
// grace.
void SubsetAssignment::create_subsets() {
    const DeploymentSettings& settings = state_.context.settings;
    const double pools = static_cast<double>(state_.tables.pools().size());
    const double proxies = 1.0 * std::max(1, settings.proxy_count) / settings.planner_count;
    const double lines_in_grace =
        kBindingGraceFraction * state_.drain_grace_seconds() * state_.pace();
    // Besides its entries a binding has, for each method, at most a line that binds it and one that
    // sets its admission.
    const double entries_per_proxy =
        lines_in_grace / proxies - state_.lines_per_message() - 2.0 * state_.admission_lines();
    const double wanted_count =
        std::ceil(wanted_table_entries() / std::max(entries_per_proxy, kMinSubsetSize * pools));
    const double useful_count =
        std::min(wanted_count, kTablesPerProxy * proxies / std::max(1.0, pools));
    const bool one_zone_each = settings.zone_count > 1 && useful_count >= settings.zone_count;
    const double zones = one_zone_each ? settings.zone_count : 1;
    const double count = std::max(1.0, std::ceil(useful_count / zones) * zones);
    state_.subsets.create_subsets(static_cast<std::size_t>(count), static_cast<int>(zones),
                                  static_cast<std::size_t>(std::max(1, settings.proxy_count)));
}

double SubsetAssignment::wanted_table_entries() const {
    double entries = 0;
    for (const TablePool& pool : state_.tables.pools()) {
        for (const auto& [server, table_entry] : pool.entries) {
            entries += table_entry.wanted > 0 ? 1 : 0;
        }
    }
    return entries;
}

// Assigns endpoints to subsets. An endpoint is assigned again in each plan until an entry of it is
// sent.
void SubsetAssignment::assign_unsent() {
    std::vector<RoutingEntry*> assigned;
    for (RoutingEntry* const entry : state_.tables.unsent()) {
        if (entry->wanted() > 0) {
            entry->subset = subset_for(*entry);
            state_.subsets.count_endpoint(*entry);
            assigned.push_back(entry);
        }
    }
    for (const RoutingEntry* const entry : assigned) {
        state_.subsets.uncount_endpoint(*entry);
    }
}

std::size_t SubsetAssignment::subset_for(const RoutingEntry& entry) const {
    const auto suitability = [&](const Subset& subset) {
        double endpoints = 0;
        for (const PoolTableEntry& pool_entry : entry.table_entries) {
            endpoints +=
                pool_entry.table_entry->wanted > 0 ? subset.endpoint_count[pool_entry.pool] : 0;
        }
        return Suitability{subset.is_remote_to(entry.zone), endpoints};
    };
    const std::vector<Subset>& subsets = state_.subsets.all();
    const auto best = std::ranges::min_element(subsets, {}, suitability);
    return static_cast<std::size_t>(best - subsets.begin());
}

// Computes the success margins of the subsets. They stay 0 while no endpoint is warming up, as only
// such endpoints are held back, and while none fails, as then no subset is overloaded.
void SubsetAssignment::measure_success(bool weights_published) {
    state_.subsets.reset_success_margins();
    if (state_.tables.warming_up().empty() || state_.tables.failing().empty()) {
        return;
    }
    for (const auto& [server, entry] : state_.tables.endpoints()) {
        if (!entry.warming_up && entry.sent() > 0) {
            const double weight = weights_published ? entry.published() : entry.wanted();
            state_.subsets.add_success_margin(
                entry.subset, (entry.success_fraction - kOverloadedSuccessFraction) * weight);
        }
    }
}

// RPCs per second of the subset's proxies plus `more_rpcs_per_second`, divided by the subset's
// smallest share of a pool, and multiplied by kRemoteLoadFactor for proxies of another zone.
double SubsetAssignment::load(std::size_t subset, ZoneId zone, double more_rpcs_per_second) {
    const double min_share = state_.subsets.coverage(subset, zone).min_pool_share;
    const Subset& measured = state_.subsets[subset];
    return (measured.rpcs_per_second + more_rpcs_per_second) / std::max(min_share, kMinPoolShare) *
           (measured.is_remote_to(zone) ? kRemoteLoadFactor : 1);
}

std::size_t SubsetAssignment::least_loaded(ZoneId zone, double rpcs_per_second) {
    const auto cost_for_proxy = [&](std::size_t subset) {
        return CostForProxy{state_.subsets.coverage(subset, zone).missing_pools,
                            load(subset, zone, rpcs_per_second)};
    };
    return std::ranges::min(indices_of(state_.subsets), {}, cost_for_proxy);
}

std::optional<ProxyMove> SubsetAssignment::next_move_to_endpoints() {
    for (const std::size_t from : indices_of(state_.subsets)) {
        for (const auto& [zone, proxies] : state_.subsets[from].proxies_by_zone) {
            const int missing_pools = state_.subsets.coverage(from, zone).missing_pools;
            const auto proxy = missing_pools > 0
                                   ? first_allowed(proxies, &MessageLimit::allows_binding)
                                   : std::nullopt;
            if (!proxy) {
                continue;
            }
            const double rate = state_.subsets.bound_proxies().at(*proxy).rpcs_per_second;
            const std::size_t to = least_loaded(zone, rate);
            if (state_.subsets.coverage(to, zone).missing_pools < missing_pools) {
                return ProxyMove{*proxy, to};
            }
        }
    }
    return std::nullopt;
}

std::optional<ProxyMove> SubsetAssignment::next_move_by_load() {
    std::optional<ProxyId> proxy;
    std::size_t from = 0;
    double highest_load = 0;
    for (const std::size_t subset : indices_of(state_.subsets)) {
        const double own_load = load(subset, state_.subsets[subset].zone.value_or(ZoneId{}), 0);
        const auto candidate = first_to_rebalance(state_.subsets[subset]);
        if (candidate && own_load > highest_load) {
            proxy = candidate;
            from = subset;
            highest_load = own_load;
        }
    }
    if (!proxy) {
        return std::nullopt;
    }
    const BoundProxy& bound = state_.subsets.bound_proxies().at(*proxy);
    const std::size_t to = least_loaded(bound.zone, bound.rpcs_per_second);
    if (to == from || load(from, bound.zone, 0) <
                          kMinRebalanceLoadRatio * load(to, bound.zone, bound.rpcs_per_second)) {
        return std::nullopt;
    }
    return ProxyMove{*proxy, to};
}

// Moves cost messages, so where these are limited only those proxies move whose subset does not
// suit them: they go back once there are endpoints.
std::optional<ProxyId> SubsetAssignment::first_to_rebalance(const Subset& subset) const {
    return first_allowed(state_.message_limit.exists() ? subset.displaced_proxies : subset.proxies,
                         &MessageLimit::allows_rebalancing);
}

std::optional<ProxyId> SubsetAssignment::first_allowed(const std::set<ProxyId>& proxies,
                                                       LimitCheck is_allowed) const {
    const auto found = std::ranges::find_if(proxies, [&](ProxyId proxy) {
        const BoundProxy& bound = state_.subsets.bound_proxies().at(proxy);
        return (state_.message_limit.*is_allowed)(bound.binding_times, state_.context.now);
    });
    return found == proxies.end() ? std::nullopt : std::optional(*found);
}

}  // namespace micaroad::decision
