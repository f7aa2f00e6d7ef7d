#include "decision/update_sender.hpp"

#include <algorithm>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

/// Whether the endpoint's withdrawal was sent already and only has to reach proxies that joined
/// since.
bool is_repeated_withdrawal(const RoutingEntry& entry) {
    return entry.withdrawn && entry.wanted() == 0;
}

}  // namespace

void UpdateSender::Round::add(const Cost& cost) {
    for (std::size_t i = 0; i < subset_lines.size(); ++i) {
        if (!cost.subset || *cost.subset == i) {
            subset_lines[i] += cost.lines;
        }
    }
    notices.add(cost.unbound_after_join);
    (cost.rank == ChangeRank::urgent ? urgent_sent : learnt_sent) = true;
}

void UpdateSender::send() {
    Round round(state_);
    update_admission_pause();
    send_admission(round);
    send_transfers(round);
    send_table_changes(round);
    if (round.urgent_sent || round.learnt_sent) {
        charge(round);
        space_rounds(round);
    }
}

void UpdateSender::update_admission_pause() {
    const auto subsets = static_cast<double>(std::max<std::size_t>(state_.subsets.size(), 1));
    const double withdrawals_per_proxy = state_.withdrawals.count / subsets;
    if (!state_.admission_paused && !state_.is_pause_shorter_than(withdrawals_per_proxy)) {
        return;
    }
    const auto proxies = static_cast<double>(state_.subsets.bound_proxies().size());
    state_.update_admission_pause(withdrawals_per_proxy * proxies);
}

void UpdateSender::send_admission(Round& round) {
    const AdmissionSetting setting = admission_.next_setting(state_.admission_paused);
    if (!admission_.is_significant(setting)) {
        return;
    }
    const Cost cost{admission_.rank_of(setting), state_.admission_lines(), std::nullopt,
                    state_.unbound_proxies.last_join()};
    if (!fits(round, cost)) {
        return;
    }
    round.add(cost);
    admission_.set_sent(setting);
    std::vector<std::size_t> table_sets;
    for (const ProxyGroup& group : state_.subsets.groups().all()) {
        table_sets.push_back(group.table_set);
    }
    admission_.append_last_sent(table_sets, state_.context.orders);
    for (const auto& [proxy, bound] : state_.subsets.bound_proxies()) {
        if (bound.partial) {
            const std::size_t own_tables = state_.own_table_set(proxy);
            admission_.append_last_sent({&own_tables, 1}, state_.context.orders);
        }
    }
}

void UpdateSender::send_transfers(Round& round) {
    const Cost cost{ChangeRank::urgent, 1, std::nullopt, state_.unbound_proxies.last_join()};
    while (!transfers_.empty() && fits(round, cost)) {
        const OwnershipTransfer& transfer = transfers_.front();
        state_.context.orders.push_back(
            order::SetTableEntry{transfer.slice, transfer.server, transfer.weight});
        round.add(cost);
        transfers_.pop_front();
    }
}

void UpdateSender::send_table_changes(Round& round) {
    if (!state_.tables.has_pending_changes()) {
        return;
    }
    for (std::optional<PendingChange> change = state_.tables.first_change(); change;
         change = state_.tables.next_change(*change)) {
        RoutingEntry& entry = state_.tables.entry_of(*change);
        if (!admission_.allows(entry, change->pool)) {
            continue;
        }
        const Cost cost = cost_of(*change, entry);
        if (!fits(round, cost)) {
            return;
        }
        round.add(cost);
        if (change->rank == ChangeRank::urgent) {
            state_.withdrawals.count = std::max(0, state_.withdrawals.count - 1);
        }
        state_.tables.take_change(*change);
        apply(entry, change->pool);
        admission_.on_tables_changed();
    }
}

bool UpdateSender::fits(const Round& round, const Cost& cost) const {
    const bool urgent = cost.rank == ChangeRank::urgent;
    if (state_.context.now < (urgent ? next_urgent_round_ : next_learnt_round_)) {
        return false;
    }
    const double to_unbound =
        round.notices.lines_with(cost.unbound_after_join, state_.lines_per_message());
    const double to_bound =
        lines_to_bound(round, state_.lines_per_message(), cost.lines, cost.subset);
    // A reinstatement adds capacity: it may use as much of the window as a binding, and the
    // allowance of learnt changes does not limit it.
    const bool reinstates = cost.rank == ChangeRank::learnt && cost.unbound_after_join == 0;
    WindowUse use = urgent ? WindowUse::urgent : WindowUse::learnt;
    if (reinstates) {
        use = WindowUse::binding;
    }
    // The first update of a round may be larger than the window for its use: it would never be sent
    // otherwise.
    const double available =
        std::max(state_.available_window(use),
                 round.notices.empty() ? state_.available_for_large_update() : 0);
    if (to_bound + to_unbound > available) {
        return false;
    }
    return urgent || reinstates ||
           state_.allows_learnt(
               lines_to_bound(round, kDesignLinesPerMessage, cost.lines, cost.subset));
}

