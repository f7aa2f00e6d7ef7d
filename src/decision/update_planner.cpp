#include "decision/update_planner.hpp"

#include <algorithm>
#include <cmath>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

// Optimizer steps after which no report of an endpoint comes any more.
constexpr int kStepsUntilForgotten = 8;

// Changes of a weight by a smaller part are not sent; the design's value.
constexpr double kWeightChangeWorthSending = 0.1;

// A sort key before those of all changes of weights, which are not over 1.
constexpr double kBeforeAllWeights = 1e6;

// Sort keys of repeated withdrawals lie behind those of all others, which are times in seconds.
constexpr double kAfterAllTimes = 1e12;

}  // namespace

void UpdatePlanner::make_plan() {
    queue_departed();
    RoutingTables::PoolSet pools = state_.tables.take_pools_to_plan(weights_published_);
    if (weights_published_) {
        adopt_published_weights(pools);
    }
    assignment_.assign(pools, weights_published_);
    const RoutingTables::PoolSet held_back = hold_back_among_overloaded();
    pools.insert(held_back.begin(), held_back.end());
    rescale(pools);
    for (const std::size_t pool : held_back) {
        state_.tables.set_unsettled(pool, true);
    }
    queue_withdrawals_to_repeat();
    for (RoutingEntry* const entry : state_.tables.take_queued()) {
        plan(*entry);
    }
    count_withdrawals();
    weights_published_ = false;
    proxies_joined_ = false;
    success_reported_ = false;
}

// Endpoints that are gone and that nobody publishes any more. Their table entries are removed
// before all learnt changes, as whoever is bound later would get them.
void UpdatePlanner::queue_departed() {
    const RoutingTables::EntriesByTime& untracked = state_.tables.untracked();
    for (auto at = untracked.begin(); at != untracked.end() && at->time < forgotten_before();) {
        RoutingEntry& entry = *at->entry;
        ++at;  // erase() erases the place
        if (!entry.withdrawn) {
            continue;
        }
        if (entry.sent() == 0) {
            state_.tables.erase(entry);
        } else {
            state_.tables.queue(entry);
        }
    }
}

void UpdatePlanner::adopt_published_weights(const RoutingTables::PoolSet& pools) {
    for (const std::size_t pool : pools) {
        for (auto& [server, table_entry] : state_.tables.pools()[pool].entries) {
            table_entry.wanted = table_entry.published;
        }
    }
}

// Guards against an endpoint that warms up alone among overloaded ones: proxies leave out those
// that fail by themselves, and all their traffic would come to it, however small its weight. It
// costs capacity until the next weights are published. Returns the pools that have one.
RoutingTables::PoolSet UpdatePlanner::hold_back_among_overloaded() {
    RoutingTables::PoolSet pools;
    for (RoutingEntry* const entry : state_.tables.warming_up()) {
        if (state_.subsets[entry->subset].is_overloaded() && entry->wanted() > 0) {
            pools.merge(state_.tables.hold_back(*entry));
        }
    }
    return pools;
}

void UpdatePlanner::rescale(const RoutingTables::PoolSet& pools) {
    const bool none_in_use_before = pools_in_use_ == 0;
    for (const std::size_t pool : pools) {
        rescale_pool(pool);
    }
    if (none_in_use_before != (pools_in_use_ == 0)) {
        state_.tables.queue(state_.tables.changing_availability());  // their ranks change
    }
}

// Weights are relative: what many withdrawals do to all other endpoints alike needs no line. So
// wanted weights are brought to the scale of those that proxies hold.
void UpdatePlanner::rescale_pool(std::size_t pool_index) {
    TablePool& pool = state_.tables.pools()[pool_index];
    double sent = 0;  // of the endpoints that stay in use
    double wanted = 0;
    for (const auto& [server, table_entry] : pool.entries) {
        if (!table_entry.endpoint->withdrawn && table_entry.sent * table_entry.wanted > 0) {
            sent += table_entry.sent;
            wanted += table_entry.wanted;
        }
    }
    const double factor = sent > 0 ? sent / wanted : 1;
    for (auto& [server, table_entry] : pool.entries) {
        table_entry.wanted *= factor;
        state_.tables.queue(*table_entry.endpoint);
    }
    const int was_in_use = pool.sent_in_use > 0 ? 1 : 0;
    const int is_in_use = sent > 0 ? 1 : 0;
    pools_in_use_ += is_in_use - was_in_use;
    pool.sent_in_use = sent;
    state_.tables.set_unsettled(pool_index, factor != 1);
    state_.tables.set_rescaled(pool_index, !weights_published_);
}

