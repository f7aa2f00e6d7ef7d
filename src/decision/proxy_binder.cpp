#include "decision/proxy_binder.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace micaroad::decision {

namespace {

// Rate assumed for a proxy that announced no traffic: enough to spread such proxies over subsets.
constexpr double kMinRpcsPerSecond = 1e-3;

// A proxy that joins again within this time of its binding is bound after all others, and after
// those whose binding is longer ago.
constexpr Duration kReturnInterval = std::chrono::seconds(5);

constexpr auto kPartialTableSize = static_cast<std::size_t>(kMinSubsetSize);

}  // namespace

void ProxyBinder::on_proxy_joined(const event::ProxyJoined& joined) {
    on_proxy_left(joined.proxy);
    const auto bound = bound_at_.find(joined.proxy);
    const bool returned =
        bound != bound_at_.end() && state_.context.now - bound->second < kReturnInterval;
    state_.unbound_proxies.add(joined, state_.context.now, returned ? bound->second : TimePoint{});
}

void ProxyBinder::on_proxy_left(ProxyId proxy) {
    state_.unbound_proxies.remove(proxy);
    clear_own_tables(proxy);
    state_.subsets.release(proxy);
    state_.send_window.on_proxy_left(proxy);
}

// When many proxies join with another planner's tables during drains, the withdrawals that each has
// to be sent may take more lines than its binding. Such proxies are bound within the window of
// withdrawals. If whole tables for all of them would take longer than the drain grace, each is
// first bound partially, to a few endpoints, which costs a second binding.
//
// A proxy does not delay the others if it can't be bound: its pools have no endpoint in use yet, or
// its tables are larger than the send window.
void ProxyBinder::bind_joined() {
    const double sent_in_grace =
        kAssuredPaceFraction * state_.drain_grace_seconds() * state_.pace();
    if (state_.subsets.empty()) {
        return;
    }
    const std::set<UnboundProxy, BindingOrder>& unbound = state_.unbound_proxies.all();
    for (auto next = unbound.begin(); next != unbound.end();) {
        const UnboundProxy& joined = *next;
        ++next;  // removing a proxy invalidates the iterator to it
        const double rate = std::max(joined.rpcs_per_second, kMinRpcsPerSecond);
        const std::size_t subset = assignment_.least_loaded(joined.zone, rate);
        if (!has_endpoints(joined.zone, subset) && !may_bind_without_endpoints(joined)) {
            continue;
        }
        const Target target{joined.proxy, joined.zone, rate, subset};
        const double cost = cost_of_binding(target.zone, subset);
        if (cost > state_.max_window(WindowUse::urgent)) {
            continue;
        }
        const bool urgent = state_.withdrawals.owed_to_unbound_proxy > cost;
        const double pending = state_.send_window.pending();
        const double waiting_proxies = static_cast<double>(unbound.size());
        const bool partial = urgent && pending + cost * waiting_proxies > sent_in_grace;
        const double available =
            urgent ? state_.available_window(WindowUse::urgent) : available_for_next_binding();
        // A binding that does not fit waits; its proxy keeps using the tables that it holds.
        if (!(partial && bind_partially(target, available)) && !bind(target, available)) {
            break;
        }
        state_.unbound_proxies.remove(target.proxy);
        bound_at_[target.proxy] = state_.context.now;
    }
}

void ProxyBinder::complete_partial_bindings() {
    while (state_.unbound_proxies.empty() && !partially_bound_.empty()) {
        const ProxyId proxy = partially_bound_.front();
        const auto found = state_.subsets.bound_proxies().find(proxy);
        if (found != state_.subsets.bound_proxies().end() && found->second.partial) {
            const BoundProxy& bound = found->second;
            const Target target{proxy, bound.zone, bound.rpcs_per_second, bound.subset};
            if (!bind(target, available_for_next_binding())) {
                break;
            }
        }
        partially_bound_.pop_front();
    }
}