double UpdateSender::lines_to_bound(const Round& round, double lines_per_message, double more_lines,
                                    std::optional<std::size_t> subset) const {
    double sum = 0;
    for (std::size_t i = 0; i < round.subset_lines.size(); ++i) {
        const bool gets_more = !subset || *subset == i;
        const double lines = round.subset_lines[i] + (gets_more ? more_lines : 0);
        const double with_overhead = lines > 0 ? lines_per_message + lines : 0;
        sum += with_overhead * static_cast<double>(state_.subsets[i].proxies.size());
    }
    return sum;
}

UpdateSender::Cost UpdateSender::cost_of(const PendingChange& change,
                                         const RoutingEntry& entry) const {
    const bool withdraw = entry.wanted() == 0;
    const bool repeated = is_repeated_withdrawal(entry);
    Cost cost{change.rank, 0, entry.subset, 0};
    if (change.pool) {
        // The weight takes a line, and a reinstatement may follow it.
        cost.lines = entry.may_be_withdrawn_at_proxies && !withdraw ? 2 : 1;
        cost.unbound_after_join = state_.unbound_proxies.last_join();
        return cost;
    }
    if (repeated) {
        cost.unbound_after_join = entry.notified_until_join;
    }
    // Proxies that hold no entry of the endpoint are not sent its withdrawal.
    const bool withdrawal_reaches_bound = withdraw && entry.sent() > 0;
    cost.lines = !repeated && (!withdraw || withdrawal_reaches_bound) ? 1 : 0;
    if (!withdraw || repeated) {
        for (const PoolTableEntry& pool_entry : entry.table_entries) {
            cost.lines += pool_entry.table_entry->wanted != pool_entry.table_entry->sent ? 1 : 0;
        }
    }
    return cost;
}

// Sends the weight in `pool` or, if absent, a withdrawal or reinstatement with the weights that go
// with it.
void UpdateSender::apply(RoutingEntry& entry, std::optional<std::size_t> pool) {
    const bool withdraw = entry.wanted() == 0;
    const bool repeated = is_repeated_withdrawal(entry);
    state_.tables.update_and_recount_lines(entry, [&] {
        send_weights(entry, pool, repeated);
        if (!pool) {
            entry.withdrawn = withdraw;
            entry.may_be_withdrawn_at_proxies = true;
        }
    });
    state_.tables.on_weights_sent(entry);
    if (pool) {
        return;
    }
    state_.context.orders.push_back(order::SetWithdrawn{*entry.server, withdraw});
    state_.tables.set_availability_sent(entry, repeated, state_.unbound_proxies.last_join(),
                                        state_.context.now);
}

// Before a repeated withdrawal the weights of 0 are sent as well, so that tables drop the entry
// first and the withdrawal reaches no proxy that was sent it already.
void UpdateSender::send_weights(RoutingEntry& entry, std::optional<std::size_t> pool,
                                bool repeated) {
    const bool all_pools = !pool && (entry.wanted() != 0 || repeated);
    for (const PoolTableEntry& pool_entry : entry.table_entries) {
        TableEntry& table_entry = *pool_entry.table_entry;
        const bool selected = all_pools || pool_entry.pool == pool;
        if (!selected || table_entry.wanted == table_entry.sent) {
            continue;
        }
        for (const ProxyGroup& group : state_.subsets.groups().all()) {
            if (group.subset == entry.subset) {
                state_.context.orders.push_back(
                    order::SetTableEntry{state_.table_of(pool_entry.pool, group.table_set),
                                         *entry.server, table_entry.wanted});
            }
        }
        table_entry.sent = table_entry.wanted;
    }
}

void UpdateSender::charge(Round& round) {
    round.notices.charge(state_.send_window, state_.lines_per_message());
    for (const auto& [proxy, bound] : state_.subsets.bound_proxies()) {
        const double lines = round.subset_lines[bound.subset];
        if (lines > 0) {
            state_.send_window.charge(proxy, state_.lines_per_message() + lines);
        }
    }
    if (round.learnt_sent) {
        const double lines = lines_to_bound(round, kDesignLinesPerMessage, 0, std::nullopt);
        state_.learnt_allowance -= lines;
    }
}

void UpdateSender::space_rounds(const Round& round) {
    if (round.urgent_sent) {
        next_urgent_round_ = state_.context.now + state_.message_limit.urgent_spacing();
    }
    if (round.learnt_sent) {
        next_learnt_round_ = state_.context.now + state_.message_limit.learnt_spacing();
    }
}

}  // namespace micaroad::decision
