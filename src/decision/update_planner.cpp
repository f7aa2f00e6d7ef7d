#include "decision/update_planner.hpp"

#include <algorithm>
#include <cmath>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

// An endpoint expires this many optimizer steps after its weights were last published: no report of
// it arrives any more.
constexpr int kStepsUntilExpired = 8;

// Changes of a weight by a smaller fraction are not sent; the value is the design's.
constexpr double kMinRelativeWeightChange = 0.1;

// Scale of the sort keys that precede those of all weight changes, whose size is at most 1.
constexpr double kBeforeAllWeights = 1e6;

}  // namespace

void UpdatePlanner::make_plan() {
    queue_expired();
    RoutingTables::PoolSet pools = state_.tables.take_pools_to_plan(weights_published_);
    if (weights_published_) {
        adopt_published_weights(pools);
    }
    assignment_.assign(pools, weights_published_);
    const RoutingTables::PoolSet held_back = hold_back_among_overloaded();
    pools.insert(held_back.begin(), held_back.end());
    rescale(pools);
    for (const std::size_t pool : held_back) {
        state_.tables.set_needs_rescaling(pool, true);
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

// Erases expired endpoints of which no table holds an entry, and queues the others. Their table
// entries are removed before all learnt changes, because proxies that are bound later would still
// be sent them.
void UpdatePlanner::queue_expired() {
    const RoutingTables::EntriesByTime& untracked = state_.tables.untracked();
    for (auto it = untracked.begin(); it != untracked.end() && it->time < expired_before();) {
        RoutingEntry& entry = *it->entry;
        ++it;  // erase() invalidates the iterator to this element
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

// Holds back endpoints that are warming up in an overloaded subset and returns their pools. Proxies
// by themselves stop using endpoints that fail, so all their traffic would go to the endpoint that
// is warming up, however small its weight. Holding it back costs capacity until the next weights
// are published.
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

// Scales the pool's wanted weights to those that proxies hold. Weights are relative, so the effect
// that many withdrawals have on all other endpoints alike needs no lines.
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
    state_.tables.set_needs_rescaling(pool_index, factor != 1);
    state_.tables.set_rescaled(pool_index, !weights_published_);
}

// Queues recent withdrawals again if proxies have joined since: these may hold tables of a planner
// that stopped before it sent its own withdrawals.
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
    const std::optional<TimePoint> repeat = withdraw ? repetition_due(entry) : std::nullopt;
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
    // Withdrawals that have been due for the longest are sent first, those that are repeated
    // included. Reinstatements precede all weight changes, the largest first; while no endpoint is
    // in use they are as urgent as withdrawals and precede those too.
    PlannedChange change{ChangeRank::urgent, -kBeforeAllWeights * (1 + wanted)};
    if (repeat) {
        change.sort_key = seconds(repeat->time_since_epoch());
    } else if (withdraw) {
        change.sort_key = seconds(due.time_since_epoch());
    } else if (pools_in_use_ > 0) {
        change.rank = ChangeRank::learnt;
    }
    state_.tables.plan_availability_change(entry, change);
}

// Plans changes of weights. The entries of an expired endpoint are removed before all learnt
// changes: ranked as cleanup they might never fit into the window and would stay for good.
void UpdatePlanner::plan_weight_changes(RoutingEntry& entry) {
    const bool expired = is_expired(entry);
    const bool cleanup = entry.wanted() == 0 && !expired;
    const ChangeRank rank = cleanup ? ChangeRank::cleanup : ChangeRank::learnt;
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        const double wanted = pool_entry.table_entry->wanted;
        const double sent = pool_entry.table_entry->sent;
        const double size = std::abs(wanted - sent);
        const double tolerance = wanted > 0 && sent > 0 ? kMinRelativeWeightChange * sent : 0;
        if (size <= tolerance) {
            state_.tables.drop_weight_change(pool_entry);
        } else {
            state_.tables.plan_weight_change(pool_entry,
                                             {rank, expired ? -kBeforeAllWeights : -size});
        }
    }
    state_.tables.drop_empty_table_entries(entry);
}

std::optional<TimePoint> UpdatePlanner::repetition_due(const RoutingEntry& entry) const {
    const bool was_sent = entry.availability_changed != TimePoint{};
    if (!entry.withdrawn || !was_sent) {
        return std::nullopt;
    }
    const std::optional<TimePoint> joined_at =
        state_.unbound_proxies.first_joined_after(entry.notified_until_join);
    return joined_at < end_of_withdrawal(entry) ? joined_at : std::nullopt;
}

TimePoint UpdatePlanner::end_of_withdrawal(const RoutingEntry& entry) const {
    const DeploymentSettings& settings = state_.context.settings;
    return entry.availability_changed + settings.drain_grace + settings.max_message_delay;
}

bool UpdatePlanner::is_expired(const RoutingEntry& entry) const {
    return entry.withdrawn && !entry.tracked && entry.last_published < expired_before();
}

TimePoint UpdatePlanner::expired_before() const {
    return state_.context.now - kStepsUntilExpired * state_.context.step;
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