// Proxies that have joined since a withdrawal was sent may hold tables of a planner that stopped
// before it sent its own.
void UpdatePlanner::queue_withdrawals_to_repeat() {
    RoutingTables& tables = state_.tables;
    const DeploymentSettings& settings = state_.context.settings;
    tables.queue_withdrawal_repeated();
    tables.drop_withdrawn_until(state_.context.now - settings.drain_grace -
                                settings.max_message_delay);
    if (!proxies_joined_) {
        return;
    }
    for (const RoutingTables::TimedEntry& withdrawn : tables.recently_withdrawn()) {
        tables.queue(*withdrawn.entry);
    }
}

void UpdatePlanner::plan(RoutingEntry& entry) {
    const double wanted = entry.wanted();
    const bool withdraw = wanted == 0;
    const bool repeat = withdraw && is_withdrawal_to_repeat(entry);
    TimePoint due{};
    if (withdraw) {
        due = entry.withdrawal_due == TimePoint{} ? state_.context.now : entry.withdrawal_due;
    }
    state_.tables.set_withdrawal_due(entry, withdraw && !entry.withdrawn, due);
    if (repeat) {
        state_.tables.set_withdrawal_repeated(entry);
    }
    if (withdraw == entry.withdrawn && !repeat) {
        state_.tables.drop_availability_change(entry);
        plan_weight_changes(entry);
        return;
    }
    // Withdrawals that are due for the longest go first, then repeated ones, the latest first.
    // Reinstatements, the largest first, precede all weights; where no endpoint is in use they are
    // as urgent as withdrawals and precede these too.
    PlannedChange change{ChangeRank::urgent, -kBeforeAllWeights * (1 + wanted)};
    if (repeat) {
        change.sort_key = kAfterAllTimes - seconds(end_of_withdrawal(entry).time_since_epoch());
    } else if (withdraw) {
        change.sort_key = seconds(due.time_since_epoch());
    } else if (pools_in_use_ > 0) {
        change.rank = ChangeRank::learnt;
    }
    state_.tables.plan_availability_change(entry, change);
}

// Guards against entries that never find room in the window and stay for good: those of an endpoint
// that is forgotten are removed before all learnt changes.
void UpdatePlanner::plan_weight_changes(RoutingEntry& entry) {
    const bool forgotten = is_forgotten(entry);
    const bool cleanup = entry.wanted() == 0 && !forgotten;
    const ChangeRank rank = cleanup ? ChangeRank::cleanup : ChangeRank::learnt;
    for (const PoolTableEntry& place : entry.table_entries) {
        const double wanted = place.table_entry->wanted;
        const double sent = place.table_entry->sent;
        const double size = std::abs(wanted - sent);
        const double tolerated = wanted > 0 && sent > 0 ? kWeightChangeWorthSending * sent : 0;
        if (size <= tolerated) {
            state_.tables.drop_weight_change(place);
        } else {
            state_.tables.plan_weight_change(place, {rank, forgotten ? -kBeforeAllWeights : -size});
        }
    }
    state_.tables.drop_empty_table_entries(entry);
}

bool UpdatePlanner::is_withdrawal_to_repeat(const RoutingEntry& entry) const {
    const UnboundProxies& unbound = state_.unbound_proxies;
    const int newest_unbound = unbound.empty() ? 0 : unbound.last_join();
    return entry.withdrawn && proxies_joined_ && state_.context.now < end_of_withdrawal(entry) &&
           entry.notified_until_join < newest_unbound;
}

TimePoint UpdatePlanner::end_of_withdrawal(const RoutingEntry& entry) const {
    const DeploymentSettings& settings = state_.context.settings;
    return entry.availability_changed + settings.drain_grace + settings.max_message_delay;
}

bool UpdatePlanner::is_forgotten(const RoutingEntry& entry) const {
    return entry.withdrawn && !entry.tracked && entry.last_published < forgotten_before();
}

TimePoint UpdatePlanner::forgotten_before() const {
    return state_.context.now - kStepsUntilForgotten * state_.context.step;
}

void UpdatePlanner::count_withdrawals() {
    const RoutingTables::EntriesByTime& due = state_.tables.withdrawals_due();
    PendingWithdrawals& withdrawals = state_.withdrawals;
    withdrawals.count = static_cast<int>(due.size());
    withdrawals.owed_to_unbound_proxy =
        withdrawals.count + static_cast<int>(state_.tables.recently_withdrawn().size());
    withdrawals.oldest_due = state_.context.now;
    if (!due.empty()) {
        withdrawals.oldest_due = std::min(withdrawals.oldest_due, due.begin()->time);
    }
}

}  // namespace micaroad::decision
