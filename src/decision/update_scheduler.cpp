#include "decision/update_scheduler.hpp"

#include <algorithm>
#include <utility>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

// Acknowledgements count as stopped if none has arrived for this many times the longest message
// delay.
constexpr int kDelaysUntilStopped = 4;

}  // namespace

void UpdateScheduler::on(const RenewSubscription& /*renew*/) {
    state_.context.orders.push_back(order::Subscribe{});
}

void UpdateScheduler::on(const PoolBinding& binding) {
    state_.tables.add_pool(binding);
}

void UpdateScheduler::on(const AdmissionFractions& fractions) {
    admission_.set_wanted(fractions.by_method);
}

void UpdateScheduler::on(const DesiredWeights& desired) {
    RoutingTables& tables = state_.tables;
    RoutingEntry& entry = tables.find_or_add(desired.server);
    tables.update_and_recount_lines(entry,
                                    [&] { entry.may_be_withdrawn_at_proxies |= !desired.steady; });
    // No proxy holds an entry of a new server. That is as if it were withdrawn, and is not sent.
    const bool never_in_use = entry.sent() == 0 && entry.availability_changed == TimePoint{};
    if (never_in_use && desired.shares.empty()) {
        entry.withdrawn = desired.is_new;
    }
    tables.set_published(entry, desired.shares);
    tables.set_tracked(entry, !desired.last, state_.context.now);
    tables.set_warming_up(entry, desired.cold);
    entry.zone = desired.zone;
}

void UpdateScheduler::on(const PoolCapacity& capacity) {
    state_.tables.pools()[capacity.pool].capacity_fraction = capacity.fraction;
}

void UpdateScheduler::on(const WeightsPublished& published) {
    state_.any_warming_up = published.any_cold;
    if (published.any_server) {
        planner_.on_weights_published();
    }
}

void UpdateScheduler::on(const OwnershipTransfer& transfer) {
    sender_.add_transfer(transfer);
}

void UpdateScheduler::on(const event::ProxyJoined& joined) {
    binder_.on_proxy_joined(joined);
    planner_.on_proxy_joined();
}

void UpdateScheduler::on(const event::ProxyLeft& left) {
    binder_.on_proxy_left(left.proxy);
}

void UpdateScheduler::on(const event::Acknowledgement& acknowledgement) {
    if (state_.send_window.on_acknowledgement(acknowledgement.proxy, acknowledgement.nonce)) {
        last_acknowledgement_ = state_.context.now;
    }
}

void UpdateScheduler::on(const event::EndpointLoadReport& report) {
    RoutingEntry* const entry = state_.tables.find(report.server);
    if (entry == nullptr) {
        return;
    }
    entry->success_fraction = 1 - report.failures / report.attempts;
    state_.tables.set_failing(*entry, entry->success_fraction < kOverloadedSuccessFraction);
    if (state_.any_warming_up) {
        planner_.on_success_reported();
    }
}

void UpdateScheduler::on(const Tick& /*tick*/) {
    advance_send_window();
    if (planner_.is_due()) {
        planner_.make_plan();
    }
    // With several subsets, proxies are bound first: a bound proxy has to be sent fewer
    // withdrawals.
    if (state_.subsets.size() > 1) {
        bind_proxies();
        binder_.move_to_endpoints();
        binder_.rebalance();
    }
    if (!are_changes_held()) {
        send_updates();
    }
    if (state_.subsets.size() == 1) {
        bind_proxies();
    }
    if (const std::optional<Nonce> nonce = state_.send_window.next_nonce()) {
        state_.context.orders.push_back(order::SendNonce{*nonce, false});
    }
}

void UpdateScheduler::advance_send_window() {
    const TimePoint now = state_.context.now;
    const double elapsed = seconds(now - std::exchange(last_tick_, now));
    if (state_.send_window.pending() == 0) {
        last_acknowledgement_ = now;
    }
    const Duration stopped_after = kDelaysUntilStopped * state_.context.settings.max_message_delay;
    const double pace = state_.pace();
    state_.send_window.advance(
        {.lines_at_most = pace * elapsed,
         .lines_at_least = kAssuredPaceFraction * pace * elapsed,
         .acknowledgements_stopped = now > last_acknowledgement_ + stopped_after});
    state_.add_learnt_allowance(elapsed);
}

void UpdateScheduler::bind_proxies() {
    binder_.bind_joined();
    binder_.complete_partial_bindings();
}

void UpdateScheduler::send_updates() {
    if (state_.is_sent_by_group()) {
        group_sender_.send();
    } else {
        sender_.send();
    }
}

// With several subsets, updates wait for proxies to be bound: until then each unbound proxy would
// have to be sent every withdrawal.
bool UpdateScheduler::are_changes_held() const {
    const bool binding = state_.subsets.size() > 1 && !state_.unbound_proxies.empty();
    return binding && state_.context.now < state_.withdrawals.oldest_due + state_.max_hold();
}

}  // namespace micaroad::decision