void ProxyBinder::move_to_endpoints() {
    while (const std::optional<ProxyMove> move = assignment_.next_move_to_endpoints()) {
        if (!apply(*move, true, available_for_next_binding())) {
            return;
        }
    }
}

void ProxyBinder::rebalance() {
    if (!state_.unbound_proxies.empty()) {
        return;
    }
    while (const std::optional<ProxyMove> move = assignment_.next_move_by_load()) {
        const double available =
            std::min(state_.available_window(WindowUse::learnt), state_.learnt_allowance);
        const std::optional<double> cost = apply(*move, false, available);
        if (!cost) {
            return;
        }
        state_.learnt_allowance -= *cost;
    }
}

// A single binding may be larger than the window of bindings, so it may use the window of
// withdrawals while nothing is pending.
double ProxyBinder::available_for_next_binding() const {
    const bool some_pending = state_.send_window.pending() > 0;
    return state_.available_window(some_pending ? WindowUse::binding : WindowUse::urgent);
}

bool ProxyBinder::has_endpoints(ZoneId zone, std::size_t subset) const {
    return std::ranges::any_of(state_.tables.pools(), [&](const TablePool& pool) {
        return pool.serves(zone) && pool.binding_lines[subset] > 0;
    });
}

// The proxy may use tables of another planner, with endpoints that are gone. Its withdrawals may
// have been due so long ago that they are not repeated, so only a binding ends that. Until any
// endpoint was in use, the list may not have arrived yet.
bool ProxyBinder::may_bind_without_endpoints(const UnboundProxy& joined) const {
    return state_.tables.was_any_in_use() &&
           state_.context.now >= joined.joined_at + state_.max_hold();
}

double ProxyBinder::cost_of_binding(ZoneId zone, std::size_t subset) const {
    double lines = 0;
    for (const TablePool& pool : state_.tables.pools()) {
        if (pool.serves(zone)) {
            lines += pool.binding_lines[subset] + 1;
        }
    }
    return state_.lines_per_message() + lines + state_.admission_lines();
}

std::optional<double> ProxyBinder::apply(const ProxyMove& move, bool displaced,
                                         double available_lines) {
    const BoundProxy& bound = state_.subsets.bound_proxies().at(move.proxy);
    if (!has_endpoints(bound.zone, move.to)) {
        return std::nullopt;
    }
    return bind({move.proxy, bound.zone, bound.rpcs_per_second, move.to, displaced},
                available_lines);
}

std::optional<double> ProxyBinder::bind(const Target& target, double available_lines) {
    double cost = cost_of_binding(target.zone, target.subset);
    const std::optional<std::size_t> with_room =
        state_.subsets.groups().find_with_room(target.subset, state_.max_group_size());
    if (with_room) {
        // The group's tables may still have entries that the subset's no longer have.
        const ProxyGroup& group = state_.subsets.groups().all()[*with_room];
        cost += static_cast<double>(group.unsent_entries.size());
    }
    if (cost > available_lines) {
        return std::nullopt;
    }
    const std::size_t group = with_room ? *with_room : open_group(target.subset);
    const std::size_t table_set = state_.subsets.groups().all()[group].table_set;
    std::vector<Order> orders;
    for (std::size_t pool = 0; pool < state_.tables.pools().size(); ++pool) {
        if (state_.tables.pools()[pool].serves(target.zone)) {
            orders.push_back(order::BindProxy{state_.table_of(pool, table_set),
                                              state_.binding(pool).methods, target.proxy});
        }
    }
    apply(target, group, orders, cost);
    return cost;
}

