#include "decision/group_sender.hpp"

#include <algorithm>

namespace micaroad::decision {

void GroupSender::send() {
    update_admission_pause();
    accept_admission();
    accept_changes();
    send_to_groups(WindowUse::urgent);
    admission_.on_tables_changed();
    send_notices();
    send_to_groups(WindowUse::binding);
    send_to_groups(WindowUse::learnt);
}

void GroupSender::update_admission_pause() {
    double lines = 0;
    for (const ProxyGroup& group : state_.subsets.groups().all()) {
        const auto withdrawals = static_cast<double>(group.count_unsent(WindowUse::urgent));
        if (state_.is_pause_shorter_than(withdrawals)) {
            lines += withdrawals * static_cast<double>(group.proxies.size());
        }
    }
    if (lines > 0) {
        state_.update_admission_pause(lines);
    } else {
        state_.admission_paused = false;
    }
}

void GroupSender::accept_admission() {
    const AdmissionSetting setting = admission_.next_setting(state_.admission_paused);
    if (!admission_.is_significant(setting)) {
        return;
    }
    const WindowUse use =
        admission_.rank_of(setting) == ChangeRank::urgent ? WindowUse::urgent : WindowUse::learnt;
    const std::vector<ProxyId> partial = partially_bound();
    const double lines = state_.lines_per_message() + state_.admission_lines();
    if (lines * static_cast<double>(partial.size()) > state_.available_window(use)) {
        return;
    }
    admission_.set_sent(setting);
    state_.subsets.groups().mark_admission_unsent(use);
    for (const ProxyId proxy : partial) {
        const std::size_t own_tables = state_.own_table_set(proxy);
        admission_.append_last_sent({&own_tables, 1}, state_.context.orders);
        state_.send_window.charge(proxy, lines);
    }
}

// Records changes as far as they may be sent next: all removals of entries, and as many changes of
// weights as share a message, once the last ones are sent to all groups.
void GroupSender::accept_changes() {
    const bool weights_are_sent = !state_.subsets.groups().any_unsent(WindowUse::learnt);
    double weights = 0;
    const double max_weights = std::max(1.0, state_.admission_lines() + 1);
    if (!state_.tables.has_pending_changes()) {
        return;
    }
    for (std::optional<PendingChange> change = state_.tables.first_change(); change;
         change = state_.tables.next_change(*change)) {
        RoutingEntry& entry = state_.tables.entry_of(*change);
        if (change->pool) {
            if (weights_are_sent && weights < max_weights &&
                admission_.allows(entry, change->pool)) {
                accept_weight(*change, entry);
                ++weights;
            }
        } else if (entry.sent() > 0) {
            remove_entries(entry, entry.wanted() == 0 ? WindowUse::urgent : WindowUse::binding);
        }
    }
}

void GroupSender::accept_weight(const PendingChange& change, RoutingEntry& entry) {
    state_.tables.take_change(change);
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        if (pool_entry.pool == change.pool) {
            set_sent(entry, pool_entry, WindowUse::learnt);
        }
    }
    state_.tables.on_weights_sent(entry);
}

void GroupSender::remove_entries(RoutingEntry& entry, WindowUse use) {
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        if (pool_entry.table_entry->sent > 0) {
            state_.tables.update_and_recount_lines(entry,
                                                   [&] { pool_entry.table_entry->sent = 0; });
            state_.subsets.groups().mark_unsent(entry.subset, {pool_entry.pool, *entry.server},
                                                use);
        }
    }
    admission_.on_tables_changed();
    state_.tables.on_weights_sent(entry);
}

void GroupSender::set_sent(RoutingEntry& entry, const PoolTableEntry& pool_entry, WindowUse use) {
    TableEntry& table_entry = *pool_entry.table_entry;
    state_.tables.update_and_recount_lines(entry, [&] { table_entry.sent = table_entry.wanted; });
    state_.subsets.groups().mark_unsent(entry.subset, {pool_entry.pool, *entry.server}, use);
    admission_.on_tables_changed();
}

// Withdraws and reinstates servers of which no group has an entry any more.
void GroupSender::send_notices() {
    if (!state_.tables.has_pending_changes() || state_.context.now < next_notices_) {
        return;
    }
    UnboundNotices notices(state_.unbound_proxies);
    std::vector<PendingChange> ready;
    double lines_to_partial = 0;
    for (std::optional<PendingChange> change = state_.tables.first_change(); change;
         change = state_.tables.next_change(*change)) {
        const RoutingEntry& entry = state_.tables.entry_of(*change);
        if (change->pool || entry.sent() > 0 || state_.subsets.groups().is_unsent(*entry.server)) {
            continue;
        }
        const bool repeated = entry.withdrawn && entry.wanted() == 0;
        const int after_join = repeated ? entry.notified_until_join : 0;
        const double to_partial = static_cast<double>(partially_bound_to(entry.subset).size()) *
                                  (state_.lines_per_message() + 1);
        const double lines = notices.lines_with(after_join, state_.lines_per_message()) +
                             lines_to_partial + to_partial;
        const WindowUse use =
            change->rank == ChangeRank::urgent ? WindowUse::urgent : WindowUse::binding;
        if (!admission_.allows(entry, std::nullopt)) {
            continue;
        }
        if (lines > state_.available_window(use)) {
            break;
        }
        notices.add(after_join);
        lines_to_partial += to_partial;
        ready.push_back(*change);
    }
    for (const PendingChange& change : ready) {
        send_notice(change, state_.tables.entry_of(change));
    }
    if (!ready.empty()) {
        notices.charge(state_.send_window, state_.lines_per_message());
        next_notices_ = state_.context.now + state_.message_limit.urgent_spacing();
    }
}

