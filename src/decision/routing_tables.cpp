#include "decision/routing_tables.hpp"

#include <algorithm>

namespace micaroad::decision {

RoutingEntry* RoutingTables::find(const ServerId& server) {
    const auto found = endpoints_.find(server);
    return found == endpoints_.end() ? nullptr : &found->second;
}

RoutingEntry& RoutingTables::find_or_add(const ServerId& server) {
    const auto [it, added] = endpoints_.try_emplace(server);
    RoutingEntry& entry = it->second;
    if (added) {
        entry.server = &it->first;
        unsent_.insert(&entry);
    }
    return entry;
}

void RoutingTables::set_published(RoutingEntry& entry,
                                  const std::vector<std::pair<std::size_t, double>>& shares) {
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        pool_entry.table_entry->published = 0;
    }
    for (const auto& [pool, share] : shares) {
        table_entry_in(pool, entry).published = share;
    }
    mark_for_planning(entry);
}

void RoutingTables::set_tracked(RoutingEntry& entry, bool tracked, TimePoint now) {
    untracked_.erase({entry.last_published, &entry});
    entry.tracked = tracked;
    entry.last_published = now;
    if (!tracked) {
        untracked_.insert({now, &entry});
    }
}

void RoutingTables::set_warming_up(RoutingEntry& entry, bool warming_up) {
    entry.warming_up = warming_up;
    set_member(warming_up_, entry, warming_up);
}

RoutingTables::PoolSet RoutingTables::hold_back(RoutingEntry& entry) {
    PoolSet pools;
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        pool_entry.table_entry->wanted = 0;
        pools.insert(pool_entry.pool);
    }
    held_back_.insert(&entry);
    return pools;
}

void RoutingTables::set_withdrawal_due(RoutingEntry& entry, bool is_due, TimePoint due) {
    withdrawals_due_.erase({entry.withdrawal_due, &entry});
    entry.withdrawal_due = due;
    if (is_due) {
        withdrawals_due_.insert({due, &entry});
    }
}

void RoutingTables::set_availability_sent(RoutingEntry& entry, bool repeated, int last_join,
                                          TimePoint now) {
    entry.notified_until_join = last_join;
    if (repeated) {
        return;
    }
    withdrawals_due_.erase({entry.withdrawal_due, &entry});
    recently_withdrawn_.erase({entry.availability_changed, &entry});
    entry.availability_changed = now;
    if (entry.withdrawn) {
        recently_withdrawn_.insert({now, &entry});
    }
}

void RoutingTables::on_weights_sent(RoutingEntry& entry) {
    mark_for_planning(entry);
    const bool in_use = entry.sent() > 0;
    set_member(unsent_, entry, !in_use);
    was_any_in_use_ |= in_use;
}

void RoutingTables::drop_withdrawn_until(TimePoint until) {
    while (!recently_withdrawn_.empty() && recently_withdrawn_.begin()->time <= until) {
        recently_withdrawn_.erase(recently_withdrawn_.begin());
    }
}

void RoutingTables::queue(RoutingEntry& entry) {
    if (!entry.queued_for_planning) {
        entry.queued_for_planning = true;
        queued_.push_back(&entry);
    }
}

void RoutingTables::queue(const EntrySet& entries) {
    for (RoutingEntry* const entry : entries) {
        queue(*entry);
    }
}

void RoutingTables::queue_withdrawal_repeated() {
    queue(std::exchange(withdrawal_repeated_, {}));
}

std::vector<RoutingEntry*> RoutingTables::take_queued() {
    for (RoutingEntry* const entry : queued_) {
        entry->queued_for_planning = false;
    }
    return std::exchange(queued_, {});
}

RoutingTables::PoolSet RoutingTables::take_pools_to_plan(bool weights_published) {
    if (weights_published) {
        for (RoutingEntry* const entry : std::exchange(held_back_, {})) {
            mark_for_planning(*entry);
        }
    }
    PoolSet pools = std::exchange(pools_to_plan_, {});
    const PoolSet& scaled_again = weights_published ? rescaled_ : needs_rescaling_;
    pools.insert(scaled_again.begin(), scaled_again.end());
    return pools;
}

void RoutingTables::set_subset_count(std::size_t count) {
    for (TablePool& pool : pools_) {
        pool.binding_lines.assign(count, 0);
    }
    for (auto& [server, entry] : endpoints_) {
        entry.subset = std::min(entry.subset, count - 1);
    }
}