std::optional<double> ProxyBinder::bind_partially(const Target& target, double available_lines) {
    const std::size_t own_tables = state_.own_table_set(target.proxy);
    double cost = state_.lines_per_message() + state_.admission_lines();
    bool any_endpoint = false;
    std::vector<Order> orders;
    if (admission_.any_sent()) {
        admission_.append_last_sent({&own_tables, 1}, orders);
    }
    for (std::size_t pool = 0; pool < state_.tables.pools().size(); ++pool) {
        if (!state_.tables.pools()[pool].serves(target.zone)) {
            continue;
        }
        const TableId own_table = state_.table_of(pool, own_tables);
        for (const TableEntry* const entry : partial_table(pool, target.subset, target.proxy)) {
            cost += entry->endpoint->may_be_withdrawn_at_proxies ? 2 : 1;
            any_endpoint = true;
            orders.push_back(
                order::SetTableEntry{own_table, *entry->endpoint->server, entry->sent});
        }
        orders.push_back(order::BindProxy{own_table, state_.binding(pool).methods, target.proxy});
        ++cost;
    }
    if (!any_endpoint || cost > available_lines) {
        return std::nullopt;
    }
    apply(target, std::nullopt, orders, cost);
    return cost;
}

// A few of the subset's endpoints that are not withdrawn; the selection differs between proxies.
std::vector<const TableEntry*> ProxyBinder::partial_table(std::size_t pool, std::size_t subset,
                                                          ProxyId proxy) const {
    std::vector<const TableEntry*> entries;
    for (const auto& [server, entry] : state_.tables.pools()[pool].entries) {
        if (entry.endpoint->subset == subset && entry.sent > 0 && !entry.endpoint->withdrawn) {
            entries.push_back(&entry);
        }
    }
    if (entries.size() <= kPartialTableSize) {
        return entries;
    }
    const auto first = static_cast<std::size_t>(proxy.value) * kPartialTableSize % entries.size();
    std::ranges::rotate(entries, entries.begin() + static_cast<std::ptrdiff_t>(first));
    entries.resize(kPartialTableSize);
    return entries;
}

std::size_t ProxyBinder::open_group(std::size_t subset) {
    const std::size_t group = state_.subsets.groups().add_group(subset);
    const std::size_t table_set = state_.subsets.groups().all()[group].table_set;
    for (std::size_t pool = 0; pool < state_.tables.pools().size(); ++pool) {
        const TableId table = state_.table_of(pool, table_set);
        for (const auto& [server, entry] : state_.tables.pools()[pool].entries) {
            if (entry.endpoint->subset == subset && entry.sent > 0) {
                state_.context.orders.push_back(
                    order::SetTableEntry{table, *entry.endpoint->server, entry.sent});
            }
        }
    }
    if (admission_.any_sent()) {
        admission_.append_last_sent({&table_set, 1}, state_.context.orders);
    }
    return group;
}

void ProxyBinder::apply(const Target& target, std::optional<std::size_t> group,
                        const std::vector<Order>& orders, double cost) {
    const bool partial = !group;
    std::vector<Order>& sink = state_.context.orders;
    sink.insert(sink.end(), orders.begin(), orders.end());
    clear_own_tables(target.proxy);
    BindingTimes times = binding_times(target.proxy);
    state_.message_limit.add_binding(times, state_.context.now);
    state_.subsets.bind(target.proxy, {target.zone, target.rpcs_per_second, target.subset, partial,
                                       target.displaced, std::move(times), group.value_or(0)});
    state_.send_window.charge(target.proxy, cost);
    if (partial) {
        partially_bound_.push_back(target.proxy);
    }
}

BindingTimes ProxyBinder::binding_times(ProxyId proxy) const {
    const auto found = state_.subsets.bound_proxies().find(proxy);
    return found == state_.subsets.bound_proxies().end() ? BindingTimes{}
                                                         : found->second.binding_times;
}

// Clears the tables of a partial binding, which no other proxy uses.
void ProxyBinder::clear_own_tables(ProxyId proxy) {
    const auto found = state_.subsets.bound_proxies().find(proxy);
    if (found == state_.subsets.bound_proxies().end() || !found->second.partial) {
        return;
    }
    for (std::size_t pool = 0; pool < state_.tables.pools().size(); ++pool) {
        state_.context.orders.push_back(
            order::ClearTable{state_.table_of(pool, state_.own_table_set(proxy))});
    }
}

}  // namespace micaroad::decision
