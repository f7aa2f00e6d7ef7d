#include "decision/scheduler_state.hpp"

#include <algorithm>

#include "decision/numeric.hpp"

namespace micaroad::decision {

namespace {

// The send window as a fraction of the configured limit on pending lines.
constexpr double kWindowFraction = 0.9;

// Fraction of the window that bindings and learnt changes may use; the rest is left to withdrawals.
constexpr double kNonUrgentWindowFraction = 0.5;

// Learnt changes take no more lines than the channel sends in this fraction of the drain grace, so
// that a withdrawal queued behind them is still in time.
constexpr double kLearntGraceFraction = 0.15;

// Fraction of the channel's pace that learnt changes use; the value is the design's.
constexpr double kLearntPaceFraction = 0.5;

// The allowance that learnt changes leave unused accumulates up to what the channel sends in this
// time, in seconds.
constexpr double kAllowanceSeconds = 2;

// A large update takes no more lines than the channel sends in this fraction of the drain grace, so
// that a withdrawal queued behind it is still in time.
constexpr double kLargeUpdateGraceFraction = 0.45;

// The longest hold is the drain grace divided by this.
constexpr int kMaxHoldDivisor = 4;

// With several subsets, bindings take at most this many times the lines that learnt changes may
// take.
constexpr double kBindingToLearntRatio = 2;

}  // namespace

double SchedulerState::available_window(WindowUse use) const {
    return max_window(use) - send_window.pending();
}

double SchedulerState::max_window(WindowUse use) const {
    const double limit = kWindowFraction * context.settings.max_pending_lines;
    const double sent_in_grace = kLearntGraceFraction * drain_grace_seconds() * pace();
    const double non_urgent = kNonUrgentWindowFraction * limit;
    double usable = limit;
    if (use == WindowUse::learnt) {
        usable = std::min(non_urgent, sent_in_grace);
    } else if (use == WindowUse::binding) {
        usable = subsets.size() > 1 ? std::min(non_urgent, kBindingToLearntRatio * sent_in_grace)
                                    : non_urgent;
    }
    return usable;
}

double SchedulerState::available_for_large_update() const {
    if (send_window.pending() > 0) {
        return 0;
    }
    return max_large_update();
}

void SchedulerState::add_learnt_allowance(double seconds) {
    learnt_allowance =
        std::min(learnt_allowance + kLearntPaceFraction * pace() * seconds, max_learnt_allowance());
}

bool SchedulerState::allows_learnt(double lines) const {
    return lines <= std::max(learnt_allowance, 0.0) || learnt_allowance >= max_learnt_allowance();
}

double SchedulerState::max_learnt_allowance() const {
    return pace() * kAllowanceSeconds;
}

std::size_t SchedulerState::max_group_size() const {
    return static_cast<std::size_t>(
        std::max(1.0, max_window(WindowUse::learnt) / max_lines_of_update()));
}

bool SchedulerState::is_sent_by_group() const {
    const double max_proxies = max_large_update() / max_lines_of_update();
    const bool too_many = std::ranges::any_of(subsets.all(), [&](const Subset& subset) {
        return static_cast<double>(subset.proxies.size()) > max_proxies;
    });
    return too_many || subsets.groups().any_unsent();
}

double SchedulerState::max_pending_before_withdrawal() const {
    const double grace = drain_grace_seconds() - seconds(context.settings.max_message_delay);
    return grace * pace() -
           (lines_per_message() + 1) * static_cast<double>(subsets.bound_proxies().size());
}

double SchedulerState::max_lines_of_update() const {
    return lines_per_message() + admission_lines() + 1;
}

double SchedulerState::max_large_update() const {
    return std::min(kWindowFraction * context.settings.max_pending_lines,
                    kLargeUpdateGraceFraction * drain_grace_seconds() * pace());
}

void SchedulerState::update_admission_pause(double lines_to_send) {
    const DeploymentSettings& settings = context.settings;
    const double seconds_to_send =
        (send_window.pending() + lines_to_send) / (kAssuredPaceFraction * pace());
    const Duration remaining_grace =
        withdrawals.oldest_due + settings.drain_grace - settings.max_message_delay - context.now;
    const bool too_many = seconds_to_send > seconds(remaining_grace);
    admission_paused = withdrawals.count > 0 && (admission_paused || too_many);
}

double SchedulerState::drain_grace_seconds() const {
    return seconds(context.settings.drain_grace);
}

Duration SchedulerState::max_hold() const {
    return context.settings.drain_grace / kMaxHoldDivisor;
}

TableId SchedulerState::table_of(std::size_t pool, std::size_t table_set) const {
    const auto offset = static_cast<int>(table_set * tables.pools().size());
    return {binding(pool).table.value + offset};
}

}  // namespace micaroad::decision