// The weights that go with a reinstatement are sent to the groups afterwards.
void GroupSender::send_notice(const PendingChange& change, RoutingEntry& entry) {
    const bool withdraw = entry.wanted() == 0;
    const bool repeated = entry.withdrawn && withdraw;
    if (change.rank == ChangeRank::urgent) {
        state_.withdrawals.count = std::max(0, state_.withdrawals.count - 1);
    }
    state_.tables.take_change(change);
    state_.context.orders.push_back(order::SetWithdrawn{*entry.server, withdraw});
    for (const ProxyId proxy : partially_bound_to(entry.subset)) {
        state_.send_window.charge(proxy, state_.lines_per_message() + 1);
    }
    entry.withdrawn = withdraw;
    entry.may_be_withdrawn_at_proxies = true;
    state_.tables.set_availability_sent(entry, repeated, state_.unbound_proxies.last_join(),
                                        state_.context.now);
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        if (pool_entry.table_entry->wanted > 0) {
            set_sent(entry, pool_entry, WindowUse::binding);
        }
    }
    state_.tables.on_weights_sent(entry);
}

std::vector<ProxyId> GroupSender::partially_bound() const {
    std::vector<ProxyId> proxies;
    for (const auto& [proxy, bound] : state_.subsets.bound_proxies()) {
        if (bound.partial) {
            proxies.push_back(proxy);
        }
    }
    return proxies;
}

std::vector<ProxyId> GroupSender::partially_bound_to(std::size_t subset) const {
    std::vector<ProxyId> proxies = partially_bound();
    std::erase_if(proxies, [&](ProxyId proxy) {
        return state_.subsets.bound_proxies().at(proxy).subset != subset;
    });
    return proxies;
}

void GroupSender::send_to_groups(WindowUse use) {
    for (ProxyGroup& group : state_.subsets.groups().all()) {
        send_to_group(group, use);
    }
}

void GroupSender::send_to_group(ProxyGroup& group, WindowUse use) {
    TimePoint& next_message =
        use == WindowUse::urgent ? group.next_urgent_message : group.next_other_message;
    // Lower admission precedes what needs it.
    const bool admission_first =
        use != WindowUse::urgent && group.unsent_admission == WindowUse::urgent;
    if (group.count_unsent(use) == 0 || state_.context.now < next_message || admission_first) {
        return;
    }
    double lines = 0;
    if (group.unsent_admission == use && fits(group, use, lines, state_.admission_lines())) {
        lines += state_.admission_lines();
        group.unsent_admission.reset();
        admission_.append_last_sent({&group.table_set, 1}, state_.context.orders);
    }
    for (auto unsent = group.unsent_entries.begin(); unsent != group.unsent_entries.end();) {
        const TableEntryKey& key = unsent->first;
        const double more_lines = lines_of(group, key);
        if (unsent->second != use || !fits(group, use, lines, more_lines)) {
            ++unsent;
            continue;
        }
        lines += more_lines;
        state_.context.orders.push_back(order::SetTableEntry{
            state_.table_of(key.pool, group.table_set), key.server, weight_of(group, key)});
        unsent = group.unsent_entries.erase(unsent);
    }
    if (lines > 0) {
        charge(group, use, lines);
        next_message =
            state_.context.now + (use == WindowUse::urgent ? state_.message_limit.urgent_spacing()
                                                           : state_.message_limit.learnt_spacing());
    }
}

bool GroupSender::fits(const ProxyGroup& group, WindowUse use, double lines,
                       double more_lines) const {
    const auto proxies = static_cast<double>(group.proxies.size());
    const double all_lines = (state_.lines_per_message() + lines + more_lines) * proxies;
    const double design_lines = (kDesignLinesPerMessage + lines + more_lines) * proxies;
    if (proxies == 0 || (lines == 0 && all_lines <= state_.available_for_large_update())) {
        return true;
    }
    double available = state_.available_window(use);
    if (use != WindowUse::urgent) {
        available = std::min(available,
                             state_.max_pending_before_withdrawal() - state_.send_window.pending());
    }
    return all_lines <= available &&
           (use != WindowUse::learnt || state_.allows_learnt(design_lines));
}

double GroupSender::weight_of(const ProxyGroup& group, const TableEntryKey& key) {
    const RoutingEntry* const entry = state_.tables.find(key.server);
    if (entry == nullptr || entry->subset != group.subset) {
        return 0;
    }
    const auto found = std::ranges::find(entry->table_entries, key.pool, &PoolTableEntry::pool);
    return found == entry->table_entries.end() ? 0 : found->table_entry->sent;
}

// A server that may be withdrawn at a proxy is reinstated together with its entry.
double GroupSender::lines_of(const ProxyGroup& group, const TableEntryKey& key) {
    const RoutingEntry* const entry = state_.tables.find(key.server);
    const bool reinstates = entry != nullptr && entry->may_be_withdrawn_at_proxies;
    return reinstates && weight_of(group, key) > 0 ? 2 : 1;
}

void GroupSender::charge(const ProxyGroup& group, WindowUse use, double lines) {
    const double message_lines = state_.lines_per_message() + lines;
    for (const ProxyId proxy : group.proxies) {
        state_.send_window.charge(proxy, message_lines);
    }
    if (use == WindowUse::learnt) {
        state_.learnt_allowance -=
            (kDesignLinesPerMessage + lines) * static_cast<double>(group.proxies.size());
    }
}

}  // namespace micaroad::decision