std::optional<PendingChange> RoutingTables::next_change(const PendingChange& change) const {
    const auto next = pending_changes_.upper_bound(change);
    return next == pending_changes_.end() ? std::nullopt : std::optional(*next);
}

void RoutingTables::take_change(const PendingChange& change) {
    RoutingEntry& entry = entry_of(change);
    if (change.pool) {
        drop(pools_[*change.pool].entries.at(entry.server).planned, change.server, change.pool);
    } else {
        drop_availability_change(entry);
    }
}

void RoutingTables::plan_availability_change(RoutingEntry& entry, const PlannedChange& change) {
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        drop_weight_change(pool_entry);
    }
    plan(entry.availability_change, {change.rank, change.sort_key, *entry.server, std::nullopt});
    changing_availability_.insert(&entry);
}

void RoutingTables::drop_availability_change(RoutingEntry& entry) {
    drop(entry.availability_change, *entry.server, std::nullopt);
    changing_availability_.erase(&entry);
}

void RoutingTables::plan_weight_change(const PoolTableEntry& pool_entry,
                                       const PlannedChange& change) {
    TableEntry& table_entry = *pool_entry.table_entry;
    plan(table_entry.planned, {change.rank, change.sort_key, *table_entry.endpoint->server,
                               static_cast<std::uint32_t>(pool_entry.pool)});
}

void RoutingTables::drop_weight_change(const PoolTableEntry& pool_entry) {
    TableEntry& table_entry = *pool_entry.table_entry;
    drop(table_entry.planned, *table_entry.endpoint->server,
         static_cast<std::uint32_t>(pool_entry.pool));
}

void RoutingTables::drop_empty_table_entries(RoutingEntry& entry) {
    std::erase_if(entry.table_entries, [&](const PoolTableEntry& pool_entry) {
        const TableEntry& table_entry = *pool_entry.table_entry;
        if (table_entry.published != 0 || table_entry.wanted != 0 || table_entry.sent != 0) {
            return false;
        }
        drop_weight_change(pool_entry);
        pools_[pool_entry.pool].entries.erase(entry.server);
        return true;
    });
}

void RoutingTables::erase(RoutingEntry& entry) {
    drop_availability_change(entry);
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        drop_weight_change(pool_entry);
        pools_[pool_entry.pool].entries.erase(entry.server);
        pools_to_plan_.insert(pool_entry.pool);
    }
    for (EntrySet* entries :
         {&unsent_, &warming_up_, &held_back_, &withdrawal_repeated_, &failing_}) {
        entries->erase(&entry);
    }
    withdrawals_due_.erase({entry.withdrawal_due, &entry});
    recently_withdrawn_.erase({entry.availability_changed, &entry});
    untracked_.erase({entry.last_published, &entry});
    if (entry.queued_for_planning) {
        std::erase(queued_, &entry);
    }
    endpoints_.erase(endpoints_.find(*entry.server));
}

TableEntry& RoutingTables::table_entry_in(std::size_t pool, RoutingEntry& entry) {
    const auto [it, added] = pools_[pool].entries.try_emplace(entry.server);
    TableEntry& table_entry = it->second;
    if (added) {
        table_entry.endpoint = &entry;
        entry.table_entries.push_back({pool, &table_entry});
        std::ranges::sort(entry.table_entries, {}, &PoolTableEntry::pool);
    }
    return table_entry;
}

void RoutingTables::mark_for_planning(RoutingEntry& entry) {
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        pools_to_plan_.insert(pool_entry.pool);
    }
    queue(entry);
}

// A binding sends a line for the entry. It sends one more to withdraw an endpoint that is
// withdrawn, or to reinstate one that may be withdrawn at the proxy.
void RoutingTables::count_binding_lines(RoutingEntry& entry, double sign) {
    const int lines = entry.withdrawn || entry.may_be_withdrawn_at_proxies ? 2 : 1;
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        if (pool_entry.table_entry->sent > 0) {
            pools_[pool_entry.pool].binding_lines[entry.subset] += sign * lines;
        }
    }
}

void RoutingTables::plan(PlannedChange& planned, const PendingChange& change) {
    const PlannedChange now{change.rank, change.sort_key};
    if (planned == now) {
        return;
    }
    drop(planned, change.server, change.pool);
    planned = now;
    pending_changes_.insert(change);
}

void RoutingTables::drop(PlannedChange& planned, const ServerId& server,
                         std::optional<std::uint32_t> pool) {
    if (planned.is_planned()) {
        pending_changes_.erase({planned.rank, planned.sort_key, server, pool});
    }
    planned = {};
}

}  // namespace micaroad::decision
